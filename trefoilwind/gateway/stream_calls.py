"""Calls over peer streams, for the entry node and the target node."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import itertools
import logging

from trefoilwind import errors
from trefoilwind.distribution import frames
from trefoilwind.gateway import buffer_account
from trefoilwind.gateway import calls
from trefoilwind.gateway import http_types
from trefoilwind.gateway import streams
from trefoilwind.gateway import unread
from trefoilwind.logs import decisions

logger = logging.getLogger(__name__)

_STEP = "stream.call"
_REASONS = {reason.value: reason for reason in errors.Reason}
# Seconds before a call's deadline at which the entry node cancels it, so that
# the answer still reaches the caller, which is milliseconds away.
DEADLINE_MARGIN_S = 0.01
# Retry time of a call for whose body there was no room.
NO_ROOM_RETRY_S = 0.5


class RemoteCalls:
    """Sends calls to peers and matches the answers to them."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._ids = itertools.count(1)
        self._pending: dict[
            streams.Stream, dict[int, asyncio.Future[calls.Outcome]]
        ] = {}
        # Ids of the pending calls that other nodes may run as well.
        self._repeatable: set[int] = set()
        self._partial_answers: dict[
            int, tuple[frames.AnswerHead, list[bytes]]
        ] = {}

    async def run(
        self, stream: streams.Stream, call: calls.Call
    ) -> calls.Outcome:
        """Run a call at the peer of a stream and return its outcome."""
        is_unusable = stream.is_closed or stream.is_silent or stream.is_ending
        if is_unusable or stream.is_congested(
            len(call.body) > frames.MAX_CHUNK_BYTES
        ):
            reason = errors.Reason.PEER_UNREACHABLE
            return calls.Outcome(_error(stream, reason, not_run=True))
        call_id = next(self._ids)
        waiter = self._loop.create_future()
        pending = self._pending.setdefault(stream, {})
        pending[call_id] = waiter
        if call.may_repeat:
            self._repeatable.add(call_id)
        stream.begin_call()
        now = self._loop.time()
        self._send(stream, call_id, call, now)
        timer = self._loop.call_at(
            call.deadline - DEADLINE_MARGIN_S,
            self._time_out,
            stream,
            call_id,
            waiter,
        )
        try:
            return await waiter
        except asyncio.CancelledError:
            stream.send(frames.Cancel(call_id))
            raise
        finally:
            timer.cancel()
            pending.pop(call_id, None)
            self._repeatable.discard(call_id)
            stream.discard_body(call_id)
            stream.end_call()
            self._partial_answers.pop(call_id, None)

    def handle_frame(self, stream: streams.Stream, frame: frames.Frame) -> None:
        """Handle a frame of an answer."""
        if isinstance(frame, frames.GoAway):
            self._handle_go_away(stream, frame.last_call_id)
            return
        waiter = self._pending.get(stream, {}).get(frame.call_id)
        if waiter is None or waiter.done():
            return
        if isinstance(frame, frames.AnswerHead):
            self._handle_head(waiter, frame)
        elif isinstance(frame, frames.AnswerBody):
            self._handle_body(waiter, frame)
        elif isinstance(frame, frames.CallFailed):
            waiter.set_result(
                calls.Outcome(
                    _call_error(frame),
                    -1.0,
                    frame.occupied,
                    frame.failure_share,
                    frame.mean_s,
                )
            )

    def end_repeatable(self, stream: streams.Stream) -> None:
        """End the calls on a silent stream that another node may run as well.

        The others wait: their peer may be running them, and their callers
        gain nothing from an earlier failure.
        """
        for call_id, waiter in self._pending.get(stream, {}).items():
            if call_id in self._repeatable:
                stream.send(frames.Cancel(call_id))
                self._fail(stream, waiter)

    def closed(self, stream: streams.Stream) -> None:
        """Fail the pending calls of a closed stream; they may have run."""
        for waiter in self._pending.pop(stream, {}).values():
            self._fail(stream, waiter)

    def _time_out(
        self, stream: streams.Stream, call_id: int, waiter: asyncio.Future
    ) -> None:
        if stream.has_unread:
            # The event loop is late, the answer may not be.
            self._loop.call_later(
                unread.READ_DELAY_S, self._give_up, stream, call_id, waiter
            )
        else:
            self._give_up(stream, call_id, waiter)

    def _give_up(
        self, stream: streams.Stream, call_id: int, waiter: asyncio.Future
    ) -> None:
        if not waiter.done():
            stream.send(frames.Cancel(call_id))
            reason = errors.Reason.DEADLINE_EXCEEDED
            waiter.set_result(calls.Outcome(_error(stream, reason)))

    def _fail(self, stream: streams.Stream, waiter: asyncio.Future) -> None:
        if not waiter.done():
            reason = errors.Reason.PEER_UNREACHABLE
            waiter.set_result(calls.Outcome(_error(stream, reason)))

    def _send(
        self, stream: streams.Stream, call_id: int, call: calls.Call, now: float
    ) -> None:
        size = frames.MAX_CHUNK_BYTES
        is_complete = len(call.body) <= size
        stream.send(
            frames.CallOpen(
                call_id=call_id,
                method=call.method,
                path=call.target,
                headers=[list(pair) for pair in call.headers],
                remaining_s=call.deadline - now,
                class_name=call.route_name,
                importance=call.rank,
                fingerprint="",
                body=call.body[:size],
                is_last=is_complete,
                service=call.service,
                version=call.version,
                target_s=call.target_deadline - now,
                is_nested=call.is_nested,
                sent_at=now,
                customer=call.customer,
                allowed_regions=sorted(call.allowed_regions or ()),
                is_restricted=call.allowed_regions is not None,
            )
        )
        # The body is not copied while it waits to be sent.
        body = memoryview(call.body)
        for start in range(size, len(call.body), size):
            chunk = body[start : start + size]
            is_last = start + size >= len(call.body)
            stream.send(frames.CallBody(call_id, chunk, is_last))

    def _handle_head(
        self, waiter: asyncio.Future, head: frames.AnswerHead
    ) -> None:
        if head.is_last:
            waiter.set_result(_outcome(head, head.body))
        else:
            self._partial_answers[head.call_id] = (head, [head.body])

    def _handle_body(
        self, waiter: asyncio.Future, frame: frames.AnswerBody
    ) -> None:
        partial = self._partial_answers.get(frame.call_id)
        if partial is None:
            return
        head, chunks = partial
        chunks.append(frame.chunk)
        if frame.is_last:
            waiter.set_result(_outcome(head, b"".join(chunks)))

    def _handle_go_away(
        self, stream: streams.Stream, last_call_id: int
    ) -> None:
        for call_id, waiter in self._pending.get(stream, {}).items():
            if call_id > last_call_id and not waiter.done():
                reason = errors.Reason.DRAINING
                error = _error(stream, reason, not_run=True)
                waiter.set_result(calls.Outcome(error))


