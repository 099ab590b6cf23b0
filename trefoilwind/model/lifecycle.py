"""Life cycle of a node."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Lifecycle:
    """Whether a node takes new work.

    Attributes:
        draining: True once a planned stop began.
        stop_deadline: Monotonic time at which the node ends whatever is left;
            0 while it is not draining.
    """

    draining: bool = False
    stop_deadline: float = 0.0
