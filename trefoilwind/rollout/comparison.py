"""Sequential test of the new arm of a move against the old one.

Within a stratum (a short period, one route, one data centre) both arms have
the same load and the same callers. Given the number of events in the stratum,
such as failures, the probability that an event belongs to the new arm depends
only on the calls of both arms and on their odds ratio. The base rate cancels
out, so a fault that is common to both arms is no evidence.

The likelihood ratios of several alternative odds ratios against the largest
tolerated one are averaged, also over the times at which a fault may have
begun. Without a fault the expectation of the average is at most 1, however
often it is evaluated, so it exceeds 1/p with a probability of at most p.
"""

from collections.abc import Iterable
import dataclasses
import functools
import math

# Odds ratio up to which the new arm counts as no worse than the old one.
TOLERATED_RATIO = 1.25
_ALTERNATIVE_RATIOS = (2.0, 6.0, 40.0)
# Weights of a fault that begins in the first block, and of one that begins in
# each of at most 64 later blocks.
_FIRST_BLOCK_WEIGHT = 0.5
_LATER_BLOCK_WEIGHT = 0.5 / 64


@dataclasses.dataclass(frozen=True)
class Stratum:
    """Counts of both arms that are compared directly.

    Attributes:
        new_calls: Calls of the new arm.
        new_events: Events among them.
        old_calls: Calls of the old arm.
        old_events: Events among them.
    """

    new_calls: int
    new_events: int
    old_calls: int
    old_events: int


@dataclasses.dataclass(frozen=True)
class RunningEvidence:
    """Evidence accumulated over the blocks so far.

    Attributes:
        log_sums: Logarithm of the likelihood ratio by alternative, averaged
            over the times at which a fault may have begun.
        log_weight: Logarithm of the weight of a fault that begins in the
            next block.
    """

    log_sums: tuple[float, ...] = (-math.inf,) * len(_ALTERNATIVE_RATIOS)
    log_weight: float = math.log(_FIRST_BLOCK_WEIGHT)

    @property
    def log_evidence(self) -> float:
        """Logarithm of the evidence against the new arm."""
        return log_mean(self.log_sums)

    def advance(self, block: Iterable[Stratum]) -> "RunningEvidence":
        """Return the evidence after one more block."""
        ratios = _log_ratios_of_block(block)
        sums = tuple(
            log_sum(total, self.log_weight) + ratio
            for total, ratio in zip(self.log_sums, ratios, strict=True)
        )
        return RunningEvidence(sums, math.log(_LATER_BLOCK_WEIGHT))


def log_evidence(blocks: Iterable[Iterable[Stratum]]) -> float:
    """Return the logarithm of the evidence against the new arm.

    Args:
        blocks: Strata by time, the oldest first.
    """
    running = RunningEvidence()
    for block in blocks:
        running = running.advance(block)
    return running.log_evidence


def log_mean(logs: Iterable[float]) -> float:
    """Return the logarithm of the mean of numbers given as logarithms."""
    values = tuple(logs)
    highest = max(values, default=-math.inf)
    if highest == -math.inf:
        return 0.0
    total = sum(math.exp(value - highest) for value in values)
    return highest + math.log(total / len(values))


def log_sum(first: float, second: float) -> float:
    """Return the logarithm of the sum of two numbers given as logarithms."""
    low, high = sorted((first, second))
    return high + math.log1p(math.exp(low - high))


def _log_ratios_of_block(block: Iterable[Stratum]) -> list[float]:
    totals = [0.0] * len(_ALTERNATIVE_RATIOS)
    for stratum in block:
        if stratum.new_events + stratum.old_events == 0:
            continue
        ratios = _log_ratios(stratum)
        totals = [a + b for a, b in zip(totals, ratios, strict=True)]
    return totals


@functools.lru_cache(maxsize=16384)
def _log_ratios(stratum: Stratum) -> tuple[float, ...]:
    if not stratum.new_calls or not stratum.old_calls:
        return (0.0,) * len(_ALTERNATIVE_RATIOS)
    return tuple(_log_ratio(stratum, ratio) for ratio in _ALTERNATIVE_RATIOS)


def _log_ratio(stratum: Stratum, ratio: float) -> float:
    new, old = stratum.new_calls, stratum.old_calls
    tolerated = TOLERATED_RATIO * new + old
    alternative = ratio * new + old
    on_new = math.log(ratio * tolerated / (TOLERATED_RATIO * alternative))
    on_old = math.log(tolerated / alternative)
    return stratum.new_events * on_new + stratum.old_events * on_old
