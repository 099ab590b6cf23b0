import socket
import time

import pytest

from trefoilwind import clock as clock_lib
from trefoilwind import codec
from trefoilwind import environment as environment_lib
from trefoilwind import settings as settings_lib
from trefoilwind.distribution import frames
from trefoilwind.distribution import messages
from trefoilwind.distribution import transport as transport_lib
from trefoilwind.membership import directory
from trefoilwind.model import addresses
from trefoilwind.model import members

TIMEOUT_S = 5.0
OTHER_ADDRESS = addresses.Address("127.0.0.1", 9)


@pytest.fixture
def transport():
    settings = settings_lib.NodeSettings(
        node_id="a",
        data_centre="perth-a",
        region="perth",
        log=settings_lib.LogSettings(url=""),
        streams=settings_lib.StreamSettings(max_accepts_per_s=1),
    )
    clock = clock_lib.VirtualClock()
    environment = environment_lib.make(settings, clock, seed=1)
    other = members.Member("b", 1, 1, "perth-a", OTHER_ADDRESS)
    publish = environment.blackboard.members.claim("test")
    publish(directory.snapshot([other]))
    transport = transport_lib.Transport(environment)
    transport.listen()
    transport.start()
    yield transport
    transport.stop()


def read_first_frames(address: addresses.Address) -> list[frames.Frame]:
    """Return the first frames received, two if they arrive in time."""
    decoder = frames.Decoder()
    received = []
    deadline = time.monotonic() + TIMEOUT_S
    with socket.create_connection((address.host, address.port)) as connection:
        connection.settimeout(TIMEOUT_S)
        while len(received) < 2 and time.monotonic() < deadline:
            data = connection.recv(65536)
            if not data:
                break
            received += decoder.feed(data)
    return received


def test_a_stream_over_the_rate_is_refused_with_contacts(transport):
    address = transport._environment.peer_address
    with socket.create_connection((address.host, address.port)):
        hello, control = read_first_frames(address)
    assert hello.node_id == "a"
    refusal = codec.decode(control.payload, "test")
    assert isinstance(refusal, messages.Refusal)
    assert [c.peer_address for c in refusal.contacts] == [OTHER_ADDRESS]
