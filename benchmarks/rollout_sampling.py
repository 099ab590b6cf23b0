"""Random counts and latencies for the decision benchmark."""

import functools
import math
import random

from trefoilwind.rollout import evidence

_MIN_MEAN_FOR_NORMAL = 25
_LATENCY_SIGMA = 0.5


def poisson(rng: random.Random, mean: float) -> int:
    """Return a Poisson count; use the normal approximation for large means."""
    if mean > _MIN_MEAN_FOR_NORMAL:
        return max(0, round(rng.gauss(mean, math.sqrt(mean))))
    limit = math.exp(-mean)
    count = 0
    product = rng.random()
    while product > limit:
        count += 1
        product *= rng.random()
    return count


def binomial(rng: random.Random, trials: int, probability: float) -> int:
    """Return a binomial count; use the normal approximation for large means."""
    if trials <= 0 or probability <= 0:
        return 0
    if probability >= 1:
        return trials
    if probability > 0.5:
        return trials - binomial(rng, trials, 1 - probability)
    mean = trials * probability
    if mean > _MIN_MEAN_FOR_NORMAL:
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
def _bucket_probabilities(median_s: float) -> tuple[float, ...]:
    """Return each bucket's probability given that no lower one applies."""
    cumulative = [
        0.5
        * math.erfc(-math.log(edge / median_s) / _LATENCY_SIGMA / math.sqrt(2))
        for edge in evidence.LATENCY_EDGES_S
    ]
    probabilities = []
    below = 0.0
    for value in (*cumulative, 1.0):
        remaining = 1.0 - below
        probabilities.append(
            1.0 if remaining < 1e-9 else min(1.0, (value - below) / remaining)
        )
        below = value
    return tuple(probabilities)


def latencies(
    rng: random.Random, calls: int, median_s: float
) -> tuple[int, ...]:
    """Return the number of calls in each latency bucket."""
    buckets = list(evidence.NO_CALLS)
    for index, probability in enumerate(
        _bucket_probabilities(round(median_s, 4))
    ):
        if not calls:
            break
        if probability < 1e-6:
            continue
        buckets[index] = binomial(rng, calls, probability)
        calls -= buckets[index]
    return tuple(buckets)


def split_by_weight(
    rng: random.Random, calls: int, servers: int, weights: tuple[float, ...]
) -> list[int]:
    """Return random counts of calls per server according to the weights."""
    remaining_weight = sum(weights)
    counts = []
    for index in range(servers):
        probability = (
            weights[index] / remaining_weight if remaining_weight > 0 else 1.0
        )
        count = binomial(rng, calls, min(1.0, probability))
        counts.append(count)
        calls -= count
        remaining_weight -= weights[index]
    counts[-1] += calls
    return counts
