"""Calls and answers inside a node."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from trefoilwind import errors
from trefoilwind.model import configuration as configuration_lib

Header = tuple[str, str]
# Two chunks: one is sent before the first credit, one waits for it.
KEPT_START_BYTES = 128 * 1024


class BodyCut(Exception):  # noqa: N818 - leaves an iterator, is no sentinel.
    """Raised inside a body's iterator when the rest cannot be had.

    Attributes:
        reason: Cause.
    """

    def __init__(
        self,
        detail: str,
        reason: errors.Reason = errors.Reason.BACKEND_FAILED,
    ):
        super().__init__(detail)
        self.reason = reason


class Body:
    """Body of a request: held whole in memory, or streamed.

    A streamed body keeps its first bytes, so that it can be sent again to
    another backend server if the first one refuses before it reads on.
    """

    def __init__(self, chunks: Iterable[bytes] = (), held: bytes | None = None):
        self._source = iter(chunks)
        self._held = held
        self._start: list[bytes] = []
        self._start_bytes = 0
        self._is_repeatable = True
        self._is_ended = held is not None

    @property
    def held(self) -> bytes | None:
        """The whole body; None if it is streamed."""
        return self._held

    @property
    def is_repeatable(self) -> bool:
        """True if the body can be sent again from its first byte."""
        return self._is_repeatable

    @property
    def is_ended(self) -> bool:
        """True if nothing of the body is left to be read."""
        return self._is_ended

    def __iter__(self) -> Iterator[bytes]:
        """Yield the chunks from the first one on.

        Raises:
            BodyCut: The caller sends no more, or the start is gone.
        """
        if self._held is not None:
            if self._held:
                yield self._held
            return
        if not self._is_repeatable:
            raise BodyCut("the start is gone")
        yield from tuple(self._start)
        for chunk in self._source:
            self._keep(chunk)
            yield chunk
        self._is_ended = True

    def _keep(self, chunk: bytes) -> None:
        self._start_bytes += len(chunk)
        if self._start_bytes <= KEPT_START_BYTES:
            self._start.append(chunk)
        else:
            self._is_repeatable = False
            self._start.clear()


class Cancellation:
    """Tells all parts of a call that it ends before its answer.

    `add` and `cancel` may be called by different threads. A callback runs once
    or, if both come at the same time, twice.
    """

    __slots__ = ("_callbacks", "_reason")

    def __init__(self) -> None:
        self._reason: errors.Reason | None = None
        self._callbacks: list[Callable[[], None]] = []

    @property
    def reason(self) -> errors.Reason | None:
        """Why the call was cancelled; None if it was not."""
        return self._reason

    def add(self, callback: Callable[[], None]) -> None:
        """Run a callback at cancellation, at once if that has happened."""
        self._callbacks.append(callback)
        if self._reason is not None:
            callback()

    def discard(self, callback: Callable[[], None]) -> None:
        """Forget a callback."""
        if callback in self._callbacks:
            self._callbacks.remove(callback)

    def cancel(self, reason: errors.Reason) -> None:
        """Cancel the call; only the first reason counts."""
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
        headers: Headers to pass on, without those of the connection.
        body: Chunks of the body. A `Body` that is streamed and was partly
            read cannot be sent again: see `is_repeatable`.
        body_length: Bytes of the body; -1 if not known beforehand.
        target: Class of the call.
        deadline: Monotonic time in seconds by which it must be answered.
        idempotency_key: Key given by the caller; empty if none.
        fingerprint: Digest of method, path, body and key; empty if the body
            is not held whole.
        cancellation: Ends the call early.
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
        """True if a further attempt can send the same body."""
        return self.body.is_repeatable


@dataclasses.dataclass(frozen=True)
class Answer:
    """Answer of a backend server.

    Attributes:
        status: HTTP status.
        headers: Headers to pass on.
        body: Chunks of the body; read once. It ends early with `BodyCut`.
        close: Releases what the answer holds; safe to call twice.
        length: Bytes of the body if it is short and has been read, so that
            joining it costs little; else -1.
        served_s: Time in seconds that the backend server took until the
            answer's head, measured beside it; -1 if not known.
    """

    status: int
    headers: tuple[Header, ...]
    body: Iterable[bytes]
    close: Callable[[], None]
    length: int = -1
    served_s: float = -1.0


@dataclasses.dataclass(frozen=True)
class Observation:
    """What an entry node saw of one attempt.

    Attributes:
        move_id: Open move of the route; empty if none.
        service: Name of the service.
        half: Half of the route's traffic; empty for both.
        path_prefix: Prefix of the route.
        class_name: Class of the call.
        version: Version that ran the attempt.
        node_id: Node whose backend server ran it.
        latency_s: Time in seconds until the answer's head.
        failed: True if the answer counts as a failure of the backend server.
        shed: True if the backend server or its node refused it as not run.
        is_new: True if it ran on the side that the move brings in.
        cut: True if it failed as the backend server died or was not reached.
        served_s: Time in seconds that the backend server took until the
            answer's head, measured beside it; -1 if not known.
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
        """Latency in seconds that does not depend on the way there."""
        return self.latency_s if self.served_s < 0 else self.served_s