@dataclasses.dataclass(frozen=True)
class _Arrival:
    """A call of a peer whose body is arriving.

    Attributes:
        call_open: First frame of the call.
        chunks: Chunks of the body so far.
        share: Bytes that the body occupies.
        received: Event loop time in seconds at which the call was sent, by the
            clock of this node.
        expiry: Timer that discards the call at its deadline.
    """

    call_open: frames.CallOpen
    chunks: list[bytes]
    share: buffer_account.Share
    received: float
    expiry: asyncio.TimerHandle


class IncomingCalls:
    """Receives calls from peers and runs them on this node."""

    def __init__(
        self,
        run: Callable[[calls.Call], Awaitable[calls.Outcome]],
        max_body_bytes: Callable[[], int],
        refuse: Callable[[calls.Call], calls.Outcome | None] = lambda call: (
            None
        ),
        account: buffer_account.BufferAccount | None = None,
    ):
        """Initialize without calls.

        Args:
            run: Runs a call and returns its outcome.
            max_body_bytes: Returns the size of the largest body.
            refuse: Returns the refusal of a call whose body is still to
                arrive, or None to await it.
            account: Account of buffered bytes; None for no bound on them.
        """
        self._account = account
        self._run = run
        self._max_body_bytes = max_body_bytes
        self._refuse = refuse
        self._loop = asyncio.get_running_loop()
        self._arrivals: dict[streams.Stream, dict[int, _Arrival]] = {}
        self._tasks: dict[streams.Stream, dict[int, asyncio.Task]] = {}

    @property
    def in_flight(self) -> int:
        """Number of calls of peers that are in flight."""
        return sum(len(tasks) for tasks in self._tasks.values())

    @property
    def arriving(self) -> int:
        """Number of calls of peers whose bodies are not complete."""
        return sum(len(each) for each in self._arrivals.values())

    def handle_frame(self, stream: streams.Stream, frame: frames.Frame) -> None:
        """Handle a frame of a call."""
        if isinstance(frame, frames.CallOpen):
            # Time spent on a congested path counts against the call's deadline.
            received = self._loop.time() - stream.queueing_delay_s(
                frame.sent_at
            )
            if frame.is_last:
                self._start(stream, frame, frame.body, received)
            else:
                self._await_body(stream, frame, received)
        elif isinstance(frame, frames.CallBody):
            self._handle_body(stream, frame)
        elif isinstance(frame, frames.Cancel):
            self._discard(stream, frame.call_id)
            stream.discard_body(frame.call_id)
            task = self._tasks.get(stream, {}).get(frame.call_id)
            if task is not None:
                task.cancel()

    def closed(self, stream: streams.Stream) -> None:
        """Cancel the calls of a closed stream, as no answer can be sent."""
        arrivals = self._arrivals.get(stream, {})
        tasks = self._tasks.pop(stream, {})
        if arrivals or tasks:
            decisions.failure(
                logger,
                "calls_interrupted",
                "target: stream of unanswered calls closed",
                peer=stream.peer,
                accepted=len(tasks),
                incomplete=len(arrivals),
                silence_ms=round(stream.silence_s * 1000),
            )
        for call_id in list(arrivals):
            self._discard(stream, call_id)
        for task in list(tasks.values()):
            task.cancel()

    def _await_body(
        self, stream: streams.Stream, frame: frames.CallOpen, received: float
    ) -> None:
        refusal = self._refuse(_call(frame, frame.body, received))
        if refusal is not None:
            _send_outcome(stream, frame.call_id, refusal)
            return
        expiry = self._loop.call_at(
            received + frame.remaining_s, self._discard, stream, frame.call_id
        )
        share = buffer_account.Share(
            lambda _: self._refuse_arrival(stream, frame, received)
        )
        arrival = _Arrival(frame, [frame.body], share, received, expiry)
        self._discard(stream, frame.call_id)
        self._arrivals.setdefault(stream, {})[frame.call_id] = arrival
        stream.begin_run()
        share.begin(self._loop.time())
        self._grow(stream, arrival, len(frame.body))

    def _grow(
        self, stream: streams.Stream, arrival: _Arrival, count: int
    ) -> bool:
        """Account for bytes of a body; refuse its call if there is no room.

        The reading of a stream is not paused, as it carries other calls.
        """
        share = arrival.share
        share.advance(count, self._loop.time())
        if self._account is None or self._account.try_request(
            share, share.received
        ):
            return True
        self._refuse_arrival(stream, arrival.call_open, arrival.received)
        return False

    def _refuse_arrival(
        self, stream: streams.Stream, frame: frames.CallOpen, received: float
    ) -> None:
        """Refuse a call whose body has not arrived; it has not run."""
        if self._discard(stream, frame.call_id) is None:
            return
        decisions.failure(
            logger,
            "arrival_refused",
            "target: call refused for lack of room for its body",
            peer=stream.peer,
            buffered=self._account.used_bytes,
            elapsed_ms=round((self._loop.time() - received) * 1000),
        )
        error = errors.CallError(
            errors.Reason.OVERLOADED,
            _STEP,
            not_run=True,
            retry_s=NO_ROOM_RETRY_S,
        )
        _send_outcome(stream, frame.call_id, calls.Outcome(error))

    def _release(self, share: buffer_account.Share) -> None:
        if self._account is not None:
            self._account.release(share, self._loop.time())

    def _discard(self, stream: streams.Stream, call_id: int) -> _Arrival | None:
        """Remove and return a call whose body is arriving; None if unknown."""
        arrivals = self._arrivals.get(stream, {})
        arrival = arrivals.pop(call_id, None)
        if not arrivals:
            self._arrivals.pop(stream, None)
        if arrival is not None:
            arrival.expiry.cancel()
            self._release(arrival.share)
            stream.end_run()
        return arrival

    def _handle_body(
        self, stream: streams.Stream, frame: frames.CallBody
    ) -> None:
        arrival = self._arrivals.get(stream, {}).get(frame.call_id)
        if arrival is None:
            return
        arrival.chunks.append(frame.chunk)
        if not self._grow(stream, arrival, len(frame.chunk)):
            return
        if arrival.share.received > self._max_body_bytes():
            logger.warning(
                "target: body of a call from peer %s is too large; "
                "closing the stream",
                stream.peer,
            )
            stream.abort()
        elif frame.is_last:
            body = b"".join(arrival.chunks)
            arrival.chunks.clear()
            self._discard(stream, frame.call_id)
            self._start(stream, arrival.call_open, body, arrival.received)

    def _start(
        self,
        stream: streams.Stream,
        call_open: frames.CallOpen,
        body: bytes,
        received: float,
    ) -> None:
        task = self._loop.create_task(
            self._serve(stream, call_open, body, received)
        )
        self._tasks.setdefault(stream, {})[call_open.call_id] = task
        stream.begin_run()
        share = buffer_account.Share(lambda _: None)
        if self._account is not None:
            self._account.resize(share, len(body), self._loop.time())
        # A task that is cancelled before its first step runs no code.
        task.add_done_callback(
            lambda _: self._ended(stream, call_open.call_id, share)
        )

    def _ended(
        self,
        stream: streams.Stream,
        call_id: int,
        share: buffer_account.Share,
    ) -> None:
        self._release(share)
        self._tasks.get(stream, {}).pop(call_id, None)
        stream.end_run()

    async def _serve(
        self,
        stream: streams.Stream,
        call_open: frames.CallOpen,
        body: bytes,
        received: float,
    ) -> None:
        try:
            outcome = await self._run(_call(call_open, body, received))
            _send_outcome(stream, call_open.call_id, outcome)
        except Exception:
            logger.exception(
                "target: unexpected exception while running a call"
            )
            error = errors.CallError(errors.Reason.INTERNAL, _STEP)
            _send_outcome(stream, call_open.call_id, calls.Outcome(error))


