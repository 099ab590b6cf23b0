"""Stand-in for a caller: sends calls and counts answers and losses."""

from collections.abc import Sequence
import dataclasses
import itertools
import threading

import urllib3

_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True)
class Call:
    """A call that the caller repeats."""

    method: str
    path: str


class Caller:
    """Calls entry nodes in turn on one thread until stopped."""

    def __init__(self, entries: Sequence[str], plan: Sequence[Call]):
        self._entries = itertools.cycle(entries)
        self._plan = itertools.cycle(plan)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.answered = 0
        self.failed = 0
        self.lost = 0

    def start(self) -> None:
        """Start to send calls on a background thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop, and wait for the answer to the call in flight."""
        self._stopped.set()
        self._thread.join(_TIMEOUT_S)

    def _run(self) -> None:
        pool = urllib3.PoolManager(retries=False)
        while not self._stopped.wait(0.002):
            call = next(self._plan)
            url = f"{next(self._entries)}{call.path}"
            try:
                response = pool.request(call.method, url, timeout=_TIMEOUT_S)
            except urllib3.exceptions.HTTPError:
                self.lost += 1
                continue
            self.answered += 1
            self.failed += int(response.status >= 500)
