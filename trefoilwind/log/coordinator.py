"""Coordinator of the records that nodes write about the mesh itself.

The holder of one lease writes checkpoints. In each data centre the holder of
the registrar lease writes the short list of contacts through which new nodes
find their peers.
"""

import dataclasses
import uuid

from trefoilwind import environment as environment_lib
from trefoilwind import events
from trefoilwind.distribution import topology
from trefoilwind.log import checkpoints
from trefoilwind.log import fold
from trefoilwind.log import leases
from trefoilwind.model import records
from trefoilwind.model import state as state_lib

MAX_LEASE_CANDIDATES = 3
CONTACTS_PER_DATA_CENTRE = 5
CONTACTS_INTERVAL_S = 10.0
CHECKPOINT_RETRY_S = 5.0


@dataclasses.dataclass(frozen=True)
class AppendRequest:
    """A record to append.

    Attributes:
        record_id: Id of the record.
        payload: Bytes of the record.
        deadline: Monotonic time after which it need not be appended.
    """

    record_id: str
    payload: bytes
    deadline: float


class Coordinator:
    """Claims leases for this node and writes the records of held leases."""

    def __init__(self, environment: environment_lib.Environment):
        self._environment = environment
        self._settings = environment.settings.log
        self._board = environment.blackboard
        data_centre = environment.settings.data_centre
        self._checkpoint_lease = leases.LeaseManager(
            environment, fold.CHECKPOINT_LEASE
        )
        self._registrar_lease = leases.LeaseManager(
            environment, fold.registrar_lease(data_centre)
        )
        self._held_leases: set[str] = set()
        self._requests: list[AppendRequest] = []
        self._last_checkpoint_offset = -1
        self._checkpoint_due = (
            environment.clock.monotonic() + self._settings.checkpoint_interval_s
        )
        self._next_checkpoint = 0.0
        self._next_contacts = 0.0

    def drain_requests(self) -> list[AppendRequest]:
        """Remove and return the records that should be appended now."""
        requests = self._requests
        self._requests = []
        return requests

    def tick(self) -> None:
        """Claim and renew leases and request the records that are due."""
        state = self._board.state.value
        now = self._environment.clock.monotonic()
        if state.checkpoint_offset != self._last_checkpoint_offset:
            self._last_checkpoint_offset = state.checkpoint_offset
            interval_s = self._settings.checkpoint_interval_s
            self._checkpoint_due = now + interval_s
        self._update_lease(self._checkpoint_lease, state, now)
        self._update_lease(self._registrar_lease, state, now)
        self._write_checkpoint(state, now)
        self._write_contacts(state, now)

    def _candidate_position(self, manager: leases.LeaseManager) -> int | None:
        members = self._board.members.value
        if self._board.lifecycle.value.draining:
            return None
        if manager is self._registrar_lease:
            own = self._environment.settings.data_centre
            chosen = topology.relays(members, own, MAX_LEASE_CANDIDATES)
        else:
            chosen = topology.candidates(
                members, manager.name, MAX_LEASE_CANDIDATES
            )
        node_id = self._environment.node_id
        return chosen.index(node_id) if node_id in chosen else None

    def _update_lease(
        self, manager: leases.LeaseManager, state: state_lib.State, now: float
    ) -> None:
        claim = manager.next_claim(state, self._candidate_position(manager))
        if claim is not None:
            self._request_append(claim, now + self._settings.lease_s / 4)
        is_held = manager.epoch(state) is not None
        if is_held == (manager.name in self._held_leases):
            return
        kind = events.LEASE_ACQUIRED if is_held else events.LEASE_LOST
        self._environment.events.emit(kind, subject=manager.name)
        self._held_leases ^= {manager.name}

    def _write_checkpoint(self, state: state_lib.State, now: float) -> None:
        epoch = self._checkpoint_lease.epoch(state)
        if epoch is None or now < self._next_checkpoint:
            return
        count = state.next_offset - 1 - state.checkpoint_offset
        is_due = now >= self._checkpoint_due
        if not is_due and count < self._settings.checkpoint_records:
            return
        self._next_checkpoint = now + CHECKPOINT_RETRY_S
        self._request_append(
            checkpoints.make(state, epoch), now + CHECKPOINT_RETRY_S
        )
        self._environment.events.emit(
            events.CHECKPOINT_WRITTEN, subject=str(state.next_offset)
        )

    def _write_contacts(self, state: state_lib.State, now: float) -> None:
        epoch = self._registrar_lease.epoch(state)
        if epoch is None or now < self._next_contacts:
            return
        contacts = self._contacts()
        data_centre = self._environment.settings.data_centre
        current = next(
            (c for c in state.contacts if c.data_centre == data_centre), None
        )
        if current is not None and current.contacts == contacts:
            return
        self._next_contacts = now + CONTACTS_INTERVAL_S
        body = records.Contacts(epoch, data_centre, contacts)
        self._request_append(body, now + CONTACTS_INTERVAL_S)

    def _contacts(self) -> tuple[records.Contact, ...]:
        data_centre = self._environment.settings.data_centre
        members = self._board.members.value
        chosen = topology.relays(members, data_centre, CONTACTS_PER_DATA_CENTRE)
        return tuple(
            records.Contact(
                node_id, data_centre, members.by_node[node_id].peer_address
            )
            for node_id in chosen
        )

    def _request_append(self, body: records.Body, deadline: float) -> None:
        # The environment's random generator keeps fuzzed runs reproducible.
        number = self._environment.random.getrandbits(128)
        record_id = uuid.UUID(int=number).hex
        payload = records.encode(record_id, self._environment.node_id, body)
        self._requests.append(AppendRequest(record_id, payload, deadline))
