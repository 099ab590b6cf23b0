"""Evacuations in force on this node, from the operator's records."""

from collections.abc import Callable
from collections.abc import Mapping
import logging

from trefoilwind import errors
from trefoilwind.gateway import board as board_lib
from trefoilwind.logs import decisions
from trefoilwind.membership import directory
from trefoilwind.model import mesh
from trefoilwind.routing import regions

logger = logging.getLogger(__name__)

_STEP = "evacuations.apply"
# Unknown regions that one line of the log names.
_MAX_SHOWN = 5


class EvacuationTable:
    """Publishes the evacuations in force; their only writer."""

    def __init__(
        self,
        board: board_lib.MeshBoard,
        data_centres: Mapping[str, str],
        clock: Callable[[], float],
    ):
        """Initialize the table without evacuations.

        Args:
            board: Snapshots of the node's components.
            data_centres: Data centres of the mesh and their regions; empty if
                unknown.
            clock: Returns the monotonic time in seconds.
        """
        self._board = board
        self._publish = board.evacuations.claim("evacuations")
        self._data_centres = data_centres
        self._clock = clock
        # Orders for data centres that are not known, by name. They apply once
        # a member of the data centre appears, as the settings of this process
        # may be older than the data centre.
        self._unknown: dict[str, mesh.Evacuation] = {}
        board.members.subscribe(self._apply_unknown)
        board.configuration.subscribe(self._check_regions)

    def apply(self, order: mesh.Evacuation) -> errors.RecordError | None:
        """Apply an order to evacuate a data centre, or its withdrawal.

        Returns:
            An error if the data centre is unknown; nothing changes then.
        """
        name = order.data_centre
        self._unknown.pop(name, None)
        if order.is_active and not self._is_known(name):
            self._unknown[name] = order
            return errors.RecordError(
                errors.Reason.UNDEFINED_REFERENCE,
                _STEP,
                f"evacuate/{name}",
                f"unknown data centre at offset {order.offset}",
            )
        old = self._board.evacuations.value
        new = old.with_order(order, self._clock())
        if new is not old:
            text = "evacuated" if order.is_active else "no longer evacuated"
            decisions.failure(
                logger,
                "evacuation",
                f"evacuations: data centre {text}",
                data_centre=name,
                offset=order.offset,
                evacuated=sorted(new.evacuated),
            )
            self._publish(new)
        return None

    def _is_known(self, name: str) -> bool:
        if not self._data_centres or name in self._data_centres:
            return True
        members = self._board.members.value.members
        return any(member.data_centre == name for member in members)

    def _apply_unknown(self, members: directory.Snapshot) -> None:
        if not self._unknown:
            return
        present = {member.data_centre for member in members.members}
        for name in present & self._unknown.keys():
            self.apply(self._unknown[name])

    def _check_regions(self, configuration: mesh.MeshConfiguration) -> None:
        """Report allowed regions that do not exist; no server matches them."""
        unknown = regions.unknown_regions(
            configuration, self._data_centres.values()
        )
        if unknown:
            problem = errors.RecordError(
                errors.Reason.UNDEFINED_REFERENCE,
                "configuration.regions",
                f"version {configuration.version}",
                "; ".join(unknown[:_MAX_SHOWN]),
            )
            logger.warning(
                "configuration: %s; %d unknown regions", problem, len(unknown)
            )
