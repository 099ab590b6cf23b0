"""Watch over calls in flight: deadlines, and callers that disconnect."""

import dataclasses
import itertools
import select
import socket
import threading
import time

from trefoilwind import errors
from trefoilwind.proxy import calls

_CHECK_INTERVAL_S = 0.05
_HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


@dataclasses.dataclass(slots=True)
class _WatchedCall:
    """A call in flight."""

    deadline: float
    cancellation: calls.Cancellation
    connection: socket.socket | None


class CallWatch:
    """Cancels calls whose deadline passed or whose caller disconnected.

    A call that ends between two checks costs two operations on a dict.
    """

    def __init__(self) -> None:
        self._calls: dict[int, _WatchedCall] = {}
        self._ids = itertools.count()
        self._stopped = threading.Event()

    @property
    def count(self) -> int:
        """Number of calls in flight."""
        return len(self._calls)

    def start(self) -> None:
        """Check the calls periodically on a thread until `stop`."""
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
            deadline: Monotonic time in seconds; infinite if still unknown.
            cancellation: Cancelled at the deadline or when the caller
                disconnects.
            connection: Connection to the caller; None for a call of a peer.
        """
        call_id = next(self._ids)
        self._calls[call_id] = _WatchedCall(deadline, cancellation, connection)
        return call_id

    def set_deadline(self, call_id: int, deadline: float) -> None:
        """Set the deadline of a call whose class was unknown at `add`."""
        self._calls[call_id].deadline = deadline

    def remove(self, call_id: int) -> None:
        """Stop watching a call."""
        self._calls.pop(call_id, None)

    def check(self, now: float) -> None:
        """Check all calls once.

        Args:
            now: Monotonic time in seconds.
        """
        for watched in list(self._calls.values()):
            if now >= watched.deadline:
                reason = errors.Reason.DEADLINE_EXCEEDED
                watched.cancellation.cancel(reason)
            elif watched.connection and _is_disconnected(watched.connection):
                watched.cancellation.cancel(errors.Reason.CANCELLED)

    def _run(self) -> None:
        while not self._stopped.wait(_CHECK_INTERVAL_S):
            self.check(time.monotonic())


def _is_disconnected(connection: socket.socket) -> bool:
    descriptor = connection.fileno()
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return any(event & _HANGUP_EVENTS for _, event in poll.poll(0))
