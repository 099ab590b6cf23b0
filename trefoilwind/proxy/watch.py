"""Watch over calls in flight: deadlines, and callers that go away."""

import dataclasses
import itertools
import select
import socket
import threading
import time

from trefoilwind import errors
from trefoilwind.proxy import calls

_INTERVAL_S = 0.05
_GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR


@dataclasses.dataclass(slots=True)
class _Watched:
    """A call in flight."""

    deadline: float
    cancellation: calls.Cancellation
    connection: socket.socket | None


class CallWatch:
    """Cancels calls whose deadline passed or whose caller went away.

    A call that ends between two looks costs two operations on a dict.
    """

    def __init__(self) -> None:
        self._calls: dict[int, _Watched] = {}
        self._ids = itertools.count()
        self._stopped = threading.Event()

    @property
    def count(self) -> int:
        """Count of the calls in flight."""
        return len(self._calls)

    def start(self) -> None:
        """Look at the calls on a thread until `stop`."""
        threading.Thread(target=self._run, name="watch", daemon=True).start()

    def stop(self) -> None:
        """Cancel all calls and end the thread."""
        self._stopped.set()
        for watched in list(self._calls.values()):
            watched.cancellation.cancel(errors.Reason.DRAINING)

    def add(
        self,
        deadline: float,
        cancellation: calls.Cancellation,
        connection: socket.socket | None = None,
    ) -> int:
        """Watch a call and return an id for `remove`.

        Args:
            deadline: Monotonic time in seconds; infinite if not yet known.
            cancellation: Cancelled at the deadline.
            connection: Connection of the caller, if there is one.
        """
        call_id = next(self._ids)
        self._calls[call_id] = _Watched(deadline, cancellation, connection)
        return call_id

    def set_deadline(self, call_id: int, deadline: float) -> None:
        """Set the deadline of a call whose class was not known before."""
        self._calls[call_id].deadline = deadline

    def remove(self, call_id: int) -> None:
        """Forget a call."""
        self._calls.pop(call_id, None)

    def look(self, now: float) -> None:
        """Look at all calls once.

        Args:
            now: Monotonic time in seconds.
        """
        for watched in list(self._calls.values()):
            if now >= watched.deadline:
                reason = errors.Reason.DEADLINE_EXCEEDED
                watched.cancellation.cancel(reason)
            elif watched.connection and _is_gone(watched.connection):
                watched.cancellation.cancel(errors.Reason.CANCELLED)

    def _run(self) -> None:
        while not self._stopped.wait(_INTERVAL_S):
            self.look(time.monotonic())


def _is_gone(connection: socket.socket) -> bool:
    number = connection.fileno()
    if number < 0:
        return True
    poll = select.poll()
    poll.register(number, select.POLLRDHUP)
    return any(event & _GONE for _, event in poll.poll(0))
