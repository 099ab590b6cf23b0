"""Expected service time of a backend server that has just started; pure.

Answers servers that join a busy service, by a release or a scale-out. They are
idle, so every entry node would prefer them, but they run calls at half speed
for some seconds, and their first reports arrive only with their first answers,
when many calls of all entry nodes are already under way there.
"""

import dataclasses

# Seconds after its start for which a backend server counts as slow.
COLD_START_S = 4.0
# Factor on the service time until then, or until its node reports a mean time.
COLD_FACTOR = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Appearance:
    """First time at which a process of a backend server was known.

    Attributes:
        process: Key of the process.
        seen_at: Monotonic time in seconds; negative infinity for a process
            that may have run before this node started.
    """

    process: tuple[str, int]
    seen_at: float


def expected_time_s(typical_s: float, seen_at: float, now: float) -> float:
    """Return the expected service time of a call without a report.

    Args:
        typical_s: Typical service time of the backend servers in seconds.
        seen_at: Monotonic time in seconds at which the process appeared.
        now: Monotonic time in seconds.
    """
    is_cold = now - seen_at < COLD_START_S
    return typical_s * (COLD_FACTOR if is_cold else 1.0)
