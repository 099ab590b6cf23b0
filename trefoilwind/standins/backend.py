"""Stand-in for a backend server, with injectable faults."""

import collections
from collections.abc import Iterable
import contextlib
import dataclasses
import json
import threading
import time

from cheroot import wsgi
import urllib3

from trefoilwind.proxy import callers

_READ_BYTES = 64 * 1024
ANNOUNCE_INTERVAL_S = 1.0
# Longest pause in a request in seconds: longer than the time-outs of calls, so
# that the node ends a call whose caller pauses.
_READ_TIMEOUT_S = 300.0


@dataclasses.dataclass
class BackendFaults:
    """Faults of a backend server.

    Attributes:
        fail_every: Every n-th call is answered with status 500; 0 for none.
        delay_s: Delay of each answer in seconds.
    """

    fail_every: int = 0
    delay_s: float = 0.0


class BackendServer:
    """HTTP server that answers each call with a description of the request."""

    def __init__(
        self,
        service: str,
        version: str,
        faults: BackendFaults | None = None,
        host: str = "127.0.0.1",
        port: int = 0,
    ):
        self._service = service
        self._version = version
        self.faults = faults or BackendFaults()
        self._lock = threading.Lock()
        self._calls = 0
        self._stopped = threading.Event()
        self._server = wsgi.Server((host, port), self._answer, numthreads=16)
        self._server.timeout = _READ_TIMEOUT_S
        self._server.prepare()

    @property
    def port(self) -> int:
        """Port on which the server listens."""
        return self._server.bind_addr[1]

    @property
    def calls(self) -> int:
        """Number of calls that the server has run."""
        return self._calls

    def start(self) -> None:
        """Serve on a background thread until `stop`."""
        threading.Thread(target=self._server.serve, daemon=True).start()

    def stop_announcing(self) -> None:
        """Stop the announcements to the node, but continue to serve."""
        self._stopped.set()

    def stop(self) -> None:
        """Stop the announcements and the server."""
        self._stopped.set()
        self._server.stop()

    def announce_until_stopped(self, admin_url: str, slots: int) -> None:
        """Announce the server to its node periodically on its own thread."""
        threading.Thread(
            target=self._announce, args=(admin_url, slots), daemon=True
        ).start()

    def _announce(self, admin_url: str, slots: int) -> None:
        pool = urllib3.PoolManager(retries=False)
        body = json.dumps(
            {
                "service": self._service,
                "version": self._version,
                "port": self.port,
                "slots": slots,
            }
        )
        while True:
            # The node may be restarting; the next announcement retries.
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                pool.request(
                    "POST",
                    f"{admin_url}/v1/announcement",
                    body=body,
                    timeout=ANNOUNCE_INTERVAL_S,
                )
            if self._stopped.wait(ANNOUNCE_INTERVAL_S):
                return

    def _answer(
        self, environ: dict, start_response: callers.StartResponse
    ) -> Iterable[bytes]:
        with self._lock:
            self._calls += 1
            number = self._calls
        received = _drain_body(environ)
        if self.faults.delay_s:
            time.sleep(self.faults.delay_s)
        fails = self.faults.fail_every and number % self.faults.fail_every == 0
        body = json.dumps(
            {
                "service": self._service,
                "version": self._version,
                "method": environ["REQUEST_METHOD"],
                "path": environ["PATH_INFO"],
                "received": received,
            }
        ).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        start_response(callers.status_line(500 if fails else 200), headers)
        return [body]


def _drain_body(environ: dict) -> int:
    received = 0
    body = environ["wsgi.input"]
    while chunk := body.read(_READ_BYTES):
        received += len(chunk)
    if environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked":
        # Unread trailers would be parsed as the start of the next request.
        collections.deque(body.read_trailer_lines(), maxlen=0)
    return received
