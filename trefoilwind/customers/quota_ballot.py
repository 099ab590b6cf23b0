"""Choice of the owners of quotas by a majority of voters; pure decisions.

Answers links, nodes and data centres that fail while customers send more than
their limits. The voters are relays of all data centres. Customers are divided
into slots, one for each voter, by rendezvous hashing. A voter supports the
first live voter in the ranking of a slot and promises to support no other one
for SUPPORT_S. An owner counts a promise from the time at which it asked for it,
so a promise never lasts longer for the owner than for the voter. Any two
majorities have a voter in common, so a slot has one owner at a time.

An owner lends once a majority of voters has been free of other owners for the
duration of a loan: then no token of another owner is left. A process that
replaces the owner at the same node counts as another owner.
"""

from collections.abc import Callable
import dataclasses

from trefoilwind.customers import quota_account
from trefoilwind.customers import quota_messages
from trefoilwind.customers import quota_owner
from trefoilwind.distribution import topology
from trefoilwind.membership import directory

# Seconds for which a voter supports no other owner. Claims are sent five times
# a second, so two may be lost or late.
SUPPORT_S = 0.7
# Voters of a mesh with one data centre, where all nodes have streams to others.
VOTERS_OF_ONE_DATA_CENTRE = 5
# Data centres from which on each has one voter, so that claims stay few.
MANY_DATA_CENTRES = 5
# Seconds after a change of the voters until an owner lends again: members are
# known everywhere in about a second, and the owner by the previous voters must
# have ended by then.
CHANGE_S = 1.0
# Seconds for which an earlier choice is remembered: until the bucket of a new
# owner is full.
_EARLIER_S = 10.0


def voters(members: directory.Snapshot) -> tuple[str, ...]:
    """Return the voters, sorted: the relays of all data centres."""
    centres = {each.data_centre for each in members.members}
    count = topology.RELAYS_PER_DATA_CENTRE
    if len(centres) == 1:
        count = VOTERS_OF_ONE_DATA_CENTRE
    elif len(centres) >= MANY_DATA_CENTRES:
        count = 1
    return tuple(
        sorted(
            node_id
            for centre in centres
            for node_id in topology.relays(members, centre, count)
        )
    )


def slot(customer: str, voter_ids: tuple[str, ...]) -> str:
    """Return the slot of a customer, the voter that ranks first for it."""
    chosen = topology.rendezvous(f"quota/{customer}", voter_ids, 1)
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


@dataclasses.dataclass(slots=True)
class _Promise:
    """Support of one slot by this voter.

    Attributes:
        owner: Voter that is supported; empty for none.
        epoch: Start of its process.
        deadline: Time in seconds until which no other one is supported.
        free_since: Time since which the support of another one has ended.
    """

    owner: str
    epoch: int
    deadline: float
    free_since: float


