"""Control loop that divides a class's calls over localities.

Local limits act within a call; this loop acts within tens of seconds. Within
a region, localities with a lower share of good calls than the others receive
fewer calls. Calls are sent to another region only while the class misses its
target in this one, and only if the other region's share of good calls is
higher by `MIN_REMOTE_GAIN`.
"""

from collections.abc import Mapping
import dataclasses

from trefoilwind.model import configuration as configuration_lib

INTERVAL_S = 10.0
MIN_CALLS = 30
# Localities whose good shares differ by no more than this count as equal.
DEAD_BAND = 0.03
FACTOR_GAIN = 0.5
MAX_FACTOR_STEP = 0.1
MIN_FACTOR = 0.25
MAX_FACTOR = 1.75
# Fraction of its distance from 1 that the factor of a locality with too few
# calls loses per interval.
FACTOR_RECOVERY = 0.1
# Gain in good share that outweighs the cost of the link between regions.
MIN_REMOTE_GAIN = 0.05
REMOTE_SHARE_STEP = 0.05
MAX_REMOTE_SHARE = 0.5
# Remote shares up to this, which is two steps, count as a trial.
TRIAL_REMOTE_SHARE = 0.1 + 1e-6
MISSES_BEFORE_REMOTE = 2
INITIAL_HITS_TO_LOWER = 6
MAX_HITS_TO_LOWER = 96
REMOTE_RETRY_DELAY_S = 120.0


@dataclasses.dataclass(frozen=True, order=True)
class Locality:
    """Backend servers of one half in one data centre."""

    half: str
    data_centre: str


@dataclasses.dataclass(frozen=True)
class Score:
    """Results of a locality's calls in the last interval.

    Attributes:
        is_local: True if the locality is in the region of this node.
        servers: Live backend servers.
        calls: Calls of the class that this node sent there.
        good: Calls that succeeded within the class's latency target.
    """

    is_local: bool
    servers: int
    calls: int = 0
    good: int = 0

    @property
    def good_share(self) -> float:
        """Share of good calls, 0 to 1."""
        return self.good / self.calls if self.calls else 0.0

    @property
    def has_enough_calls(self) -> bool:
        """True if there were enough calls for a reliable share."""
        return self.calls >= MIN_CALLS


@dataclasses.dataclass(frozen=True)
class Division:
    """Division of one class of one service.

    Attributes:
        factors: Weight factor by locality of the own region; 1 if not listed.
        remote_share: Share of the calls, 0 to 1, sent to other regions.
        misses: Consecutive intervals in which the class missed its target.
        hits: Consecutive intervals in which it met its target with a margin.
        hits_to_lower: Hits before the remote share is lowered; doubled each
            time that the share must be raised again after it was lowered, so
            that it converges.
        was_lowered: True if the last change lowered the remote share.
        retry_at: Monotonic time in seconds before which no call is sent to
            another region.
    """

    factors: tuple[tuple[Locality, float], ...] = ()
    remote_share: float = 0.0
    misses: int = 0
    hits: int = 0
    hits_to_lower: int = INITIAL_HITS_TO_LOWER
    was_lowered: bool = False
    retry_at: float = 0.0

    def weight(self, locality: Locality) -> float:
        """Return the weight of a locality in the own region."""
        return dict(self.factors).get(locality, 1.0) * (1.0 - self.remote_share)


def adjust(
    division: Division,
    target: configuration_lib.ClassTarget,
    scores: Mapping[Locality, Score],
    now: float,
) -> Division:
    """Return the division for the next interval.

    Args:
        division: Division of the last interval.
        target: Target of the class.
        scores: Results of each locality with live backend servers.
        now: Monotonic time in seconds.
    """
    local = _total(score for score in scores.values() if score.is_local)
    if not local.has_enough_calls:
        return division
    factors = _adjust_factors(division, scores, local)
    counted = _count_intervals(division, target, local)
    remote = _total(score for score in scores.values() if not score.is_local)
    return dataclasses.replace(
        _adjust_remote_share(counted, local, remote, now), factors=factors
    )


