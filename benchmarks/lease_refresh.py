"""Compares policies for renewing member leases by bytes and false expiries.

Run with `python -m benchmarks.lease_refresh`. The production membership
controllers run over in-memory streams on a virtual clock, so that all runs give
the same result. The streams lose messages, which TCP does not: the loss stands
for broken streams.
"""

import dataclasses
import random
from typing import Any

from trefoilwind import clock as clock_lib
from trefoilwind import codec
from trefoilwind import environment as environment_lib
from trefoilwind import events
from trefoilwind import settings as settings_lib
from trefoilwind.distribution import links as links_lib
from trefoilwind.distribution import messages
from trefoilwind.distribution import ports
from trefoilwind.membership import controller as membership_lib
from trefoilwind.membership import messages as membership_messages
from trefoilwind.model import addresses

NODES = 32
TICK_S = 0.1
SETTLE_S = 30.0
DURATION_S = 600.0
LEASE_S = 60.0
SILENCE_TIMEOUT_S = 3.0
PAUSE_INTERVAL_S = 5.0
LOSSES = (0.0, 0.05, 0.2)
PAUSES_S = (0.0, 5.0, 15.0)
POLICIES = ((0.75, 0.5), (0.75, 0.0), (0.5, 0.5), (0.5, 0.0))


@dataclasses.dataclass(frozen=True)
class Case:
    """One renewal policy with one kind of fault.

    Attributes:
        refresh_ratio: Fraction of the lease after which it is renewed.
        coalesce_s: Seconds for which renewals are collected into one message.
        loss: Share of messages that are lost.
        pause_s: Duration of the pauses of nodes in seconds; 0 for none.
    """

    refresh_ratio: float
    coalesce_s: float
    loss: float
    pause_s: float


class _Node:
    """Membership and link controllers of one node."""

    def __init__(self, case: Case, index: int, clock: clock_lib.VirtualClock):
        first = addresses.Address("127.0.0.1", 1)
        self.environment = environment_lib.make(
            settings_lib.NodeSettings(
                node_id=f"node-{index:02d}",
                data_centre="perth-a",
                region="perth",
                log=settings_lib.LogSettings(url=""),
                peer_address=addresses.Address("127.0.0.1", index + 1),
                contacts=(first,),
                membership=settings_lib.MembershipSettings(
                    lease_s=LEASE_S,
                    refresh_ratio=case.refresh_ratio,
                    coalesce_s=case.coalesce_s,
                ),
            ),
            clock,
            seed=index,
        )
        self.links = links_lib.LinkController(self.environment)
        self.membership = membership_lib.MembershipController(
            self.environment, self.links
        )
        self.controllers = (self.links, self.membership)
        self.connected: set[str] = set()
        self.paused_since = 0.0
        self.paused_until = 0.0
        self.expired_count = 0
        self.environment.events.subscribe(events.MEMBER_EXPIRED, self._count)

    def _count(self, _: events.Event) -> None:
        self.expired_count += 1