class Ballot:
    """Promises of a voter, and those that it got as an owner."""

    def __init__(
        self,
        node_id: str,
        epoch: int,
        is_alive: Callable[[str], bool],
        started: float,
    ):
        """Initialize; promises of an earlier process may still be in force.

        Args:
            node_id: This node.
            epoch: Start of its process.
            is_alive: Returns whether another voter can be reached.
            started: Time in seconds of the start of the process.
        """
        self._node_id = node_id
        self._epoch = epoch
        self._is_alive = is_alive
        self._free_since = started + SUPPORT_S
        self._voters: tuple[str, ...] = ()
        # Earlier voters, with the time until which they may have an owner.
        self._earlier: list[tuple[tuple[str, ...], float]] = []
        self._promises: dict[str, _Promise] = {}
        # Supports by slot and voter: end, and time since which it is free.
        self._supports: dict[str, dict[str, tuple[float, float]]] = {}
        self._rankings: dict[str, tuple[str, ...]] = {}
        # Voter that claimed to be the owner of a slot, and when.
        self._owners: dict[str, tuple[str, float]] = {}

    @property
    def is_voter(self) -> bool:
        """True if this node is a voter."""
        return self._node_id in self._voters

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters."""
        return self._voters

    def set_voters(self, voter_ids: tuple[str, ...], now: float) -> None:
        """Apply the voters that the members determine."""
        if voter_ids == self._voters:
            return
        if self._voters:
            self._earlier.append((self._voters, now + CHANGE_S))
        self._voters = voter_ids
        self._rankings = {
            each: (
                each,
                *topology.rendezvous(
                    f"quota-slot/{each}",
                    [other for other in voter_ids if other != each],
                    len(voter_ids),
                ),
            )
            for each in voter_ids
        }
        known = set(voter_ids)
        self._owners = {
            each: found for each, found in self._owners.items() if each in known
        }
        self._supports = {
            each: {
                voter: support
                for voter, support in found.items()
                if voter in known
            }
            for each, found in self._supports.items()
            if each in known
        }
        self._promises = {
            each: promise
            for each, promise in self._promises.items()
            if each in known or now < promise.deadline
        }

    def owner(self, customer: str, now: float) -> str:
        """Return the owner of a customer's quota as far as known here."""
        each = slot(customer, self._voters)
        promise = self._promises.get(each)
        if promise is not None and now < promise.deadline:
            return promise.owner
        return self._preferred(each, now)

    def claim(self, now: float) -> quota_messages.Claim:
        """Return the claim to send to the other voters."""
        wait_s = quota_account.LOAN_S + quota_owner.GRACE_S
        self._earlier = [
            (earlier, ended_at)
            for earlier, ended_at in self._earlier
            if now < ended_at + _EARLIER_S + wait_s
        ]
        owned = tuple(each for each in self._voters if self._owns(each, now))
        claim = quota_messages.Claim(now, self._epoch, owned)
        self.merge_support(
            self._node_id, self.support(self._node_id, claim, now), now
        )
        return claim

    def support(
        self, candidate: str, claim: quota_messages.Claim, now: float
    ) -> quota_messages.Support:
        """Return the slots in which this voter supports a candidate."""
        slots = []
        owned = self._rankings.keys() & set(claim.owned)
        self._owners |= dict.fromkeys(owned, (candidate, now))
        if self.is_voter and now >= self._free_since:
            for each in self._voters:
                promise = self._support_slot(candidate, each, claim, now)
                if promise is not None:
                    slots.append((each, now - promise.free_since))
        return quota_messages.Support(claim.sent_s, tuple(slots))

    def merge_support(
        self, voter: str, support: quota_messages.Support, now: float
    ) -> None:
        """Note the promises of a voter."""
        if voter not in self._voters or support.sent_s > now:
            return
        deadline = support.sent_s + SUPPORT_S
        supported = dict(support.slots)
        for each in self._voters:
            by_voter = self._supports.setdefault(each, {})
            if each in supported:
                by_voter[voter] = (deadline, now - max(0.0, supported[each]))

    def tenure(self, customer: str, now: float) -> Tenure | None:
        """Return when this node may lend tokens of a customer.

        Args:
            customer: Name of the customer.
            now: Time in seconds.

        Returns:
            None if this node is not the owner.
        """
        each = slot(customer, self._voters)
        if not each:
            return None
        free = self._free(each, now)
        majority = self._majority
        if len(free) < majority:
            return None
        since = sorted(free)[majority - 1]
        for earlier, ended_at in self._earlier:
            if not self._is_same_owner(customer, each, earlier):
                since = max(since, ended_at)
        wait_s = quota_account.LOAN_S + quota_owner.GRACE_S
        return Tenure(since, since + wait_s)

    def _is_same_owner(
        self, customer: str, each: str, earlier: tuple[str, ...]
    ) -> bool:
        """Return True if other voters chose the same owner of a customer.

        Two majorities have a voter in common if one voter at most differs.
        """
        is_like = (
            len(set(earlier) - set(self._voters)) <= 1
            and len(set(self._voters) - set(earlier)) <= 1
        )
        return is_like and slot(customer, earlier) == each

    @property
    def _majority(self) -> int:
        """Votes of a majority; the first voter has two if they are even."""
        count = len(self._voters)
        return (count + (count % 2 == 0)) // 2 + 1

    def _free(self, each: str, now: float) -> list[float]:
        """Return since when each vote for this node is free of other owners."""
        free = []
        for voter, (deadline, since) in self._supports.get(each, {}).items():
            if now < deadline:
                free.append(since)
                if len(self._voters) % 2 == 0 and voter == self._voters[0]:
                    free.append(since)
        return free

    def _owns(self, each: str, now: float) -> bool:
        return len(self._free(each, now)) >= self._majority

    def _support_slot(
        self,
        candidate: str,
        each: str,
        claim: quota_messages.Claim,
        now: float,
    ) -> _Promise | None:
        promise = self._promises.get(each)
        if promise is None:
            promise = _Promise("", 0, 0.0, self._free_since)
            self._promises[each] = promise
        is_current = promise.owner == candidate
        if is_current and promise.epoch != claim.epoch:
            # After a step of its wall clock a newer process has a lower epoch.
            if promise.epoch > claim.epoch and now < promise.deadline:
                return None
            # The earlier process has ended and lends no more.
            promise.epoch = claim.epoch
            promise.free_since = max(now, promise.free_since)
        if not is_current and now < promise.deadline:
            return None
        if self._preferred(each, now) != candidate:
            return None
        if not is_current:
            promise.free_since = max(promise.deadline, promise.free_since)
            promise.owner = candidate
            promise.epoch = claim.epoch
        promise.deadline = now + SUPPORT_S
        return promise

    def _preferred(self, each: str, now: float) -> str:
        """Return the owner to support: the present one, else by rank.

        A voter of higher rank that returns does not replace an owner, and all
        voters come to support the same one.
        """
        owner, seen_at = self._owners.get(each, ("", 0.0))
        ranking = self._rankings.get(each, ())
        if owner in ranking and now < seen_at + SUPPORT_S:
            ranking = (owner, *ranking)
        for candidate in ranking:
            if candidate == self._node_id or self._is_alive(candidate):
                return candidate
        return ""
