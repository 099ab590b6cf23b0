"""Division of a class's traffic across halves and data centres.

The class target controller computes the division; operators never set it.
"""

import dataclasses
import functools


@dataclasses.dataclass(frozen=True)
class Weight:
    """Weight of one half in one data centre for one class of a service.

    Attributes:
        service: Name of the service.
        class_name: Name of the class.
        half: Owner of the backend servers.
        data_centre: Data centre of the backend servers.
        weight: Factor applied to the capacity there; 1 is neutral. If the
            mean over a region is below 1, the remaining calls go to other
            regions.
    """

    service: str
    class_name: str
    half: str
    data_centre: str
    weight: float


@dataclasses.dataclass(frozen=True)
class DivisionTable:
    """All weights; a half and data centre without an entry have weight 1."""

    weights: tuple[Weight, ...] = ()

    @functools.cached_property
    def by_place(self) -> dict[tuple[str, str, str, str], float]:
        """Weights by (service, class, half, data centre)."""
        return {
            (w.service, w.class_name, w.half, w.data_centre): w.weight
            for w in self.weights
        }