class Run:
    """Simulation of all nodes of one case."""

    def __init__(self, case: Case):
        self._case = case
        self._rng = random.Random(1)
        self._clock = clock_lib.VirtualClock()
        self._nodes = {
            node.environment.node_id: node
            for node in (_Node(case, i, self._clock) for i in range(NODES))
        }
        self._queue: list[tuple[str, str, bytes]] = []
        self._next_pause = 0.0
        self.renewal_bytes = 0
        self.all_bytes = 0
        self.sent_messages = 0

    @property
    def expired_count(self) -> int:
        """Number of expiries of live members, summed over all nodes."""
        return sum(node.expired_count for node in self._nodes.values())

    def run(self, seconds: float, with_faults: bool) -> None:
        """Advance the simulation by a number of seconds."""
        for _ in range(round(seconds / TICK_S)):
            self._clock.advance(TICK_S)
            if with_faults:
                self._start_pause()
                self._close_silent_streams()
            self._deliver(self._case.loss if with_faults else 0.0)
            for node in self._nodes.values():
                if not self._is_paused(node):
                    for controller in node.controllers:
                        self._send(node, controller.tick())

    def reset(self) -> None:
        """Reset all counters."""
        self.renewal_bytes = self.all_bytes = self.sent_messages = 0
        for node in self._nodes.values():
            node.expired_count = 0

    def _is_paused(self, node: _Node) -> bool:
        return self._clock.monotonic() < node.paused_until

    def _start_pause(self) -> None:
        now = self._clock.monotonic()
        if not self._case.pause_s or now < self._next_pause:
            return
        self._next_pause = now + PAUSE_INTERVAL_S
        node = self._rng.choice(list(self._nodes.values()))
        if not self._is_paused(node):
            node.paused_since = now
            node.paused_until = now + self._case.pause_s

    def _close_silent_streams(self) -> None:
        """Close the streams of nodes that are paused for too long."""
        now = self._clock.monotonic()
        for node in self._nodes.values():
            if not self._is_paused(node):
                continue
            if now - node.paused_since >= SILENCE_TIMEOUT_S:
                for peer in sorted(node.connected):
                    self._close_stream(node, self._nodes[peer])

    def _close_stream(self, node: _Node, peer: _Node) -> None:
        for one, other in ((node, peer), (peer, node)):
            one.connected.discard(other.environment.node_id)
            for controller in one.controllers:
                self._send(one, controller.peer_lost(other.environment.node_id))

    def _connect(self, node: _Node, address: addresses.Address) -> None:
        peer = next(
            x
            for x in self._nodes.values()
            if x.environment.settings.peer_address == address
        )
        if self._is_paused(peer) or peer is node:
            return
        for one, other in ((node, peer), (peer, node)):
            other_id = other.environment.node_id
            if other_id in one.connected:
                continue
            one.connected.add(other_id)
            for controller in one.controllers:
                self._send(one, controller.peer_connected(other_id))

    def _send(self, node: _Node, envelopes: list[ports.Envelope]) -> None:
        for envelope in envelopes:
            if envelope.peer in node.connected:
                self._enqueue(node, envelope)
            elif envelope.address is not None:
                self._connect(node, envelope.address)

    def _enqueue(self, node: _Node, envelope: ports.Envelope) -> None:
        data = codec.encode(envelope.message)
        self.all_bytes += len(data)
        self.sent_messages += 1
        if isinstance(envelope.message, membership_messages.RenewalUpdate):
            self.renewal_bytes += len(data)
        sender = node.environment.node_id
        self._queue.append((sender, envelope.peer, data))

    def _deliver(self, loss: float) -> None:
        queue, self._queue = self._queue, []
        for sender, receiver, data in queue:
            node = self._nodes[receiver]
            if sender not in node.connected:
                continue
            if self._is_paused(node):
                self._queue.append((sender, receiver, data))
            elif self._rng.random() >= loss:
                self._handle(node, sender, codec.decode(data, "bench"))

    def _handle(self, node: _Node, sender: str, message: Any) -> None:
        is_link = isinstance(
            message,
            (
                messages.LinkOpen,
                messages.LinkClose,
                messages.Refusal,
                messages.PushRequest,
            ),
        )
        controller = node.links if is_link else node.membership
        self._send(node, controller.handle(sender, message))


def measure(case: Case) -> str:
    """Run one case; return its row of the table."""
    run = Run(case)
    run.run(SETTLE_S, with_faults=False)
    run.reset()
    run.run(DURATION_S, with_faults=True)
    per_node_s = NODES * DURATION_S
    return " | ".join(
        (
            f"{case.refresh_ratio:.2f}",
            f"{case.coalesce_s:.1f}",
            f"{case.loss:.2f}",
            f"{case.pause_s:.0f}",
            f"{run.renewal_bytes / per_node_s:.1f}",
            f"{run.all_bytes / per_node_s:.1f}",
            f"{run.sent_messages / per_node_s:.2f}",
            str(run.expired_count),
        )
    )


def main() -> None:
    """Measure all policies with message loss and with pauses."""
    print(
        "refresh ratio | coalesce s | loss | pause s | renewal B/s/node |"
        " all B/s/node | messages/s/node | false expiries"
    )
    faults = [(loss, 0.0) for loss in LOSSES]
    faults += [(0.0, pause_s) for pause_s in PAUSES_S[1:]]
    for loss, pause_s in faults:
        for refresh_ratio, coalesce_s in POLICIES:
            case = Case(refresh_ratio, coalesce_s, loss, pause_s)
            print(measure(case), flush=True)


if __name__ == "__main__":
    main()