def _call(
    call_open: frames.CallOpen, body: bytes, received: float
) -> calls.Call:
    return calls.Call(
        method=call_open.method,
        target=call_open.path,
        headers=tuple((name, value) for name, value in call_open.headers),
        body=body,
        service=call_open.service,
        version=call_open.version,
        route_name=call_open.class_name,
        rank=call_open.importance,
        is_nested=call_open.is_nested,
        target_deadline=received + call_open.target_s,
        deadline=received + call_open.remaining_s,
        received=received,
        customer=call_open.customer,
        allowed_regions=frozenset(call_open.allowed_regions)
        if call_open.is_restricted
        else None,
    )


def _send_outcome(
    stream: streams.Stream, call_id: int, outcome: calls.Outcome
) -> None:
    result = outcome.result
    if isinstance(result, errors.CallError):
        stream.send(
            frames.CallFailed(
                call_id,
                result.reason.value,
                result.step,
                result.peer,
                result.detail,
                result.not_run,
                result.retry_s,
                outcome.occupied,
                result.has_arrived,
                outcome.failure_share,
                outcome.mean_s,
            )
        )
        return
    size = frames.MAX_CHUNK_BYTES
    stream.send(
        frames.AnswerHead(
            call_id,
            result.status,
            [list(pair) for pair in result.headers],
            result.body[:size],
            len(result.body) <= size,
            outcome.served_s,
            outcome.occupied,
            outcome.failure_share,
            outcome.mean_s,
        )
    )
    body = memoryview(result.body)
    for start in range(size, len(result.body), size):
        chunk = body[start : start + size]
        is_last = start + size >= len(result.body)
        stream.send(frames.AnswerBody(call_id, chunk, is_last))


def _outcome(head: frames.AnswerHead, body: bytes) -> calls.Outcome:
    headers = tuple((name, value) for name, value in head.headers)
    answer = http_types.HttpAnswer(head.status, headers, body)
    return calls.Outcome(
        answer, head.served_s, head.occupied, head.failure_share, head.mean_s
    )


def _call_error(frame: frames.CallFailed) -> errors.CallError:
    return errors.CallError(
        _REASONS.get(frame.reason, errors.Reason.PROTOCOL),
        frame.step,
        frame.peer,
        frame.detail,
        frame.not_run,
        frame.retry_s,
        frame.has_arrived,
    )


def _error(
    stream: streams.Stream, reason: errors.Reason, not_run: bool = False
) -> errors.CallError:
    return errors.CallError(reason, _STEP, stream.peer, not_run=not_run)
