"""Random counts and latencies for the decision bench."""

import functools
import math
import random

from trefoilwind.rollout import evidence

_MANY = 25
_SIGMA = 0.5


def poisson(rng: random.Random, mean: float) -> int:
    """Return a Poisson count, by the normal law if the mean is large."""
    if mean > _MANY:
        return max(0, round(rng.gauss(mean, math.sqrt(mean))))
    limit = math.exp(-mean)
    count = 0
    product = rng.random()
    while product > limit:
        count += 1
        product *= rng.random()
    return count


def binomial(rng: random.Random, trials: int, probability: float) -> int:
    """Return a binomial count, by the normal law if it is large."""
    if trials <= 0 or probability <= 0:
        return 0
    if probability >= 1:
        return trials
    if probability > 0.5:
        return trials - binomial(rng, trials, 1 - probability)
    mean = trials * probability
    if mean > _MANY:
        deviation = math.sqrt(mean * (1 - probability))
        return min(trials, max(0, round(rng.gauss(mean, deviation))))
    scale = math.log1p(-probability)
    count = 0
    position = math.log(1 - rng.random()) / scale
    while position < trials:
        count += 1
        position += 1 + math.floor(math.log(1 - rng.random()) / scale)
        position = math.floor(position)
    return count


@functools.lru_cache(maxsize=4096)
def _bucket_odds(median_s: float) -> tuple[float, ...]:
    """Return the chance of each bucket, given that no lower one was hit."""
    cumulative = [
        0.5 * math.erfc(-math.log(edge / median_s) / _SIGMA / math.sqrt(2))
        for edge in evidence.LATENCY_EDGES_S
    ]
    odds = []
    below = 0.0
    for value in (*cumulative, 1.0):
        left = 1.0 - below
        odds.append(1.0 if left < 1e-9 else min(1.0, (value - below) / left))
        below = value
    return tuple(odds)


def latencies(
    rng: random.Random, calls: int, median_s: float
) -> tuple[int, ...]:
    """Return how many of the calls fall into each latency bucket."""
    buckets = list(evidence.NO_CALLS)
    for index, odds in enumerate(_bucket_odds(round(median_s, 4))):
        if not calls:
            break
        if odds < 1e-6:
            continue
        buckets[index] = binomial(rng, calls, odds)
        calls -= buckets[index]
    return tuple(buckets)


def spread_evenly(
    rng: random.Random, calls: int, places: int, weights: tuple[float, ...]
) -> list[int]:
    """Return a random split of calls over places by their weights."""
    left_weight = sum(weights)
    counts = []
    for index in range(places):
        chance = weights[index] / left_weight if left_weight > 0 else 1.0
        count = binomial(rng, calls, min(1.0, chance))
        counts.append(count)
        calls -= count
        left_weight -= weights[index]
    counts[-1] += calls
    return counts
