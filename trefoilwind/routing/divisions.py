"""Division of a class's traffic across halves and data centres.

The division is the product of the class target controller; operators never
set it.
"""

import dataclasses
import functools


@dataclasses.dataclass(frozen=True)
class Weight:
    """Weight of one place for one class of a service.

    Attributes:
        service: Name of the service.
        class_name: Name of the class.
        half: Owner of the backend servers.
        data_centre: Data centre of the backend servers.
        weight: Factor on the place's capacity; 1 is neutral. A mean below 1
            over a region sends the rest of the calls to other regions.
    """

    service: str
    class_name: str
    half: str
    data_centre: str
    weight: float


@dataclasses.dataclass(frozen=True)
class DivisionTable:
    """All weights; a place that is not listed has the weight 1."""

    weights: tuple[Weight, ...] = ()

    @functools.cached_property
    def by_place(self) -> dict[tuple[str, str, str, str], float]:
        """Weights by (service, class, half, data centre)."""
        return {
            (w.service, w.class_name, w.half, w.data_centre): w.weight
            for w in self.weights
        }
