"""Stand-in for an upstream: heartbeats, slots, runs and answers."""

import asyncio
from collections.abc import Callable
import dataclasses
import json
import time

from review.kit2 import http

HEARTBEAT_S = 1.5
_REPEAT_S = 0.2
# It works more slowly at first.
_COLD_S = 3.0
_COLD_FACTOR = 2.0
# Part of its work after which it makes its call.
_CALL_AT = 0.8
# Runs and waiting requests beyond which a request is rejected, per slot.
_QUEUE = 1.5


@dataclasses.dataclass
class Work:
    """What a request asks of an upstream.

    Attributes:
        seconds: Time that it takes.
        answer_bytes: Size of the answer.
        status: Status of the answer.
        call: Path that it calls near the end of its work; empty for none.
    """

    seconds: float = 0.02
    answer_bytes: int = 400
    status: int = 200
    call: str = ""


@dataclasses.dataclass
class Run:
    """A request that an upstream began to run.

    Attributes:
        request_id: Its id.
        instance: Id of the upstream.
        born: Start of the upstream in milliseconds, as it says.
        at: Monotonic time in seconds.
        headers: Its headers.
        status: Status of its answer; 0 before it.
    """

    request_id: str
    instance: str
    born: int
    at: float
    headers: dict[str, str]
    status: int = 0


class Upstream:
    """One upstream beside a node."""

    def __init__(
        self,
        ports: dict[str, int],
        service: str,
        zone: str,
        slots: int = 18,
        work: Callable[[http.Message], Work] = lambda request: Work(),
        note: Callable[[str], None] = lambda text: None,
        version: str = "v1",
        drops: bool = True,
    ):
        """Initialize an upstream that is not running.

        Args:
            ports: Ports of the machine: app and control.
            service: Its service.
            zone: Its zone.
            slots: Requests that it runs at once.
            work: Returns what a request takes.
            note: Writes a line into the record.
            version: Version of its software.
            drops: True if it drops a request when its connection closes.
        """
        self._drops = drops
        # Statuses of the answers to its own calls, by id; 0 for none.
        self.calls: dict[str, int] = {}
        self._version = version
        self._ports = ports
        self._service = service
        self._zone = zone
        self._slots = slots
        self._work = work
        self._note = note
        self._server: http.Server | None = None
        self._beats: asyncio.Task | None = None
        self._running = asyncio.Semaphore(slots)
        self._present = 0
        self._sequence = 0
        self._started = 0.0
        self.instance = ""
        self.born = 0
        self.state = "ready"
        self.runs: list[Run] = []

    async def start(self, instance: str, clock_s: float = 0.0) -> None:
        """Start it.

        Args:
            instance: Its id.
            clock_s: Seconds by which the time of day of its machine is ahead.
        """
        self.instance = instance
        self.born = int((time.time() + clock_s) * 1000)
        self.state = "ready"
        self._sequence = 0
        self._started = time.monotonic()
        self._present = 0
        self._running = asyncio.Semaphore(self._slots)
        self._server = http.Server(self._serve, self._drops)
        await self._server.listen(self._ports["app"])
        self._beats = asyncio.ensure_future(self._beat())
        self._note(f"upstream {instance} started, born {self.born}")

    def stop(self) -> None:
        """End it without a word."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
            self._note(f"upstream {self.instance} of born {self.born} ended")
        self._beats = self._server = None

    async def beat(self) -> int:
        """Send a heartbeat; return the status of the answer, 0 for none."""
        self._sequence += 1
        document = {
            "address": f"{http.HOST}:{self._ports['app']}",
            "born": self.born,
            "info": {
                "service": self._service,
                "version": self._version,
                "zone": self._zone,
                "slots": self._slots,
            },
            "status": {
                "state": self.state,
                "seq": self._sequence,
                "cold_left_s": round(self._cold_left_s, 3),
            },
        }
        answer = await http.call(
            self._ports["control"],
            f"PUT /-/instances/{self.instance}",
            {"Content-Type": "application/json"},
            json.dumps(document).encode(),
            1.0,
        )
        return answer.status if answer is not None else 0

    @property
    def _cold_left_s(self) -> float:
        return max(0.0, self._started + _COLD_S - time.monotonic())

    async def delete(self) -> int:
        """Deregister it; return the status of the answer, 0 for none."""
        answer = await http.call(
            self._ports["control"], f"DELETE /-/instances/{self.instance}"
        )
        return answer.status if answer is not None else 0

    async def _beat(self) -> None:
        while True:
            status = await self.beat()
            if status == 200:
                await asyncio.sleep(HEARTBEAT_S)
                continue
            self._note(
                f"heartbeat {self._sequence} of born {self.born}: {status}"
            )
            # Not acknowledged; no other node takes it here.
            await asyncio.sleep(_REPEAT_S)

    async def _call(self, parent: http.Message, path: str, due: float) -> bool:
        """Make a call through the node; return True if it succeeds."""
        left_s = due - time.monotonic()
        request_id = f"{parent.headers['x-request-id']}.1"
        headers = {
            "Host": parent.headers["host"],
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(max(1, int(left_s * 1000))),
        }
        answer = await http.call(
            self._ports["outbound"], f"GET {path}", headers, timeout_s=left_s
        )
        self.calls[request_id] = answer.status if answer is not None else 0
        return answer is not None and answer.status == 200

    async def _serve(
        self, request: http.Message, writer: asyncio.StreamWriter
    ) -> bytes:
        method, path, _ = request.start
        if path == "/health":
            status = 200 if self.state == "ready" else 503
            own = {"X-Instance-Id": self.instance}
            return http.encode(f"HTTP/1.1 {status} Health", own)
        request_id = request.headers.get("x-request-id", "")
        own = {"X-Request-Id": request_id, "Keep-Alive": "timeout=10"}
        if self.state != "ready":
            own["Connection"] = "close"
        not_run = own | {"X-Not-Executed": "1"}
        if request.headers.get("x-expect-instance", "") != self.instance:
            not_run["X-Instance-Id"] = self.instance
            return http.encode("HTTP/1.1 421 Misdirected Request", not_run)
        if self._present >= self._slots * (1 + _QUEUE):
            return http.encode("HTTP/1.1 503 Service Unavailable", not_run)
        due = time.monotonic() + int(request.headers["x-deadline-ms"]) / 1000
        self._present += 1
        try:
            async with self._running:
                if time.monotonic() >= due:
                    return http.encode("HTTP/1.1 503 Late", not_run)
                run = Run(
                    request_id,
                    self.instance,
                    self.born,
                    time.monotonic(),
                    request.headers,
                )
                self.runs.append(run)
                work = self._work(request)
                left_s = due - time.monotonic()
                if self._cold_left_s:
                    work.seconds *= _COLD_FACTOR
                seconds = min(work.seconds, left_s)
                if work.call:
                    await asyncio.sleep(_CALL_AT * seconds)
                    if not await self._call(request, work.call, due):
                        work.status = 500
                    seconds *= 1 - _CALL_AT
                await asyncio.sleep(seconds)
        finally:
            self._present -= 1
        own["X-Server-Seal"] = f"{self.instance}.{request_id}"
        run.status = 504 if work.seconds > left_s else work.status
        body = b"x" * work.answer_bytes
        return http.encode(f"HTTP/1.1 {run.status} Answer", own, body)
