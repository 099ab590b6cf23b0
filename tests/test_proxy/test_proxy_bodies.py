"""Flow control of bodies, fuzzed against a record of the sent bytes."""

import threading
import time

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from trefoilwind import errors
from trefoilwind.distribution import frames
from trefoilwind.proxy import bodies
from trefoilwind.proxy import calls

_TIMEOUT_S = 60.0


class BodyMachine(stateful.RuleBasedStateMachine):
    """Delays frames and grants, and reads the body at arbitrary times."""

    @stateful.initialize(window=st.integers(1, 300_000))
    def start(self, window):
        deadline = time.monotonic() + _TIMEOUT_S
        self.window = max(window, frames.INITIAL_CREDIT_BYTES)
        self.grants = []
        self.frames = []
        self.sent = b""
        self.consumed = b""
        self.credit = bodies.Credit(deadline)
        self.body = bodies.ReceivedBody(window, deadline, self.grants.append)
        self.chunks = iter(self.body)
        self.queued_chunks = 0

    @stateful.rule(count=st.integers(1, 100_000), fill=st.integers(0, 255))
    def send(self, count, fill):
        if self.credit._available_bytes <= 0:
            return
        count = self.credit.acquire(count)
        chunk = bytes([fill]) * count
        self.sent += chunk
        self.frames.append(chunk)

    @stateful.precondition(lambda self: self.frames)
    @stateful.rule()
    def deliver(self):
        chunk = self.frames.pop(0)
        assert self.body.put(chunk, False)
        self.queued_chunks += 1

    @stateful.precondition(lambda self: self.grants)
    @stateful.rule()
    def grant(self):
        self.credit.add(self.grants.pop(0))

    @stateful.precondition(lambda self: self.queued_chunks)
    @stateful.rule()
    def consume(self):
        self.consumed += next(self.chunks)
        self.queued_chunks -= 1

    @stateful.invariant()
    def window_bounds_buffered_bytes(self):
        if not hasattr(self, "sent"):
            return
        assert len(self.sent) - len(self.consumed) <= self.window
        assert self.sent.startswith(self.consumed)


BodyMachine.TestCase.settings = hypothesis.settings(stateful_step_count=40)
TestBodyFuzz = BodyMachine.TestCase


def test_a_body_larger_than_the_window_arrives_whole():
    deadline = time.monotonic() + _TIMEOUT_S
    credit = bodies.Credit(deadline)
    body = bodies.ReceivedBody(1, deadline, credit.add)
    chunks = [bytes([i]) * 70_000 for i in range(20)]

    def send():
        bodies.send(iter(chunks), credit, lambda x: body.put(x, False) and None)
        body.put(b"", True)

    thread = threading.Thread(target=send)
    thread.start()
    assert b"".join(body) == b"".join(chunks)
    thread.join(_TIMEOUT_S)


def test_a_stopped_sender_ends_without_error():
    credit = bodies.Credit(time.monotonic() + _TIMEOUT_S)
    credit.stop()
    assert bodies.send(iter([b"x"]), credit, lambda x: None) is None


def test_a_sender_without_credit_ends_at_its_deadline():
    credit = bodies.Credit(time.monotonic())
    credit.acquire(frames.INITIAL_CREDIT_BYTES)
    error = bodies.send(iter([b"x"]), credit, lambda x: None)
    assert error.reason is errors.Reason.DEADLINE_EXCEEDED


def test_a_body_can_be_resent_while_its_first_bytes_are_buffered():
    pieces = [bytes([i]) * 65536 for i in range(4)]
    body = calls.Body(iter(pieces))
    for _ in range(2):
        chunks = iter(body)
        assert [next(chunks), next(chunks)] == pieces[:2]
        assert body.is_repeatable
    assert list(body) == pieces
    assert body.is_ended
    assert not body.is_repeatable
    with pytest.raises(calls.BodyCut):
        next(iter(body))
