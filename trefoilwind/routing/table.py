"""Route table of a node, computed from configuration and members.

A route lists only versions with a live backend server in this node's view, so
that no route refers to a backend server that the node does not know of.
"""

import dataclasses
import functools

from trefoilwind.membership import directory
from trefoilwind.model import configuration as configuration_lib
from trefoilwind.model import moves
from trefoilwind.model import state as state_lib
from trefoilwind.rollout import shares as shares_lib


@dataclasses.dataclass(frozen=True)
class Split:
    """Share of a route's calls that goes to one version.

    Attributes:
        version: Version of the backend servers.
        share: Share of calls, 0 to 1; the shares of a route add up to 1.
        move_id: Move that the version belongs to; empty for the stable one.
        half: Half whose backend servers run the calls; empty for any.
    """

    version: str
    share: float
    move_id: str = ""
    half: str = ""


@dataclasses.dataclass(frozen=True)
class Entry:
    """One route with its target and its splits.

    Attributes:
        service: Name of the service.
        half: Half whose traffic the route applies to; empty for both.
        path_prefix: Prefix of the path after the service's name.
        methods: HTTP methods; empty for all.
        target: Class of the calls.
        splits: Versions with live backend servers; empty if there are none.
        move_id: Open move to whose evidence the calls contribute; empty if
            none.
    """

    service: str
    half: str
    path_prefix: str
    methods: tuple[str, ...]
    target: configuration_lib.ClassTarget
    splits: tuple[Split, ...]
    move_id: str = ""


@dataclasses.dataclass(frozen=True)
class RouteTable:
    """All routes of one configuration version.

    Attributes:
        version: Configuration version from which the table was built.
        entries: Routes, the longest prefix of a service first.
    """

    version: int = state_lib.NO_VERSION
    entries: tuple[Entry, ...] = ()

    @functools.cached_property
    def by_service(self) -> dict[str, tuple[Entry, ...]]:
        """Routes by service."""
        groups: dict[str, list[Entry]] = {}
        for entry in self.entries:
            groups.setdefault(entry.service, []).append(entry)
        return {name: tuple(group) for name, group in groups.items()}

    def match(
        self, service: str, method: str, path: str, half: str = ""
    ) -> Entry | None:
        """Return the route of a call, or None.

        Args:
            service: Name of the service.
            method: HTTP method.
            path: Path after the service's name, beginning with the slash.
            half: Half of the entry node.
        """
        for entry in self.by_service.get(service, ()):
            if entry.half not in ("", half):
                continue
            if not path.startswith(entry.path_prefix):
                continue
            if not entry.methods or method in entry.methods:
                return entry
        return None


def build(
    state: state_lib.State,
    members: directory.Snapshot,
    shares: shares_lib.ShareTable,
) -> RouteTable:
    """Return the route table.

    Args:
        state: State folded from the log.
        members: Live members.
        shares: Traffic shares of open moves.
    """
    entries: list[Entry] = []
    for service in state.configuration.services:
        for route in service.routes:
            target = state.configuration.target(route.class_name)
            for half in _halves_with_own_rules(state, service.name):
                move = _move_of_half(state, service.name, half)
                splits = _splits(
                    state, members, shares, move, route, service, half
                )
                entries.append(
                    Entry(
                        service=service.name,
                        half=half,
                        path_prefix=route.path_prefix,
                        methods=route.methods,
                        target=target,
                        splits=splits,
                        move_id=move.move_id if move else "",
                    )
                )
    entries.sort(key=_specificity)
    return RouteTable(state.version, tuple(entries))


def _specificity(entry: Entry) -> tuple[str, int, bool, bool]:
    return (
        entry.service,
        -len(entry.path_prefix),
        not entry.methods,
        not entry.half,
    )


def _halves_with_own_rules(
    state: state_lib.State, service: str
) -> tuple[str, ...]:
    """Return "" for all halves, and each half with rules of its own."""
    halves = {""}
    halves.update(s.half for s in state.stable if s.service == service)
    move = state.open_move(service)
    if move is not None:
        halves.add(move.half)
    return tuple(sorted(halves))


def _move_of_half(
    state: state_lib.State, service: str, half: str
) -> moves.Move | None:
    move = state.open_move(service)
    if move is None or move.half not in ("", half):
        return None
    return move


def _splits(
    state: state_lib.State,
    members: directory.Snapshot,
    shares: shares_lib.ShareTable,
    move: moves.Move | None,
    route: configuration_lib.Route,
    service: configuration_lib.Service,
    half: str,
) -> tuple[Split, ...]:
    stable = Split(
        state.stable_version(service.name, half),
        1.0,
        half=_old_half(state, members, move, service.name, half),
    )
    splits = (stable,)
    if move is not None and move.move_id not in shares.braked:
        key = (
            move.move_id,
            service.name,
            route.path_prefix,
            route.class_name,
        )
        entry = shares.by_route.get(key)
        share = entry.share if entry else 0.0
        if share > 0:
            splits = (
                dataclasses.replace(stable, share=1.0 - share),
                Split(move.version, share, move.move_id, move.to_half),
            )
    return _with_live_members(state, members, service.name, splits)


def _old_half(
    state: state_lib.State,
    members: directory.Snapshot,
    move: moves.Move | None,
    service: str,
    half: str,
) -> str:
    """Return the half whose backend servers run the calls that do not move.

    While one version moves between halves, the calls of the old half must not
    run on the backend servers by which the new half is evaluated.
    """
    stable_half = state.stable_half(service, half)
    if stable_half or move is None or not move.to_half:
        return stable_half
    others = [h for h in state.configuration.halves if h != move.to_half]
    if move.version != move.from_version or len(others) != 1:
        return ""
    split = Split(move.from_version, 1.0, half=others[0])
    return others[0] if _is_live(state, members, service, split) else ""


def _is_live(
    state: state_lib.State,
    members: directory.Snapshot,
    service: str,
    split: Split,
) -> bool:
    serving = members.serving(service, split.version)
    if not split.half:
        return bool(serving)
    return any(m.half(state.configuration) == split.half for m in serving)


def _with_live_members(
    state: state_lib.State,
    members: directory.Snapshot,
    service: str,
    splits: tuple[Split, ...],
) -> tuple[Split, ...]:
    live = tuple(
        split
        for split in splits
        if split.share > 0 and _is_live(state, members, service, split)
    )
    total = sum(split.share for split in live)
    return tuple(
        dataclasses.replace(split, share=split.share / total) for split in live
    )