def _total(scores) -> Score:
    found = list(scores)
    return Score(
        True,
        sum(s.servers for s in found),
        sum(s.calls for s in found),
        sum(s.good for s in found),
    )


def _adjust_factors(
    division: Division, scores: Mapping[Locality, Score], local: Score
) -> tuple[tuple[Locality, float], ...]:
    known = dict(division.factors)
    localities = {p: s for p, s in sorted(scores.items()) if s.is_local}
    unscaled = {
        locality: _factor(known.get(locality, 1.0), score, local)
        for locality, score in localities.items()
    }
    servers = sum(score.servers for score in localities.values())
    total = sum(unscaled[p] * score.servers for p, score in localities.items())
    if not total:
        return division.factors
    # A mean of 1 keeps the region's total weight, so that no calls are moved to
    # other regions.
    scale = servers / total
    return tuple(
        (locality, unscaled[locality] * scale) for locality in localities
    )


def _factor(factor: float, score: Score, local: Score) -> float:
    if not score.has_enough_calls:
        return factor + FACTOR_RECOVERY * (1.0 - factor)
    deviation = score.good_share - local.good_share
    if abs(deviation) <= DEAD_BAND:
        return factor
    step = max(-MAX_FACTOR_STEP, min(MAX_FACTOR_STEP, FACTOR_GAIN * deviation))
    return max(MIN_FACTOR, min(MAX_FACTOR, factor * (1.0 + step)))


def _count_intervals(
    division: Division, target: configuration_lib.ClassTarget, local: Score
) -> Division:
    """Count misses and hits.

    An interval between the target and the margin above it is neither.
    """
    target_share = target.success_target
    margin = target_share + (1.0 - target_share) / 2
    if local.good_share < target_share:
        return dataclasses.replace(division, misses=division.misses + 1, hits=0)
    hits = division.hits + 1 if local.good_share >= margin else 0
    return dataclasses.replace(division, misses=0, hits=hits)


def _adjust_remote_share(
    division: Division, local: Score, remote: Score, now: float
) -> Division:
    if not remote.servers:
        return dataclasses.replace(division, remote_share=0.0)
    if division.remote_share <= 0.0:
        may_try = now >= division.retry_at
        if division.misses >= MISSES_BEFORE_REMOTE and may_try:
            return _raise_remote_share(division)
        return division
    gain = remote.good_share - local.good_share
    if remote.has_enough_calls and division.misses and gain < MIN_REMOTE_GAIN:
        # With a large remote share the gain shrinks, as this region has less
        # load, so only a trial or a negative gain ends it.
        is_trial = division.remote_share <= TRIAL_REMOTE_SHARE
        return _stop_remote(division, now) if is_trial or gain < 0 else division
    if division.misses:
        return _raise_remote_share(division)
    if division.hits >= division.hits_to_lower:
        return _lower_remote_share(division, now)
    return division


def _raise_remote_share(division: Division) -> Division:
    hits_to_lower = division.hits_to_lower
    if division.was_lowered:
        hits_to_lower = min(MAX_HITS_TO_LOWER, 2 * hits_to_lower)
    return dataclasses.replace(
        division,
        remote_share=min(
            MAX_REMOTE_SHARE, division.remote_share + REMOTE_SHARE_STEP
        ),
        hits_to_lower=hits_to_lower,
        was_lowered=False,
        hits=0,
    )


def _lower_remote_share(division: Division, now: float) -> Division:
    remote_share = division.remote_share - REMOTE_SHARE_STEP
    if remote_share > REMOTE_SHARE_STEP / 2:
        return dataclasses.replace(
            division, remote_share=remote_share, was_lowered=True, hits=0
        )
    return _stop_remote(division, now)


def _stop_remote(division: Division, now: float) -> Division:
    return dataclasses.replace(
        division,
        remote_share=0.0,
        was_lowered=True,
        hits=0,
        retry_at=now + REMOTE_RETRY_DELAY_S,
    )
