import pytest

from tests.test_log import test_log_fold as log_fold
from trefoilwind import clock as clock_lib
from trefoilwind import environment as environment_lib
from trefoilwind import settings as settings_lib
from trefoilwind.log import checkpoints
from trefoilwind.log import fold
from trefoilwind.membership import directory
from trefoilwind.model import addresses
from trefoilwind.model import members
from trefoilwind.node import log_actor
from trefoilwind.node import messages


@pytest.fixture
def environment():
    settings = settings_lib.NodeSettings(
        node_id="a",
        data_centre="perth-a",
        region="perth",
        log=settings_lib.LogSettings(url=""),
    )
    environment = environment_lib.make(settings, clock_lib.VirtualClock(), 1)
    own = members.Member("a", 1, 1, "perth-a", addresses.Address())
    environment.blackboard.members.claim("test")(directory.snapshot([own]))
    return environment


def test_a_reader_whose_offset_expired_loads_the_checkpoint(environment):
    writer = log_fold.Writer()
    writer.claim("a", at=100.0)
    stored = writer.state
    epoch = stored.lease(fold.CHECKPOINT_LEASE).epoch
    writer.write(checkpoints.make(stored, epoch))
    writer.log.expire_before(1)
    reader = log_actor.Reader(environment, writer.log)
    received = []
    assert reader.read_page(received.append, wait_s=0.0)
    assert received == [messages.CheckpointRead(stored)]


def test_a_reader_without_any_checkpoint_is_idle(environment):
    writer = log_fold.Writer()
    writer.claim("a", at=100.0)
    writer.log.expire_before(1)
    reader = log_actor.Reader(environment, writer.log)
    received = []
    assert not reader.read_page(received.append, wait_s=0.0)
    assert received == []
