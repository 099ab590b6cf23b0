"""HTTP entry for callers, as a WSGI application."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import http
import json
import time
from typing import Any

from trefoilwind import environment as environment_lib
from trefoilwind import errors
from trefoilwind.proxy import calls
from trefoilwind.proxy import dispatcher as dispatcher_lib

_READ_BYTES = 64 * 1024
_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
    }
)
RESULT_HEADER = "Trefoilwind-Result"
TIMEOUT_HEADER = "Trefoilwind-Timeout"
KEY_HEADER = "idempotency-key"

_STATUS_BY_REASON = {
    errors.Reason.NO_ROUTE: 404,
    errors.Reason.DEADLINE_EXCEEDED: 504,
    errors.Reason.BACKEND_FAILED: 502,
    errors.Reason.PEER_UNREACHABLE: 502,
    errors.Reason.POISON_REQUEST: 422,
    errors.Reason.DUPLICATE_KEY: 409,
    errors.Reason.BODY_TOO_LARGE: 413,
    errors.Reason.BAD_REQUEST: 400,
}
_DEFAULT_STATUS = 503

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class CallerApplication:
    """Takes callers' requests: /SERVICE/PATH."""

    def __init__(
        self,
        environment: environment_lib.Environment,
        dispatcher: dispatcher_lib.Dispatcher,
    ):
        self._environment = environment
        self._dispatcher = dispatcher

    def __call__(
        self, environ: dict, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        result = self._dispatch(environ)
        if isinstance(result, errors.CallError):
            return respond_with_error(result, start_response)
        headers = [
            (name, value)
            for name, value in result.headers
            if name.lower() not in _HOP_HEADERS
        ]
        start_response(status_line(result.status), headers)
        return _ClosingBody(result)

    def _dispatch(self, environ: dict) -> calls.Answer | errors.CallError:
        service, path = _split_path(environ["PATH_INFO"])
        method = environ["REQUEST_METHOD"]
        entry = self._dispatcher.route(service, method, path)
        if entry is None:
            return errors.CallError(
                errors.Reason.NO_ROUTE,
                "route",
                self._environment.node_id,
                f"{method} {environ['PATH_INFO']}",
                not_run=True,
            )
        timeout_s = _timeout_s(environ, entry.target.timeout_s)
        length = _body_length(environ)
        query = environ.get("QUERY_STRING", "")
        request = calls.Request(
            service=service,
            method=method,
            path=f"{path}?{query}" if query else path,
            headers=_headers(environ),
            body=_read(environ["wsgi.input"], length),
            body_length=length,
            target=entry.target,
            deadline=time.monotonic() + timeout_s,
            idempotency_key=environ.get("HTTP_IDEMPOTENCY_KEY", ""),
        )
        return self._dispatcher.call(entry, request)


class _ClosingBody:
    """Body that releases the answer when the server is done with it."""

    def __init__(self, answer: calls.Answer):
        self._answer = answer
        self._chunks = iter(answer.body)

    def __iter__(self) -> Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        """Release the answer."""
        self._answer.close()


def status_line(status: int) -> str:
    """Return "status phrase"."""
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"


def respond_with_error(
    error: errors.CallError, start_response: StartResponse
) -> list[bytes]:
    """Answer with a problem document that tells whether the call ran."""
    status = _STATUS_BY_REASON.get(error.reason, _DEFAULT_STATUS)
    result = "not-run" if error.not_run else "unknown"
    body = json.dumps(
        {
            "title": error.reason.value,
            "status": status,
            "result": result,
            "step": error.step,
            "peer": error.peer,
            "detail": error.detail,
        }
    ).encode()
    headers = [
        ("Content-Type", "application/problem+json"),
        ("Content-Length", str(len(body))),
        (RESULT_HEADER, result),
    ]
    start_response(status_line(status), headers)
    return [body]


def _split_path(path: str) -> tuple[str, str]:
    service, _, rest = path.lstrip("/").partition("/")
    return service, f"/{rest}"


def _timeout_s(environ: dict, default_s: float) -> float:
    text = environ.get("HTTP_TREFOILWIND_TIMEOUT", "")
    try:
        wanted_s = float(text)
    except ValueError:
        return default_s
    return wanted_s if 0 < wanted_s <= default_s else default_s


def _body_length(environ: dict) -> int:
    if environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked":
        return -1
    text = environ.get("CONTENT_LENGTH") or "0"
    return int(text) if text.isdigit() else 0


def _headers(environ: dict) -> tuple[calls.Header, ...]:
    headers = [
        (key[5:].replace("_", "-").title(), value)
        for key, value in environ.items()
        if key.startswith("HTTP_")
    ]
    for key, name in (
        ("CONTENT_TYPE", "Content-Type"),
        ("CONTENT_LENGTH", "Content-Length"),
    ):
        if environ.get(key):
            headers.append((name, environ[key]))
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _HOP_HEADERS
    )


def _read(stream: Any, length: int) -> Iterator[bytes]:
    left = length
    while left != 0:
        wanted = _READ_BYTES if left < 0 else min(_READ_BYTES, left)
        chunk = stream.read(wanted)
        if not chunk:
            if left > 0:
                raise calls.BodyCut("caller ended early")
            return
        left -= len(chunk) if left > 0 else 0
        yield chunk
