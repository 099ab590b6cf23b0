"""Choice of the owners of quotas by each node's own view; pure decisions.

Answers links, nodes and data centres that fail while customers send more than
their limits. The candidates are relays of all data centres. Customers are
divided into slots, one for each candidate, by rendezvous hashing; the owner of
a slot is the first candidate of its ranking that can be reached. Candidates
tell each other whom they hear, so that a broken link between two of them does
not look like the end of one. Nothing is voted on or stored: a node that hears
too few candidates does not lend, and a node that becomes the owner waits until
the previous one has noticed and its loans have ended.
"""

from collections.abc import Callable
import dataclasses

from trefoilwind.customers import quota_account
from trefoilwind.customers import quota_messages
from trefoilwind.customers import quota_owner
from trefoilwind.distribution import topology
from trefoilwind.membership import directory

# Seconds after its last message for which a candidate counts as reachable.
# Messages are sent five times a second, so two may be lost or late.
HEARD_S = 0.7
# Candidates in a mesh with one data centre, where all nodes have streams to
# each other.
CANDIDATES_OF_ONE_DATA_CENTRE = 5
# Data centres from which on each has one candidate, so that messages stay few.
MANY_DATA_CENTRES = 5
# Seconds after a change of the candidates until an owner lends again: members
# are known everywhere in about a second.
CHANGE_S = 1.0
# Seconds between two observations from which on the process was suspended.
_SUSPENDED_S = 1.0
# Seconds for which an earlier choice is remembered: until the bucket of a new
# owner is full.
_EARLIER_S = 10.0


def candidates(members: directory.Snapshot) -> tuple[str, ...]:
    """Return the nodes that may own quotas, sorted."""
    centres = {each.data_centre for each in members.members}
    count = topology.RELAYS_PER_DATA_CENTRE
    if len(centres) == 1:
        count = CANDIDATES_OF_ONE_DATA_CENTRE
    elif len(centres) >= MANY_DATA_CENTRES:
        count = 1
    return tuple(
        sorted(
            node_id
            for centre in centres
            for node_id in topology.relays(members, centre, count)
        )
    )


def slot(customer: str, candidate_ids: tuple[str, ...]) -> str:
    """Return the slot of a customer, the candidate that ranks first for it."""
    chosen = topology.rendezvous(f"quota/{customer}", candidate_ids, 1)
    return chosen[0] if chosen else ""


@dataclasses.dataclass(frozen=True, slots=True)
class Tenure:
    """Times in seconds of the owner of a quota.

    Attributes:
        since: Time since which no other owner has added tokens.
        lends_at: Time from which it lends, as no token of another one is left.
    """

    since: float
    lends_at: float


