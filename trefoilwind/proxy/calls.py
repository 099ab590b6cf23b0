"""Requests, answers and cancellation of calls inside a node."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from trefoilwind import errors
from trefoilwind.model import configuration as configuration_lib

Header = tuple[str, str]
# Two chunks: one that is sent before the first credit arrives, and one that
# waits for credit.
REPLAY_BUFFER_BYTES = 128 * 1024


class BodyCut(Exception):  # noqa: N818 - ends an iterator, is no error value.
    """Raised by a body's iterator if the rest of the body is not available.

    Attributes:
        reason: Cause of the failure.
    """

    def __init__(
        self,
        detail: str,
        reason: errors.Reason = errors.Reason.BACKEND_FAILED,
    ):
        super().__init__(detail)
        self.reason = reason


class Body:
    """Body of a request: buffered as a whole, or streamed.

    A streamed body keeps its first bytes, so that it can be sent again to
    another backend server if the first one refuses it early.
    """

    def __init__(
        self, chunks: Iterable[bytes] = (), buffered: bytes | None = None
    ):
        self._source = iter(chunks)
        self._buffered = buffered
        self._replay_chunks: list[bytes] = []
        self._yielded_bytes = 0
        self._is_repeatable = True
        self._is_ended = buffered is not None

    @property
    def buffered(self) -> bytes | None:
        """The complete body; None if it is streamed."""
        return self._buffered

    @property
    def is_repeatable(self) -> bool:
        """True if the body can be sent again from its first byte."""
        return self._is_repeatable

    @property
    def is_ended(self) -> bool:
        """True if the body was read to its end."""
        return self._is_ended

    def __iter__(self) -> Iterator[bytes]:
        """Yield the chunks from the first one on.

        Raises:
            BodyCut: The caller stopped sending, or the first bytes are no
                longer buffered.
        """
        if self._buffered is not None:
            if self._buffered:
                yield self._buffered
            return
        if not self._is_repeatable:
            raise BodyCut("first bytes of the body are no longer buffered")
        yield from tuple(self._replay_chunks)
        for chunk in self._source:
            self._keep_for_replay(chunk)
            yield chunk
        self._is_ended = True

    def _keep_for_replay(self, chunk: bytes) -> None:
        self._yielded_bytes += len(chunk)
        if self._yielded_bytes <= REPLAY_BUFFER_BYTES:
            self._replay_chunks.append(chunk)
        else:
            self._is_repeatable = False
            self._replay_chunks.clear()


class Cancellation:
    """Notifies all parts of a call that it ends before its answer.

    `add` and `cancel` may be called by different threads. A callback runs once
    or, if both are called at the same time, twice.
    """

    __slots__ = ("_callbacks", "_reason")

    def __init__(self) -> None:
        self._reason: errors.Reason | None = None
        self._callbacks: list[Callable[[], None]] = []

    @property
    def reason(self) -> errors.Reason | None:
        """Reason of the cancellation; None if the call was not cancelled."""
        return self._reason

    def add(self, callback: Callable[[], None]) -> None:
        """Register a callback; run it at once if already cancelled."""
        self._callbacks.append(callback)
        if self._reason is not None:
            callback()

    def discard(self, callback: Callable[[], None]) -> None:
        """Remove a callback."""
        if callback in self._callbacks:
            self._callbacks.remove(callback)

    def cancel(self, reason: errors.Reason) -> None:
        """Cancel the call; later cancellations have no effect."""
        if self._reason is not None:
            return
        self._reason = reason
        for callback in list(self._callbacks):
            callback()


@dataclasses.dataclass(frozen=True)
class Request:
    """A caller's request.

    Attributes:
        service: Name of the service.
        method: HTTP method.
        path: Path and query, after the service's name.
        headers: Headers to forward, without hop-by-hop headers.
        body: Chunks of the body. A streamed body that was read beyond its
            first bytes cannot be sent again: see `is_repeatable`.
        body_length: Bytes of the body; -1 if unknown beforehand.
        target: Class of the call.
        deadline: Monotonic time in seconds by which the answer is due.
        idempotency_key: Key given by the caller; empty if none.
        fingerprint: Digest of service, method, path, key and body; empty if
            the body is streamed.
        cancellation: Cancels the call before its answer.
    """

    service: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: Body
    body_length: int
    target: configuration_lib.ClassTarget
    deadline: float
    idempotency_key: str = ""
    fingerprint: str = ""
    cancellation: Cancellation = dataclasses.field(
        default_factory=Cancellation, compare=False
    )

    @property
    def is_repeatable(self) -> bool:
        """True if another attempt can send the same body."""
        return self.body.is_repeatable


@dataclasses.dataclass(frozen=True)
class Answer:
    """Answer of a backend server.

    Attributes:
        status: HTTP status.
        headers: Headers to forward.
        body: Chunks of the body; can be iterated once. The iterator raises
            `BodyCut` if the rest is not available.
        close: Releases the resources of the answer; may be called twice.
        length: Bytes of the body if it is short and has been read, so that
            joining its chunks is cheap; else -1.
        served_s: Time in seconds from the request to the answer's head,
            measured at the backend server's node; -1 if unknown.
    """

    status: int
    headers: tuple[Header, ...]
    body: Iterable[bytes]
    close: Callable[[], None]
    length: int = -1
    served_s: float = -1.0


@dataclasses.dataclass(frozen=True)
class Observation:
    """Result of one attempt as observed by the entry node.

    Attributes:
        move_id: Open move of the route; empty if none.
        service: Name of the service.
        half: Half of the route's traffic; empty for both.
        path_prefix: Prefix of the route.
        class_name: Class of the call.
        version: Version that the attempt was for.
        node_id: Node whose backend server the attempt was for.
        latency_s: Time in seconds until the answer's head arrived.
        failed: True if the attempt ended with an error or with a status of 500
            or higher.
        shed: True if the attempt is no evidence for the version: it was not
            run, was answered with status 503, was cancelled or carried a
            suspect request.
        is_new: True if it ran on the version or half that the move introduces.
        cut: True if it failed as the backend server or its node died or was
            unreachable, and the request was not a suspect.
        served_s: Time in seconds from the request to the answer's head,
            measured at the backend server's node; -1 if unknown.
    """

    move_id: str
    service: str
    half: str
    path_prefix: str
    class_name: str
    version: str
    node_id: str
    latency_s: float
    failed: bool
    shed: bool = False
    is_new: bool = False
    cut: bool = False
    served_s: float = -1.0

    @property
    def version_latency_s(self) -> float:
        """Latency in seconds without the network between the two nodes.

        It is the latency seen by the entry node if `served_s` is unknown.
        """
        return self.latency_s if self.served_s < 0 else self.served_s
