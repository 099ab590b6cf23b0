"""How long a backend server takes for a call; a pure function of time.

Load pattern answered: backend servers of one service differ in speed by a
factor of three, and each entry node sends too few calls to each of them to
learn it alone. Slow ones are left to the times when the others are full.
"""

import dataclasses

# Share of a new sample in the average that a target node tells: about 30 calls
# make it up, as single ones differ by half of their time.
_SAMPLE_WEIGHT = 0.03
# Samples until the average counts; before, the plain mean of all is taken.
_FEW_SAMPLES = 30
# Seconds in which what was told moves half of the way to the usual time, so
# that a backend server that was slow for a while is tried again.
HALF_LIFE_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class MeanTime:
    """Average time of the calls of one backend server.

    Attributes:
        seconds: Average time in seconds; negative if nothing was measured.
        samples: Calls measured, up to `_FEW_SAMPLES`.
    """

    seconds: float = -1.0
    samples: int = 0

    def after(self, sample_s: float) -> "MeanTime":
        """Return the average with one more call."""
        if not self.samples:
            return MeanTime(sample_s, 1)
        weight = max(_SAMPLE_WEIGHT, 1 / (self.samples + 1))
        changed = self.seconds + weight * (sample_s - self.seconds)
        return MeanTime(changed, min(_FEW_SAMPLES, self.samples + 1))


@dataclasses.dataclass(frozen=True, slots=True)
class ToldTime:
    """What a target node told of its backend server's calls.

    Attributes:
        seconds: Average time in seconds; negative if nothing was told.
        at: Monotonic time in seconds at which it was told.
    """

    seconds: float = -1.0
    at: float = 0.0

    def now(self, usual_s: float, now: float) -> float:
        """Return the time in seconds that a call is believed to take.

        Args:
            usual_s: Time in seconds of backend servers in general.
            now: Monotonic time in seconds.
        """
        if self.seconds < 0:
            return usual_s
        trust = 0.5 ** ((now - self.at) / HALF_LIFE_S)
        return usual_s + trust * (self.seconds - usual_s)
