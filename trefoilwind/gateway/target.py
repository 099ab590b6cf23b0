"""Target node's part of a call: admission, queue and backend server."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import itertools
import logging
import math

from trefoilwind import errors
from trefoilwind.gateway import calls
from trefoilwind.gateway import http_client
from trefoilwind.gateway import http_types
from trefoilwind.gateway import suspect_table
from trefoilwind.logs import decisions
from trefoilwind.model import mesh
from trefoilwind.routing import call_queue
from trefoilwind.routing import cold_limit
from trefoilwind.routing import failures
from trefoilwind.routing import kind_times
from trefoilwind.routing import service_time
from trefoilwind.telemetry import counts as counts_lib

logger = logging.getLogger(__name__)

_STEP = "target.admit"
# Seconds between checks for queued calls that may start or are overdue.
QUEUE_CHECK_S = 0.02
# Idle connections kept in addition to one per slot.
SPARE_IDLE_CONNECTIONS = 4
# Seconds after an interrupted call by which the port of a dead backend server
# is certainly closed.
DEATH_CHECK_DELAY_S = 0.02
# Processes of which notices are kept until one of them is announced.
MAX_NOTICES_OF_PEERS = 8
# Smallest remaining time in seconds with which a call is sent to the backend
# server.
MIN_REMAINING_S = 0.005
# Seconds for which no calls are sent to a backend server that refused a
# connection.
UNREACHABLE_PAUSE_S = 0.3
# Largest load in calls by which a cold backend server exceeds its slots in
# reports: enough to prefer any other server.
MAX_COLD_EXCESS = 100


class Target:
    """Runs calls on this node's backend server."""

    def __init__(
        self,
        node_id: str,
        headers: calls.HeaderPort,
        suspects: suspect_table.SuspectTable,
        counts: counts_lib.MeshCounts,
        on_leaving: Callable[[], None] = lambda: None,
        arriving: Callable[[], int] = lambda: 0,
        region_refusal: Callable[
            [calls.Call], errors.Reason | None
        ] = lambda call: None,
        limit_cold: Callable[
            [mesh.BackendServer], cold_limit.Limit | None
        ] = lambda server: None,
        cold_s: Callable[[mesh.BackendServer], float] = lambda server: 0.0,
    ):
        """Initialize the target node's part without a backend server.

        Args:
            node_id: Id of this node.
            headers: Header functions of the platform.
            suspects: Table of the requests that crash backend servers.
            counts: Counters of the node.
            on_leaving: Called when the backend server says in an answer that
                it is leaving.
            arriving: Returns the number of calls whose bodies are arriving.
            region_refusal: Returns why no backend server of this data centre
                may run a call, or None if it may.
            limit_cold: Returns the limit of a backend server while it is
                cold, or None.
            cold_s: Returns the seconds for which an announced backend server
                is cold.
        """
        self._region_refusal = region_refusal
        self._node_id = node_id
        self._arriving = arriving
        self._limit_cold = limit_cold
        self._cold_s = cold_s
        self._cold = cold_limit.ColdLimiter()
        self._on_leaving = on_leaving
        self._headers = headers
        self._suspects = suspects
        self._counts = counts
        self._loop = asyncio.get_running_loop()
        self._server: mesh.BackendServer | None = None
        self._client: http_client.HttpClient | None = None
        self._is_leaving = False
        self._is_draining = False
        self._unreachable_until = 0.0
        self._queue = call_queue.CallQueue(1)
        self._failures = failures.FailureShare()
        self._mean_time = service_time.MeanTime()
        self._kind_times = kind_times.MeasuredTimes()
        self._notice = mesh.ServerNotice()
        # True once the running backend server has answered a call.
        self._has_answered = False
        # Notices of processes that have not been announced yet, from peers.
        self._notices_of_peers: dict[tuple[str, int], mesh.ServerNotice] = {}
        self._sent = 0
        self._noticed_at = self._loop.time()
        self._ticket_numbers = itertools.count(1)
        self._waiters: dict[int, asyncio.Future[bool]] = {}
        self._queue_timer: asyncio.TimerHandle | None = None
        self._running_ids: collections.Counter[bytes] = collections.Counter()
        # Allowed regions of the running requests that are restricted, by id.
        self._running_regions: dict[bytes, frozenset[str]] = {}
        self._interrupted_calls: list[calls.Call] = []
        self._death_check: asyncio.Task | None = None
        self._deaths = 0

    @property
    def server(self) -> mesh.BackendServer | None:
        """The backend server; None while none is known."""
        return self._server

    @property
    def accepts_calls(self) -> bool:
        """True if the backend server may run new calls."""
        return not (
            self._server is None
            or self._is_leaving
            or self._is_draining
            or self._loop.time() < self._unreachable_until
        )

    @property
    def running(self) -> int:
        """Calls running at the backend server."""
        return self._queue.running

    @property
    def slots(self) -> int:
        """Calls that the backend server runs at once."""
        return self._queue.slots

    @property
    def occupied(self) -> int:
        """Calls running at the backend server or queued for it."""
        return self._queue.occupied

    @property
    def limit_per_s(self) -> float:
        """Calls per second that the backend server accepts, or infinity."""
        return self._notice.limit_per_s

    @property
    def load(self) -> int:
        """Calls that run, wait or arrive; more while a limit delays calls.

        Those whose bodies arrive count, as they delay others on the path and
        then in the queue.
        """
        load = self._queue.load + self._arriving()
        wait_s = self._cold_wait_s()
        if wait_s <= 0.0:
            return load
        mean_s = self._mean_time.seconds
        if mean_s <= 0.0:
            mean_s = call_queue.INITIAL_SERVICE_S
        excess = math.ceil(wait_s * self.slots / mean_s)
        return max(load, self.slots - 1 + min(MAX_COLD_EXCESS, excess))

    def is_running(self, request_id: bytes) -> bool:
        """Return True if a request with this id runs at the backend server."""
        # Unrelated requests without an id would count as nested calls, which
        # need no key.
        return bool(request_id) and request_id in self._running_ids

    def regions_of(self, request_id: bytes) -> frozenset[str] | None:
        """Return the allowed regions of a running request; None for all."""
        return self._running_regions.get(request_id)

    def refuse_queued(self) -> None:
        """Refuse the calls that wait for a slot."""
        self._refuse_waiting()

    def set_server(self, server: mesh.BackendServer | None) -> None:
        """Apply an announcement of the backend server; None if unknown.

        A process that said in an answer that it is leaving does not become
        ready again.
        """
        old = self._server
        self._server = server
        if server is None:
            if self._client is not None:
                self._client.close()
            self._refuse_waiting()
            return
        is_new = (
            old is None
            or old.address != server.address
            or old.process != server.process
        )
        if is_new:
            self._reset(server)
        if self._notice.is_leaving and not server.is_leaving:
            self._server = dataclasses.replace(server, is_leaving=True)
        self._cold.note_heartbeat(
            server.process, server.sequence, self._cold_s(server), self._now()
        )
        self._is_leaving = self._server.is_leaving
        self._queue.set_slots(server.slots)
        if self._is_leaving:
            self._refuse_waiting()

    def _reset(self, server: mesh.BackendServer) -> None:
        """Start without any knowledge of a new process but that of peers."""
        self._unreachable_until = 0.0
        self._failures = failures.FailureShare()
        self._mean_time = service_time.MeanTime()
        self._kind_times = kind_times.MeasuredTimes()
        self._has_answered = False
        max_idle = server.slots + SPARE_IDLE_CONNECTIONS
        self._client = http_client.HttpClient(server.address, max_idle)
        no_notice = mesh.ServerNotice()
        self._apply_notice(
            self._notices_of_peers.pop(server.process, no_notice)
        )

    def apply_notice_of_peer(
        self, process: tuple[str, int], notice: mesh.ServerNotice
    ) -> None:
        """Apply a notice that a peer saw before this node started.

        Args:
            process: Process of the backend server that gave it.
            notice: The notice. Its limit is ignored once the process has
                answered this node.
        """
        server = self._server
        if server is None or server.process != process:
            known = self._notices_of_peers
            known[process] = notice.or_stricter(known.get(process))
            if len(known) > MAX_NOTICES_OF_PEERS:
                del known[next(iter(known))]
        elif self._has_answered:
            left = mesh.ServerNotice(is_leaving=notice.is_leaving)
            self._handle_notice(left.followed_by(self._notice))
        else:
            self._handle_notice(notice.or_stricter(self._notice))

    def drain(self) -> None:
        """Refuse new and queued calls; running calls continue."""
        self._is_draining = True
        self._refuse_waiting()

    async def run(self, call: calls.Call) -> calls.Outcome:
        """Run a call on the backend server once a slot is free."""
        outcome = await self._run(call)
        self._report_run(call, outcome)
        return outcome

    def refuse_arrival(self, call: calls.Call) -> calls.Outcome | None:
        """Return the refusal of a call whose body is still to arrive, or None.

        Args:
            call: The call, with the first part of its body.
        """
        refusal = self._check_server(call) or self._cold_refusal()
        if refusal is None:
            return None
        outcome = calls.Outcome(refusal, occupied=self.load)
        self._report_run(call, outcome)
        return outcome

    def _report_run(self, call: calls.Call, outcome: calls.Outcome) -> None:
        result = outcome.result
        is_error = isinstance(result, errors.CallError)
        name = result.reason.value if is_error else "answered"
        self._counts.run_ended(call.service, name)
        self._log_run(call, outcome)

    async def _run(self, call: calls.Call) -> calls.Outcome:
        refusal = self._check_admission(call)
        if refusal is None and self._now() >= call.deadline:
            refusal = self._refusal(errors.Reason.DEADLINE_EXCEEDED)
        refusal = refusal or self._cold_refusal()
        if refusal is not None:
            return calls.Outcome(refusal, occupied=self.load)
        ticket = call_queue.Ticket(
            next(self._ticket_numbers),
            call.route_name,
            call.rank,
            call.is_nested,
            call.target_deadline,
            call.deadline,
            call.customer,
        )
        arrived = self._now()
        verdict = self._queue.submit(ticket, arrived)
        if isinstance(verdict, call_queue.Refused):
            return self._overloaded(verdict.retry_s)
        if isinstance(verdict, call_queue.Queued):
            for displaced in verdict.displaced:
                self._resolve(displaced, False)
            is_started = await self._wait_for_slot(ticket)
            if not is_started:
                refusal = self._check_server(call)
                if refusal is not None:
                    return calls.Outcome(refusal, occupied=self.load)
                return self._overloaded(self._queue.retry_s())
        self._counts.slot_acquired(call.service, self._now() - arrived)
        return await self._run_in_slot(call, ticket)

    def _log_run(self, call: calls.Call, outcome: calls.Outcome) -> None:
        elapsed_s = self._now() - call.received
        server = self._server
        fields = {
            "id": self._headers.request_id(call.headers),
            "instance": server.instance_id if server else "",
            "version": server.version if server else "",
            "elapsed_ms": round(elapsed_s * 1000, 1),
            "held_ms": round(outcome.served_s * 1000, 1),
            "occupied": self._queue.occupied,
            "slots": self._queue.slots,
            "nested": call.is_nested,
        }
        result = outcome.result
        if not isinstance(result, errors.CallError):
            fields["status"] = result.status
            decisions.success(
                logger, "target_run", "target: call ran", **fields
            )
            return
        fields |= {
            "reason": result.reason.value,
            "step": result.step,
            "detail": result.detail,
            "not_run": result.not_run,
        }
        decisions.failure(
            logger, "target_refused", "target: call not answered", **fields
        )

    def _check_admission(self, call: calls.Call) -> errors.CallError | None:
        refusal = self._check_server(call)
        if refusal is None and self._suspects.is_refused(call):
            return self._refusal(errors.Reason.POISON_REQUEST)
        return refusal

    def _check_server(self, call: calls.Call) -> errors.CallError | None:
        if self._is_draining or self._is_leaving:
            return self._refusal(errors.Reason.DRAINING)
        reason = self._region_refusal(call)
        if reason is not None:
            return self._refusal(reason)
        server = self._server
        if server is None or server.service != call.service:
            return self._refusal(errors.Reason.NO_BACKEND)
        if call.version and server.version != call.version:
            return self._refusal(errors.Reason.NO_BACKEND, server.version)
        if self._loop.time() < self._unreachable_until:
            return self._refusal(errors.Reason.BACKEND_UNREACHABLE)
        return None

    def _cold_wait_s(self) -> float:
        """Return the seconds for which a cold server delays a new call."""
        server = self._server
        if server is None:
            return 0.0
        ahead = self._queue.occupied - self._queue.running
        return self._cold.wait_s(self._limit_cold(server), ahead, self._now())

    def _cold_refusal(self) -> errors.CallError | None:
        wait_s = self._cold_wait_s()
        if wait_s <= 0.0:
            return None
        return errors.CallError(
            errors.Reason.RATE_LIMITED,
            _STEP,
            self._node_id,
            "cold",
            not_run=True,
            retry_s=min(call_queue.MAX_RETRY_S, wait_s),
        )

    async def _wait_for_slot(self, ticket: call_queue.Ticket) -> bool:
        """Wait for a slot; return False if the queued call is refused."""
        waiter = self._loop.create_future()
        self._waiters[ticket.number] = waiter
        self._schedule_queue_check()
        try:
            return await waiter
        except asyncio.CancelledError:
            was_waiting = self._queue.remove(ticket)
            is_started = waiter.done() and not waiter.cancelled()
            if not was_waiting and is_started and waiter.result():
                self._apply_change(
                    self._queue.release(ticket, -1.0, self._now())
                )
            raise
        finally:
            self._waiters.pop(ticket.number, None)

    async def _run_in_slot(
        self, call: calls.Call, ticket: call_queue.Ticket
    ) -> calls.Outcome:
        started = self._now()
        held_s = -1.0
        try:
            result = await self._exchange(call)
            is_answer = isinstance(result, http_types.HttpAnswer)
            held_s = self._now() - started if is_answer else -1.0
        finally:
            self._apply_change(self._queue.release(ticket, held_s, self._now()))
        self._record_result(call.route_name, result, held_s)
        share = self._failures.current(self._now())
        mean_s = self._kind_times.mean_s(call.route_name)
        return calls.Outcome(result, held_s, self.load, share, mean_s)

    def _record_result(
        self, kind: str, result: calls.Result, held_s: float
    ) -> None:
        has_failed = calls.was_shed(result) or calls.has_failed(result)
        if has_failed is not None:
            self._failures = self._failures.with_result(has_failed, self._now())
        if has_failed is False and held_s >= 0:
            self._mean_time = self._mean_time.with_sample(held_s)
            self._kind_times.record(kind, held_s)

    async def _exchange(self, call: calls.Call) -> calls.Result:
        server = self._server
        client = self._client
        # The backend server may have changed while the call was queued.
        refusal = self._check_admission(call)
        if refusal is not None:
            return refusal
        remaining_s = call.deadline - self._now()
        if remaining_s < MIN_REMAINING_S:
            return self._refusal(errors.Reason.DEADLINE_EXCEEDED)
        if not self._cold.take(self._limit_cold(server), self._now()):
            return self._cold_refusal() or self._refusal(
                errors.Reason.RATE_LIMITED
            )
        head = _head(
            call, self._headers.target_headers(server.instance_id, remaining_s)
        )
        request_id = self._headers.request_id(call.headers)
        self._running_ids[request_id] += 1
        # Requests without an id would give their regions to unrelated ones.
        if request_id and call.allowed_regions is not None:
            self._running_regions[request_id] = call.allowed_regions
        self._sent += 1
        try:
            result = await client.call(
                head,
                call.body,
                call.deadline,
                lambda answer: self._headers.match_answer(call.headers, answer),
            )
        finally:
            self._running_ids[request_id] -= 1
            if not self._running_ids[request_id]:
                del self._running_ids[request_id]
                self._running_regions.pop(request_id, None)
        if isinstance(result, errors.CallError):
            self._handle_call_failure(call, result)
            return result
        reason = self._headers.refusal(result)
        if reason is not errors.Reason.BACKEND_CHANGED and (
            self._is_current(server)
        ):
            self._has_answered = True
            notice = self._headers.notice(result)
            self._handle_notice(self._notice.followed_by(notice))
        if reason is None:
            self._suspects.clear(call)
            return result
        if reason is errors.Reason.BACKEND_CHANGED:
            self._pause()
        return errors.CallError(
            reason,
            "backend.call",
            self._node_id,
            str(result.status),
            not_run=True,
            retry_s=self._queue.retry_s(),
            has_arrived=True,
        )

    def _is_current(self, server: mesh.BackendServer) -> bool:
        """Return True unless another process has replaced a backend server."""
        return self._server is not None and (
            self._server.process == server.process
        )

    def _handle_notice(self, notice: mesh.ServerNotice) -> None:
        self._apply_notice(notice)
        if notice.is_leaving and not self._is_leaving:
            self._on_leaving()

    def _apply_notice(self, notice: mesh.ServerNotice) -> None:
        """Apply what the backend server says about itself in an answer."""
        old = self._notice
        if notice == old:
            return
        self._notice = notice
        now = self._now()
        decisions.failure(
            logger,
            "server_notice",
            "target: notice of the backend server changed",
            instance=self._server.instance_id,
            limit_per_s=_finite(notice.limit_per_s),
            is_leaving=notice.is_leaving,
            old_limit_per_s=_finite(old.limit_per_s),
            sent=self._sent,
            elapsed_s=round(now - self._noticed_at, 3),
        )
        self._sent = 0
        self._noticed_at = now
        self._apply_change(self._queue.set_rate_limit(notice.limit_per_s, now))

    def _handle_call_failure(
        self, call: calls.Call, error: errors.CallError
    ) -> None:
        if error.reason is errors.Reason.BACKEND_UNREACHABLE:
            decisions.failure(
                logger,
                "backend_unreachable",
                "target: backend server refused the connection",
                peer=error.peer,
                detail=error.detail,
            )
            self._pause()
        elif error.reason is errors.Reason.BACKEND_FAILED:
            self._interrupted_calls.append(call)
            if self._death_check is None:
                self._death_check = self._loop.create_task(
                    self._check_death(self._client)
                )

    def _pause(self) -> None:
        """Send no calls to the backend server for `UNREACHABLE_PAUSE_S`."""
        self._unreachable_until = self._now() + UNREACHABLE_PAUSE_S

    async def _check_death(self, client: http_client.HttpClient) -> None:
        """Report a death if the backend server no longer accepts connections.

        A backend server that accepts a new connection is alive; only the
        answers of the interrupted calls were lost.
        """
        await asyncio.sleep(DEATH_CHECK_DELAY_S)
        is_alive = await client.is_listening()
        interrupted, self._interrupted_calls = self._interrupted_calls, []
        self._death_check = None
        if is_alive:
            return
        self._pause()
        self._deaths += 1
        death = f"{self._node_id}/{self._loop.time():.3f}/{self._deaths}"
        self._suspects.add_death(death, interrupted)

    def _now(self) -> float:
        return self._loop.time()

    def _apply_change(self, change: call_queue.QueueChange) -> None:
        for ticket in change.started:
            self._resolve(ticket, True)
        for ticket in change.refused:
            self._resolve(ticket, False)

    def _resolve(self, ticket: call_queue.Ticket, is_started: bool) -> None:
        waiter = self._waiters.get(ticket.number)
        if waiter is not None and not waiter.done():
            waiter.set_result(is_started)
        elif is_started:
            self._apply_change(self._queue.release(ticket, -1.0, self._now()))

    def _refuse_waiting(self) -> None:
        for ticket in self._queue.clear():
            self._resolve(ticket, False)

    def _schedule_queue_check(self) -> None:
        if self._queue_timer is None:
            self._queue_timer = self._loop.call_later(
                QUEUE_CHECK_S, self._check_queue
            )

    def _check_queue(self) -> None:
        self._queue_timer = None
        now = self._now()
        self._apply_change(self._queue.advance(now))
        self._apply_change(self._queue.refuse_overdue(now))
        if self._waiters:
            self._schedule_queue_check()

    def _overloaded(self, retry_s: float) -> calls.Outcome:
        if self._is_draining or self._is_leaving:
            return calls.Outcome(self._refusal(errors.Reason.DRAINING))
        reason = errors.Reason.OVERLOADED
        if self._queue.is_rate_limited:
            reason = errors.Reason.RATE_LIMITED
        error = errors.CallError(
            reason,
            _STEP,
            self._node_id,
            not_run=True,
            retry_s=retry_s,
        )
        return calls.Outcome(error, occupied=self.load)

    def _refusal(
        self, reason: errors.Reason, detail: str = ""
    ) -> errors.CallError:
        return errors.CallError(
            reason, _STEP, self._node_id, detail, not_run=True
        )


def _finite(limit_per_s: float) -> float | None:
    """Return a limit as a JSON value: null if there is none."""
    return limit_per_s if math.isfinite(limit_per_s) else None


def _head(call: calls.Call, added: tuple[http_types.Header, ...]) -> bytes:
    parts = [f"{call.method} {call.target} HTTP/1.1\r\n".encode("latin-1")]
    parts += [b"%b: %b\r\n" % (n, v) for n, v in (*call.headers, *added)]
    if call.body or call.method not in ("GET", "HEAD", "DELETE"):
        parts.append(b"Content-Length: %d\r\n" % len(call.body))
    parts.append(b"\r\n")
    return b"".join(parts)
