"""Life cycle of a node."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Lifecycle:
    """Whether a node accepts new calls.

    Attributes:
        draining: True once a planned stop has begun.
        stop_deadline: Monotonic time in seconds at which the node ends the
            remaining calls; 0 while it is not draining.
    """

    draining: bool = False
    stop_deadline: float = 0.0
