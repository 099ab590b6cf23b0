"""Latency of the path to a node, from round trips on its stream; pure.

Answers deployments whose data centres or regions are further apart than those
for which the placement's constants were measured. Round trips near these
constants change nothing, so that such deployments are served as before.
"""

import dataclasses

from trefoilwind.routing import placement

# Round trips that are kept. The second smallest counts: larger ones contain
# delays of event loops, and a receipt that crossed a heartbeat is taken for
# its answer, which makes one sample too small.
_KEPT = 8
_MIN_SAMPLES = 2
# Round trips in seconds for which the placement's constants hold.
_USUAL_S = {
    placement.Distance.OWN: 0.0,
    placement.Distance.DATA_CENTRE: 0.002,
    placement.Distance.REGION: 0.002,
    placement.Distance.OTHER_REGION: 0.06,
}
# Differences that are ignored: seconds, and a share of the usual round trip.
_TOLERANCE_S = 0.003
_TOLERANCE_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class RoundTrips:
    """Latest round trips on a stream.

    Attributes:
        samples_s: Round trips in seconds, the latest one last.
    """

    samples_s: tuple[float, ...] = ()

    @property
    def seconds(self) -> float:
        """Round trip in seconds without delays; negative if unknown."""
        if len(self.samples_s) < _MIN_SAMPLES:
            return -1.0
        return sorted(self.samples_s)[1]

    def with_sample(self, sample_s: float) -> "RoundTrips":
        """Return the round trips with one more sample."""
        return RoundTrips((*self.samples_s, sample_s)[-_KEPT:])


def excess_s(distance: placement.Distance, round_trip_s: float) -> float:
    """Return the seconds by which a path is longer than its distance tells.

    Args:
        distance: Distance of the node.
        round_trip_s: Measured round trip in seconds; negative if unknown.
    """
    usual_s = _USUAL_S[distance]
    excess = round_trip_s - usual_s
    tolerance_s = max(_TOLERANCE_S, _TOLERANCE_SHARE * usual_s)
    return excess if excess > tolerance_s else 0.0
