"""Measures the cost of one node's controllers at several mesh sizes.

The production controllers of one node receive the members, renewals and changes
of a large mesh without sockets. Processor time and memory are those of this
process. Run with `python -m benchmarks.node_at_size`.
"""

import gc
import random
import resource
import time
import tracemalloc
import zlib

from trefoilwind import clock as clock_lib
from trefoilwind import codec
from trefoilwind import environment as environment_lib
from trefoilwind import settings as settings_lib
from trefoilwind.distribution import ports
from trefoilwind.log import port
from trefoilwind.membership import messages as membership_messages
from trefoilwind.model import addresses
from trefoilwind.model import configuration as configuration_lib
from trefoilwind.model import members
from trefoilwind.model import records
from trefoilwind.model import state as state_lib
from trefoilwind.node import control as control_lib
from trefoilwind.node import messages
from trefoilwind.proxy import target as target_lib
from trefoilwind.rollout import controller as rollout_lib

SIZES = (688, 1375, 2750, 5500)
SERVICES = 160
ROUTES_PER_SERVICE = 4
REGIONS = 4
DATA_CENTRES = 14
LINKS = 6
TICK_S = 0.1
IDLE_TICKS = 300
CHANGES = 20
RENEWALS_PER_MESSAGE = 100
PEER = "node-00001"


class _Transport:
    """Transport that counts the bytes that would be sent."""

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.peers = (PEER,)

    def send(self, envelope: ports.Envelope) -> None:
        self.sent_bytes += len(codec.encode(envelope.message))

    def connect_later(self, peer, address=None) -> None:
        """Do nothing, so that only one peer is connected."""


def _location(index: int) -> tuple[str, str]:
    data_centre = index % DATA_CENTRES
    return f"dc-{data_centre:02d}", f"region-{data_centre % REGIONS}"


def _member(index: int, sequence: int = 0) -> members.Member:
    data_centre, region = _location(index)
    return members.Member(
        node_id=f"node-{index:05d}",
        incarnation=1,
        sequence=sequence,
        data_centre=data_centre,
        peer_address=addresses.Address("10.0.0.1", 7000),
        region=region,
        service=f"service-{index % SERVICES:03d}",
        version="v1",
        slots=20,
    )


def configuration() -> configuration_lib.Configuration:
    """Return a configuration with all `SERVICES`."""
    return configuration_lib.Configuration(
        data_centres=tuple(
            configuration_lib.DataCentre(*_location(index))
            for index in range(DATA_CENTRES)
        ),
        halves=("north", "south"),
        classes=tuple(
            configuration_lib.ClassTarget(f"class-{index}", True, 0.2, 0.99)
            for index in range(ROUTES_PER_SERVICE)
        ),
        services=tuple(
            configuration_lib.Service(
                f"service-{index:03d}",
                "v1",
                tuple(
                    configuration_lib.Route(
                        f"/route-{number}", f"class-{number}"
                    )
                    for number in range(ROUTES_PER_SERVICE)
                ),
            )
            for index in range(SERVICES)
        ),
        ownership=(configuration_lib.Ownership("north"),),
    )


class _Node:
    """One node's controllers on a virtual clock."""

    def __init__(self) -> None:
        self.clock = clock_lib.VirtualClock()
        data_centre, region = _location(0)
        settings = settings_lib.NodeSettings(
            node_id="node-00000",
            data_centre=data_centre,
            region=region,
            log=settings_lib.LogSettings(url="", region="region-3"),
        )
        self.environment = environment_lib.make(settings, self.clock, seed=1)
        self.transport = _Transport()
        self.control = control_lib.Control(
            self.environment,
            self.transport,
            target_lib.Target(self.environment),
            rollout_lib.RolloutController(self.environment),
            lambda message: None,
        )
        self.control.receive(messages.PeerConnected(PEER))

    def receive(self, message) -> None:
        """Encode, decode and handle a message as if the peer had sent it."""
        data = codec.encode(message)
        decoded = codec.decode(data, "benchmark", PEER)
        self.control.receive(messages.PeerMessage(PEER, decoded))

    def publish(self) -> int:
        """Apply a publication; return the size of its record in bytes."""
        body = records.Publication(state_lib.NO_VERSION, configuration())
        payload = records.encode("benchmark/1", "operator", body)
        page = port.Page((port.Entry(0, payload),), 1, 1)
        self.control.receive(messages.PageRead(0, page))
        return len(payload)

    def add_members(self, size: int) -> None:
        """Receive the leased members of a mesh of `size` nodes."""
        leased_members = tuple(
            membership_messages.LeasedMember(_member(index), 60.0)
            for index in range(1, size)
        )
        self.receive(membership_messages.MemberUpdate(leased_members))


def _cpu_ms(function) -> float:
    started = time.process_time()
    function()
    return (time.process_time() - started) * 1000


def _renew_members(node: _Node, size: int, renewal: int) -> None:
    indices = random.Random(renewal).sample(
        range(1, size), RENEWALS_PER_MESSAGE
    )
    node.receive(
        membership_messages.RenewalUpdate(
            tuple(
                membership_messages.Renewal(
                    f"node-{index:05d}", 1, 0, renewal, 60_000
                )
                for index in indices
            )
        )
    )


def _change_member(node: _Node, sequence: int) -> None:
    leased_member = membership_messages.LeasedMember(
        _member(7, sequence), 60.0, 1
    )
    node.receive(membership_messages.MemberUpdate((leased_member,)))


def _run_idle_ticks(node: _Node) -> None:
    for _ in range(IDLE_TICKS):
        node.clock.advance(TICK_S)
        node.control.receive(messages.Tick())


def measure(size: int) -> str:
    """Measure one size; return its row of the table."""
    gc.collect()
    tracemalloc.start()
    node = _Node()
    node.publish()
    node.add_members(size)
    gc.collect()
    memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    node = _Node()
    publication_ms = _cpu_ms(node.publish)
    fill_ms = _cpu_ms(lambda: node.add_members(size))
    idle_ms = _cpu_ms(lambda: _run_idle_ticks(node)) / (IDLE_TICKS * TICK_S)
    renewal_ms = (
        _cpu_ms(lambda: _renew_members(node, size, 1)) / RENEWALS_PER_MESSAGE
    )
    change_ms = (
        _cpu_ms(lambda: [_change_member(node, n + 1) for n in range(CHANGES)])
        / CHANGES
    )
    return (
        f"{size:7d}  {memory_mb:9.2f}  {fill_ms:8.1f}  {publication_ms:11.1f}"
        f"  {idle_ms:15.2f}  {renewal_ms * 1000:10.1f}  {change_ms:9.2f}"
    )


def main() -> None:
    """Print one row per size, then the size of a publication."""
    print(
        "members  memory MB   fill ms   publish ms   idle ms/second"
        "  renewal us  change ms"
    )
    for size in SIZES:
        print(measure(size), flush=True)
    payload_bytes = _Node().publish()
    body = records.Publication(state_lib.NO_VERSION, configuration())
    payload = records.encode("benchmark/1", "operator", body)
    compressed_bytes = len(zlib.compress(payload))
    print(f"publication: {payload_bytes} bytes, {compressed_bytes} compressed")
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1000
    print(f"largest resident set of this process: {peak_mb:.0f} MB")


if __name__ == "__main__":
    main()
