"""Controller of the records that nodes write for themselves.

One node, by lease, writes checkpoints; one per data centre writes the short
list of contacts by which newcomers find their peers.
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

CANDIDATES = 3
CONTACTS_PER_DATA_CENTRE = 5
CONTACTS_INTERVAL_S = 10.0
CHECKPOINT_RETRY_S = 5.0


@dataclasses.dataclass(frozen=True)
class Request:
    """A record to append.

    Attributes:
        record_id: Id of the record.
        payload: Bytes of the record.
        deadline: Monotonic time after which it is of no use.
    """

    record_id: str
    payload: bytes
    deadline: float


class Coordinator:
    """Keeps the leases of this node and writes what they stand for."""

    def __init__(self, environment: environment_lib.Environment):
        self._environment = environment
        self._settings = environment.settings.log
        self._board = environment.blackboard
        data_centre = environment.settings.data_centre
        self._checkpoint = leases.LeaseKeeper(
            environment, fold.CHECKPOINT_LEASE
        )
        self._registrar = leases.LeaseKeeper(
            environment, fold.registrar_lease(data_centre)
        )
        self._held: set[str] = set()
        self._requests: list[Request] = []
        self._seen_checkpoint = -1
        self._checkpoint_due = (
            environment.clock.monotonic() + self._settings.checkpoint_interval_s
        )
        self._next_checkpoint = 0.0
        self._next_contacts = 0.0

    def take_requests(self) -> list[Request]:
        """Return the records that should be appended now."""
        requests = self._requests
        self._requests = []
        return requests

    def tick(self) -> None:
        """Claim and renew leases, write what is due."""
        state = self._board.state.value
        now = self._environment.clock.monotonic()
        if state.checkpoint_offset != self._seen_checkpoint:
            self._seen_checkpoint = state.checkpoint_offset
            interval_s = self._settings.checkpoint_interval_s
            self._checkpoint_due = now + interval_s
        self._claim(self._checkpoint, state, now)
        self._claim(self._registrar, state, now)
        self._write_checkpoint(state, now)
        self._write_contacts(state, now)

    def _position(self, keeper: leases.LeaseKeeper) -> int | None:
        members = self._board.members.value
        if self._board.lifecycle.value.draining:
            return None
        if keeper is self._registrar:
            own = self._environment.settings.data_centre
            chosen = topology.relays(members, own, CANDIDATES)
        else:
            chosen = topology.candidates(members, keeper.name, CANDIDATES)
        node_id = self._environment.node_id
        return chosen.index(node_id) if node_id in chosen else None

    def _claim(
        self, keeper: leases.LeaseKeeper, state: state_lib.State, now: float
    ) -> None:
        claim = keeper.next_claim(state, self._position(keeper))
        if claim is not None:
            self._request(claim, now + self._settings.lease_s / 4)
        is_held = keeper.epoch(state) is not None
        if is_held == (keeper.name in self._held):
            return
        kind = events.LEASE_ACQUIRED if is_held else events.LEASE_LOST
        self._environment.events.emit(kind, subject=keeper.name)
        self._held ^= {keeper.name}

    def _write_checkpoint(self, state: state_lib.State, now: float) -> None:
        epoch = self._checkpoint.epoch(state)
        if epoch is None or now < self._next_checkpoint:
            return
        count = state.next_offset - 1 - state.checkpoint_offset
        is_due = now >= self._checkpoint_due
        if not is_due and count < self._settings.checkpoint_records:
            return
        self._next_checkpoint = now + CHECKPOINT_RETRY_S
        self._request(checkpoints.make(state, epoch), now + CHECKPOINT_RETRY_S)
        self._environment.events.emit(
            events.CHECKPOINT_WRITTEN, subject=str(state.next_offset)
        )

    def _write_contacts(self, state: state_lib.State, now: float) -> None:
        epoch = self._registrar.epoch(state)
        if epoch is None or now < self._next_contacts:
            return
        contacts = self._contacts()
        data_centre = self._environment.settings.data_centre
        known = next(
            (c for c in state.contacts if c.data_centre == data_centre), None
        )
        if known is not None and known.contacts == contacts:
            return
        self._next_contacts = now + CONTACTS_INTERVAL_S
        body = records.Contacts(epoch, data_centre, contacts)
        self._request(body, now + CONTACTS_INTERVAL_S)

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

    def _request(self, body: records.Body, deadline: float) -> None:
        # Numbers of the environment keep fuzzed runs repeatable.
        number = self._environment.random.getrandbits(128)
        record_id = uuid.UUID(int=number).hex
        payload = records.encode(record_id, self._environment.node_id, body)
        self._requests.append(Request(record_id, payload, deadline))