class Ownership:
    """One node's view of the owners."""

    def __init__(
        self, node_id: str, is_alive: Callable[[str], bool], started: float
    ):
        """Initialize; loans of an earlier process may still be in force.

        Args:
            node_id: This node.
            is_alive: Returns whether messages can be sent to another node.
            started: Time in seconds of the start of the process.
        """
        self._node_id = node_id
        self._is_alive = is_alive
        self._candidates: tuple[str, ...] = ()
        self._rankings: dict[str, tuple[str, ...]] = {}
        # Earlier candidates, with the time until which they may have an owner.
        self._earlier: list[tuple[tuple[str, ...], float]] = []
        # Time of the last message of each candidate, and of the last report of
        # another candidate that it hears it.
        self._heard: dict[str, float] = {}
        self._reported: dict[str, float] = {}
        # Time of the last message of each candidate that hears this node.
        self._confirmed: dict[str, float] = {}
        # Time since which this node and enough candidates hear each other; None
        # if they do not.
        self._connected_since: float | None = None
        self._observed_at = started
        # Time since which this node is the owner of a slot.
        self._owned_since: dict[str, float] = {}

    @property
    def is_candidate(self) -> bool:
        """True if this node may own quotas."""
        return self._node_id in self._candidates

    @property
    def candidates(self) -> tuple[str, ...]:
        """The nodes that may own quotas."""
        return self._candidates

    def set_candidates(self, ids: tuple[str, ...], now: float) -> None:
        """Apply the candidates that the members determine."""
        if ids == self._candidates:
            return
        if self._candidates:
            self._earlier.append((self._candidates, now + CHANGE_S))
        self._candidates = ids
        self._rankings = {
            each: (
                each,
                *topology.rendezvous(
                    f"quota-slot/{each}",
                    [other for other in ids if other != each],
                    len(ids),
                ),
            )
            for each in ids
        }
        for table in (
            self._heard,
            self._reported,
            self._confirmed,
            self._owned_since,
        ):
            for gone in table.keys() - set(ids):
                del table[gone]
        self._update_owned(now)

    def observe(self, now: float) -> quota_messages.Reachable:
        """Update the view; return what to tell the other candidates."""
        is_suspended = now - self._observed_at > _SUSPENDED_S
        self._observed_at = now
        heard = self._heard_now(now)
        # One that does not hear this node may take another one for the owner.
        mutual = {
            node_id
            for node_id in heard
            if node_id == self._node_id
            or now < self._confirmed.get(node_id, -HEARD_S) + HEARD_S
        }
        if is_suspended or not self._is_majority(mutual):
            # Others may have taken over meanwhile.
            self._connected_since = None
            self._owned_since.clear()
        elif self._connected_since is None:
            self._connected_since = now
        wait_s = quota_account.LOAN_S + quota_owner.GRACE_S
        self._earlier = [
            (earlier, ended_at)
            for earlier, ended_at in self._earlier
            if now < ended_at + _EARLIER_S + wait_s
        ]
        self._update_owned(now)
        return quota_messages.Reachable(tuple(sorted(heard)))

    def merge(
        self, sender: str, message: quota_messages.Reachable, now: float
    ) -> None:
        """Note whom another candidate hears."""
        if sender not in self._rankings:
            return
        self._heard[sender] = now
        if self._node_id in message.nodes:
            self._confirmed[sender] = now
        for node_id in message.nodes:
            if node_id in self._rankings:
                self._reported[node_id] = now

    def owner(self, customer: str, now: float) -> str:
        """Return the owner of a customer's quota as far as known here."""
        return self._first(slot(customer, self._candidates), now)

    def tenure(self, customer: str, now: float) -> Tenure | None:
        """Return when this node may lend tokens of a customer.

        Args:
            customer: Name of the customer.
            now: Time in seconds.

        Returns:
            None if this node is not the owner.
        """
        each = slot(customer, self._candidates)
        since = self._owned_since.get(each)
        is_connected = self._connected_since is not None
        if since is None or not is_connected or self._is_outdated(now):
            return None
        if self._first(each, now) != self._node_id:
            return None
        since = max(since, self._connected_since)
        for earlier, ended_at in self._earlier:
            if slot(customer, earlier) != each:
                since = max(since, ended_at)
        # The previous owner notices as late that it is cut off as this node.
        free_at = since + HEARD_S
        wait_s = quota_account.LOAN_S + quota_owner.GRACE_S
        return Tenure(free_at, free_at + wait_s)

    def _is_outdated(self, now: float) -> bool:
        """Return True if the process was suspended since the last update."""
        return now - self._observed_at > _SUSPENDED_S

    def _heard_now(self, now: float) -> set[str]:
        heard = {
            node_id
            for node_id, heard_at in self._heard.items()
            if now < heard_at + HEARD_S
        }
        if self.is_candidate:
            heard.add(self._node_id)
        return heard

    def _is_majority(self, heard: set[str]) -> bool:
        """Return True for more than half; of an even half, with the first."""
        if not self._candidates:
            return False
        weight = len(heard)
        total = len(self._candidates)
        if total % 2 == 0:
            total += 1
            weight += self._candidates[0] in heard
        return 2 * weight > total

    def _is_reachable(self, node_id: str, now: float) -> bool:
        if node_id == self._node_id:
            return True
        if not self.is_candidate:
            return self._is_alive(node_id)
        last = max(
            self._heard.get(node_id, -HEARD_S),
            self._reported.get(node_id, -HEARD_S),
        )
        return now < last + HEARD_S

    def _first(self, each: str, now: float) -> str:
        """Return the first candidate of a slot that can be reached."""
        for candidate in self._rankings.get(each, ()):
            if self._is_reachable(candidate, now):
                return candidate
        return ""

    def _update_owned(self, now: float) -> None:
        for each in self._candidates:
            if self._first(each, now) != self._node_id:
                self._owned_since.pop(each, None)
            else:
                self._owned_since.setdefault(each, now)
