"""Division of a class's calls over places, from the class's own target.

Local limits act within a call; this acts within tens of seconds. Within a
region, places that answer worse than the others get less. Calls cross the
link between regions only while the class misses its target here, and only if
the other side answers better by a stated gain.
"""

from collections.abc import Mapping
import dataclasses

from trefoilwind.model import configuration as configuration_lib

INTERVAL_S = 10.0
MIN_CALLS = 30
# Difference of good shares within which places count as equal.
DEAD_BAND = 0.03
SHAPE_GAIN = 0.5
MAX_SHAPE_STEP = 0.1
MIN_FACTOR = 0.25
MAX_FACTOR = 1.75
RECOVERY = 0.1
# How much better the other region must answer to be worth the link's price.
CROSSING_GAIN = 0.05
CROSSING_STEP = 0.05
MAX_CROSSING = 0.5
TRIAL_CROSSING = 0.1 + 1e-6
MISSES_TO_CROSS = 2
FIRST_PATIENCE = 6
MAX_PATIENCE = 96
RETRY_S = 120.0


@dataclasses.dataclass(frozen=True, order=True)
class Place:
    """Backend servers of one half in one data centre."""

    half: str
    data_centre: str


@dataclasses.dataclass(frozen=True)
class Score:
    """What a place did within the last interval.

    Attributes:
        is_near: True if it stands in the region of this node.
        servers: Live backend servers.
        calls: Calls of the class that this node sent there.
        good: Those that succeeded within the class's latency target.
    """

    is_near: bool
    servers: int
    calls: int = 0
    good: int = 0

    @property
    def good_share(self) -> float:
        """Share of good calls, 0 to 1."""
        return self.good / self.calls if self.calls else 0.0

    @property
    def is_known(self) -> bool:
        """True if there were enough calls to judge it."""
        return self.calls >= MIN_CALLS


@dataclasses.dataclass(frozen=True)
class Division:
    """Division of one class of one service.

    Attributes:
        factors: Factor by near place; one that is not listed has 1.
        crossing: Share of the calls, 0 to 1, sent to other regions.
        misses: Intervals in a row in which the class missed its target.
        hits: Intervals in a row in which it met its target with a margin.
        patience: Hits before the crossing is lowered; it doubles each time
            that lowering it was a mistake, so that the share comes to rest.
        lowered: True if the last change of the crossing lowered it.
        retry_at: Monotonic time in seconds before which no call crosses.
    """

    factors: tuple[tuple[Place, float], ...] = ()
    crossing: float = 0.0
    misses: int = 0
    hits: int = 0
    patience: int = FIRST_PATIENCE
    lowered: bool = False
    retry_at: float = 0.0

    def weight(self, place: Place) -> float:
        """Return the weight of a near place."""
        return dict(self.factors).get(place, 1.0) * (1.0 - self.crossing)


def adjust(
    division: Division,
    target: configuration_lib.ClassTarget,
    scores: Mapping[Place, Score],
    now: float,
) -> Division:
    """Return the division for the next interval.

    Args:
        division: Division in force within the interval.
        target: Target of the class.
        scores: What each place with live backend servers did.
        now: Monotonic time in seconds.
    """
    near = _sum(score for score in scores.values() if score.is_near)
    if not near.is_known:
        return division
    factors = _shape(division, scores, near)
    counted = _count(division, target, near)
    far = _sum(score for score in scores.values() if not score.is_near)
    return dataclasses.replace(_cross(counted, near, far, now), factors=factors)


def _sum(scores) -> Score:
    found = list(scores)
    return Score(
        True,
        sum(s.servers for s in found),
        sum(s.calls for s in found),
        sum(s.good for s in found),
    )


def _shape(
    division: Division, scores: Mapping[Place, Score], near: Score
) -> tuple[tuple[Place, float], ...]:
    known = dict(division.factors)
    places = {p: s for p, s in sorted(scores.items()) if s.is_near}
    raw = {
        place: _factor(known.get(place, 1.0), score, near)
        for place, score in places.items()
    }
    servers = sum(score.servers for score in places.values())
    total = sum(raw[p] * score.servers for p, score in places.items())
    if not total:
        return division.factors
    # A mean of one keeps the calls in the region.
    scale = servers / total
    return tuple((place, raw[place] * scale) for place in places)


def _factor(factor: float, score: Score, near: Score) -> float:
    if not score.is_known:
        return factor + RECOVERY * (1.0 - factor)
    error = score.good_share - near.good_share
    if abs(error) <= DEAD_BAND:
        return factor
    step = max(-MAX_SHAPE_STEP, min(MAX_SHAPE_STEP, SHAPE_GAIN * error))
    return max(MIN_FACTOR, min(MAX_FACTOR, factor * (1.0 + step)))


def _count(
    division: Division, target: configuration_lib.ClassTarget, near: Score
) -> Division:
    """Count intervals; between miss and hit there is a band without either."""
    wanted = target.success_target
    margin = wanted + (1.0 - wanted) / 2
    if near.good_share < wanted:
        return dataclasses.replace(division, misses=division.misses + 1, hits=0)
    hits = division.hits + 1 if near.good_share >= margin else 0
    return dataclasses.replace(division, misses=0, hits=hits)


def _cross(division: Division, near: Score, far: Score, now: float) -> Division:
    if not far.servers:
        return dataclasses.replace(division, crossing=0.0)
    if division.crossing <= 0.0:
        may_try = now >= division.retry_at
        if division.misses >= MISSES_TO_CROSS and may_try:
            return _raise(division)
        return division
    gain = far.good_share - near.good_share
    if far.is_known and division.misses and gain < CROSSING_GAIN:
        # Far into a crossing the gain shrinks as this region is relieved.
        is_trial = division.crossing <= TRIAL_CROSSING
        return _stop(division, now) if is_trial or gain < 0 else division
    if division.misses:
        return _raise(division)
    if division.hits >= division.patience:
        return _lower(division, now)
    return division


def _raise(division: Division) -> Division:
    patience = division.patience
    if division.lowered:
        patience = min(MAX_PATIENCE, 2 * patience)
    return dataclasses.replace(
        division,
        crossing=min(MAX_CROSSING, division.crossing + CROSSING_STEP),
        patience=patience,
        lowered=False,
        hits=0,
    )


def _lower(division: Division, now: float) -> Division:
    crossing = division.crossing - CROSSING_STEP
    if crossing > CROSSING_STEP / 2:
        return dataclasses.replace(
            division, crossing=crossing, lowered=True, hits=0
        )
    return _stop(division, now)


def _stop(division: Division, now: float) -> Division:
    return dataclasses.replace(
        division,
        crossing=0.0,
        lowered=True,
        hits=0,
        retry_at=now + RETRY_S,
    )
