import dataclasses
import math

import pytest

from tests.test_distribution import oracle
from trefoilwind import errors
from trefoilwind.log import checkpoints
from trefoilwind.log import fold
from trefoilwind.model import moves
from trefoilwind.model import records
from trefoilwind.model import state as state_lib
from trefoilwind.standins import log_service


class Writer:
    """Appends records to a log and folds each into the state."""

    def __init__(self) -> None:
        self.state = state_lib.State()
        self.log = log_service.MemoryLog()

    def write(self, body: records.Body, record_id: str = "") -> errors.Reason:
        offset = self.log.end_offset
        payload = records.encode(record_id or str(offset), "writer", body)
        self.log.append(payload)
        folded = fold.fold(self.state, offset, payload)
        self.state = folded.state
        return folded.error.reason if folded.error else None

    def claim(self, holder: str, at: float, length_s: float = 10.0):
        name = fold.CHECKPOINT_LEASE
        claim = records.LeaseClaim(name, holder, at + length_s, at)
        return self.write(claim)


@pytest.fixture
def writer():
    writer = Writer()
    initial = oracle.configuration(5.0)
    assert writer.write(records.Publication(-1, initial)) is None
    return writer


def expected_rejection(number: float) -> errors.Reason:
    """Return why a record with that number must be rejected."""
    if math.isfinite(number):
        return errors.Reason.OUT_OF_RANGE
    return errors.Reason.UNDECODABLE


def move(deadline: float = 2.0) -> records.MoveRequest:
    return records.MoveRequest(oracle.SERVICE, "v2", deadline, 1.0)


def test_service_with_an_open_move_cannot_be_removed(writer):
    without = oracle.configuration(5.0, has_service=False)
    assert writer.write(move(), "move") is None
    publication = records.Publication(0, without)
    assert writer.write(publication) is errors.Reason.MOVE_OPEN
    assert writer.state.version == 0
    proposal = moves.Outcome("move", moves.Result.DONE, "test")
    assert writer.write(proposal) is None
    assert writer.state.is_open("move")
    assert writer.write(publication) is errors.Reason.MOVE_OPEN
    early = dataclasses.replace(proposal, at=proposal.at + 1.0)
    assert writer.write(early) is errors.Reason.REPEATED_RECORD
    confirmed_at = proposal.at + moves.CONFIRMATION_DELAY_S
    assert writer.write(dataclasses.replace(proposal, at=confirmed_at)) is None
    assert not writer.state.is_open("move")
    assert writer.state.stable_version(oracle.SERVICE, "") == "v2"
    assert writer.write(publication) is None
    assert writer.state.stable == ()


def test_repeated_move_record_is_rejected(writer):
    writer.write(move(), "move")
    for at in (0.0, moves.CONFIRMATION_DELAY_S):
        writer.write(moves.Outcome("move", moves.Result.DONE, "test", at=at))
    assert not writer.state.is_open("move")
    assert writer.write(move(), "move") is errors.Reason.REPEATED_RECORD


@pytest.mark.parametrize("deadline", [math.nan, math.inf, 1.0])
def test_a_move_needs_a_finite_later_deadline(writer, deadline):
    assert writer.write(move(deadline)) is expected_rejection(deadline)


def test_checkpoint_of_a_superseded_lease_holder_is_rejected(writer):
    assert writer.claim("a", at=100.0) is None
    epoch = writer.state.lease(fold.CHECKPOINT_LEASE).epoch
    late = checkpoints.make(writer.state, epoch)
    assert writer.claim("b", at=105.0) is errors.Reason.LEASE_HELD
    assert writer.claim("b", at=110.0) is None
    assert writer.claim("a", at=111.0) is errors.Reason.LEASE_HELD
    assert writer.write(late) is errors.Reason.STALE_EPOCH


def test_a_repeated_claim_does_not_shorten_the_lease(writer):
    writer.claim("a", at=100.0)
    writer.claim("a", at=105.0)
    assert writer.claim("a", at=100.0) is errors.Reason.REPEATED_RECORD
    assert writer.state.lease(fold.CHECKPOINT_LEASE).expires_at == 115.0


@pytest.mark.parametrize("length_s", [0.0, -1.0, math.nan, math.inf])
def test_a_claim_has_a_bounded_length(writer, length_s):
    reason = writer.claim("a", 100.0, length_s)
    assert reason is expected_rejection(length_s)


def test_reader_behind_retention_resumes_only_from_a_later_checkpoint(writer):
    writer.claim("a", at=100.0)
    epoch = writer.state.lease(fold.CHECKPOINT_LEASE).epoch
    stored = writer.state
    writer.write(checkpoints.make(stored, epoch))
    writer.log.expire_before(2)
    assert checkpoints.find_next(writer.log, 0) == stored
    missing = checkpoints.find_next(writer.log, stored.next_offset)
    assert missing.reason is errors.Reason.OFFSET_EXPIRED
    writer.log.expire_before(3)
    assert isinstance(checkpoints.find_next(writer.log, 0), errors.Error)
