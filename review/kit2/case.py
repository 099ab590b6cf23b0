"""Frame of a case: exit status, record, callers and the end of processes."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import sys
import time

from review.kit2 import http
from review.kit2 import nodes

HELD = 0
BROKEN = 1
NOT_RUN = 2
MESH_HOST = "mesh.example"
# Longest time of a case in seconds; its frame ends before 120.
_MOST_S = 110.0


def main(
    file: str,
    run: Callable[[pathlib.Path, nodes.Record], Awaitable[bool]],
) -> None:
    """Run a case and exit.

    Args:
        file: File of the case; the record is written beside it.
        run: Runs the case in a temporary folder; returns True if the rule was
            broken.
    """
    record = nodes.Record(pathlib.Path(file).with_name("record.txt"))
    record.note(f"TROUBLE={os.environ.get('TROUBLE', '1')}")
    code = NOT_RUN
    try:
        with nodes.temporary_folder() as name:
            is_broken = asyncio.run(_run(run, pathlib.Path(name), record))
        code = BROKEN if is_broken else HELD
        record.note("the rule was broken" if is_broken else "the rule held")
    except Exception as error:
        record.note(f"the case could not run; {error!r}")
    record.write()
    print(record.last)
    sys.exit(code)


async def _run(
    run: Callable[[pathlib.Path, nodes.Record], Awaitable[bool]],
    folder: pathlib.Path,
    record: nodes.Record,
) -> bool:
    async with asyncio.timeout(_MOST_S):
        return await run(folder, record)


class Request:
    """A request of an ordinary caller and what became of it."""

    def __init__(self, request_id: str):
        self.request_id = request_id
        self.sent = time.monotonic()
        self.status = 0
        self.ended = 0.0
        self.was_cut = False


async def fetch(port: int, line: str, request: Request, wait_s: float) -> None:
    """Send a request on a new connection and note its answer."""
    headers = request_headers(request.request_id, wait_s)
    answer = await http.call(port, line, headers, timeout_s=wait_s)
    request.status = answer.status if answer is not None else 0
    request.ended = time.monotonic()


def request_headers(request_id: str, wait_s: float) -> dict[str, str]:
    """Return the headers of a request."""
    return {
        "Host": MESH_HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(int(wait_s * 1000)),
    }


class Load:
    """Sends requests at a steady rate, each on a new connection."""

    def __init__(self, port: int, name: str, line: str, rate_per_s: float):
        """Initialize a load that is not running.

        Args:
            port: Port for callers of a node.
            name: Beginning of the ids.
            line: Method and path; `{}` is replaced by a number.
            rate_per_s: Requests per second.
        """
        self._port = port
        self.name = name
        self._line = line
        self._rate_per_s = rate_per_s
        self.requests: list[Request] = []
        self._tasks: set[asyncio.Task] = set()
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Begin to send."""
        self._task = asyncio.ensure_future(self._send())

    def stop(self) -> None:
        """Send no more; requests in flight go on."""
        if self._task is not None:
            self._task.cancel()

    async def _send(self) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            request = Request(f"{self.name}-{len(self.requests)}")
            self.requests.append(request)
            line = self._line.format(len(self.requests))
            task = asyncio.ensure_future(fetch(self._port, line, request, 1.5))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            due += 1 / self._rate_per_s
            await asyncio.sleep(max(0.0, due - loop.time()))
