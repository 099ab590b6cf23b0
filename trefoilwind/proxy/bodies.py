"""Flow control for bodies on a peer stream, based on credit.

The receiver of a body grants credit as it consumes the body, and the sender
waits for credit. A body thus never occupies more than one window of memory on
either side.
"""

from collections.abc import Callable
from collections.abc import Iterator
import queue
import threading
import time

from trefoilwind import errors
from trefoilwind.distribution import frames
from trefoilwind.proxy import calls


class ReceivedBody:
    """Receiving side of a body; `put` does not block the reader thread."""

    def __init__(
        self,
        window_bytes: int,
        deadline: float,
        grant: Callable[[int], None],
    ):
        self._window_bytes = max(window_bytes, frames.INITIAL_CREDIT_BYTES)
        self._deadline = deadline
        self._grant = grant
        self._chunks: queue.SimpleQueue = queue.SimpleQueue()
        # The reader thread writes the first count, the consumer the others.
        self._received_bytes = 0
        self._consumed_bytes = 0
        self._granted_bytes = frames.INITIAL_CREDIT_BYTES

    def put(self, chunk: bytes, is_last: bool) -> bool:
        """Add the bytes of a frame; return False if they exceed the credit."""
        self._received_bytes += len(chunk)
        if self._received_bytes > self._granted_bytes:
            return False
        if chunk:
            self._chunks.put(chunk)
        if is_last:
            self._chunks.put(None)
        return True

    def fail(self, error: errors.CallError) -> None:
        """End the body early with an error."""
        self._chunks.put(error)

    def __iter__(self) -> Iterator[bytes]:
        """Yield the chunks.

        Raises:
            calls.BodyCut: The deadline passed or the sender failed.
        """
        # No credit beyond the initial one is granted until the body is read.
        self._grant_up_to(self._window_bytes)
        while True:
            item = self._next()
            if item is None:
                return
            if isinstance(item, errors.Error):
                raise calls.BodyCut(str(item), item.reason)
            yield item
            self._consumed_bytes += len(item)
            remaining_bytes = self._granted_bytes - self._consumed_bytes
            if remaining_bytes <= self._window_bytes // 2:
                self._grant_up_to(self._consumed_bytes + self._window_bytes)

    def _next(self) -> bytes | errors.CallError | None:
        remaining_s = max(0.0, self._deadline - time.monotonic())
        try:
            return self._chunks.get(timeout=remaining_s)
        except queue.Empty:
            reason = errors.Reason.DEADLINE_EXCEEDED
            return errors.CallError(reason, "body.receive")

    def _grant_up_to(self, total_bytes: int) -> None:
        count = total_bytes - self._granted_bytes
        if count > 0:
            # Counted before the grant is sent, as data may arrive at once.
            self._granted_bytes = total_bytes
            self._grant(count)


class Credit:
    """Sending side of a body: the bytes that may be sent now."""

    def __init__(self, deadline: float):
        self._deadline = deadline
        self._available_bytes = frames.INITIAL_CREDIT_BYTES
        self._is_stopped = False
        self._changed = threading.Condition()

    @property
    def is_stopped(self) -> bool:
        """True if the receiver needs no further bytes."""
        return self._is_stopped

    def add(self, count: int) -> None:
        """Add credit that the receiver granted."""
        with self._changed:
            self._available_bytes += count
            self._changed.notify()

    def stop(self) -> None:
        """Stop the sender permanently, also while it waits for credit."""
        with self._changed:
            self._is_stopped = True
            self._changed.notify()

    def acquire(self, wanted_bytes: int) -> int:
        """Wait for credit and reserve it.

        Args:
            wanted_bytes: Largest number of bytes to reserve.

        Returns:
            Number of bytes that may be sent; 0 if the sender was stopped or
            the deadline passed.
        """
        with self._changed:
            while not self._is_stopped and self._available_bytes <= 0:
                remaining_s = self._deadline - time.monotonic()
                if remaining_s <= 0 or not self._changed.wait(remaining_s):
                    return 0
            if self._is_stopped:
                return 0
            count = min(wanted_bytes, self._available_bytes)
            self._available_bytes -= count
            return count


def send(
    chunks: Iterator[bytes],
    credit: Credit,
    send_chunk: Callable[[bytes], errors.StreamError | None],
) -> errors.StreamError | None:
    """Send a body as its receiver grants credit.

    Args:
        chunks: The body.
        credit: Credit of the body.
        send_chunk: Sends bytes that are covered by the credit.

    Returns:
        None if the complete body was sent or the receiver needs no further
        bytes; an error if the stream failed or the deadline passed.

    Raises:
        calls.BodyCut: The body ended early.
    """
    for chunk in chunks:
        rest = memoryview(chunk)
        while rest:
            count = credit.acquire(min(len(rest), frames.MAX_CHUNK_BYTES))
            if count == 0:
                return _stop_error(credit)
            error = send_chunk(bytes(rest[:count]))
            if error is not None:
                return error
            rest = rest[count:]
    return None


def _stop_error(credit: Credit) -> errors.StreamError | None:
    if credit.is_stopped:
        return None
    return errors.StreamError(errors.Reason.DEADLINE_EXCEEDED, "body.send")
