"""Calls and answers inside a node."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from trefoilwind.model import configuration as configuration_lib

Header = tuple[str, str]


@dataclasses.dataclass(frozen=True)
class Request:
    """A caller's request.

    Attributes:
        service: Name of the service.
        method: HTTP method.
        path: Path and query, after the service's name.
        headers: Headers to pass on, without those of the connection.
        body: Chunks of the body; read at most once.
        body_length: Bytes of the body; -1 if not known beforehand.
        target: Class of the call.
        deadline: Monotonic time in seconds by which it must be answered.
        idempotency_key: Key given by the caller; empty if none.
        fingerprint: Digest of method, path, body and key; empty if the body
            is not held whole.
    """

    service: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: Iterator[bytes]
    body_length: int
    target: configuration_lib.ClassTarget
    deadline: float
    idempotency_key: str = ""
    fingerprint: str = ""


@dataclasses.dataclass(frozen=True)
class Answer:
    """Answer of a backend server.

    Attributes:
        status: HTTP status.
        headers: Headers to pass on.
        body: Chunks of the body; read once. It ends early with `BodyCut`.
        close: Releases what the answer holds; safe to call twice.
    """

    status: int
    headers: tuple[Header, ...]
    body: Iterable[bytes]
    close: Callable[[], None]


class BodyCut(Exception):  # noqa: N818 - leaves an iterator, is no sentinel.
    """Raised inside a body's iterator when the rest cannot be had."""


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
