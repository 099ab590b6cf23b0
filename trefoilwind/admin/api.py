"""Administration API of a node: JSON over HTTP under /v1."""

from collections.abc import Iterable
import dataclasses
import hmac
import json
from typing import Any
import urllib.parse

import pykka

from trefoilwind import environment as environment_lib
from trefoilwind import errors
from trefoilwind import settings as settings_lib
from trefoilwind.admin import documents
from trefoilwind.admin import views
from trefoilwind.log import validation
from trefoilwind.model import records
from trefoilwind.node import messages
from trefoilwind.proxy import callers

MAX_BODY_BYTES = 4 * 1024 * 1024
_JSON = "application/json"
_STATUS_BY_REASON = {
    errors.Reason.UNAUTHORIZED: 401,
    errors.Reason.NOT_FOUND: 404,
    errors.Reason.BODY_TOO_LARGE: 413,
}
_DEFAULT_STATUS = 400


@dataclasses.dataclass(frozen=True)
class Accepted:
    """Answer to a request whose effect shows later."""

    record_id: str = ""


class AdminApplication:
    """WSGI application of the administration API."""

    def __init__(
        self,
        environment: environment_lib.Environment,
        control: pykka.ActorRef,
        log_actor: pykka.ActorRef,
    ):
        self._environment = environment
        self._control = control
        self._log_actor = log_actor
        self._local_handlers = {
            ("POST", "/v1/announcement"): self._announce,
            ("DELETE", "/v1/announcement"): self._withdraw,
        }
        self._operator_handlers = {
            ("GET", "/v1/status"): self._status,
            ("GET", "/v1/events"): self._events,
            ("POST", "/v1/publications"): self._publish,
            ("POST", "/v1/moves"): self._move,
        }

    def __call__(
        self, environ: dict, start_response: callers.StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        result = self._handle(environ)
        if isinstance(result, errors.Error):
            status = _STATUS_BY_REASON.get(result.reason, _DEFAULT_STATUS)
        else:
            status = 200
        body = json.dumps(documents.to_plain(result)).encode()
        headers = [
            ("Content-Type", _JSON),
            ("Content-Length", str(len(body))),
        ]
        start_response(callers.status_line(status), headers)
        return [body]

    def _handle(self, environ: dict) -> Any | errors.Error:
        key = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        handler = self._local_handlers.get(key)
        if handler is None:
            handler = self._operator_handlers.get(key)
            if handler is None:
                return _error(errors.Reason.NOT_FOUND, " ".join(key))
            if not self._is_authorized(environ):
                return _error(errors.Reason.UNAUTHORIZED)
        body = _read_body(environ)
        if isinstance(body, errors.Error):
            return body
        return handler(environ, body)

    def _is_authorized(self, environ: dict) -> bool:
        token = self._environment.settings.admin_token
        given = environ.get("HTTP_AUTHORIZATION", "")
        expected = f"Bearer {token}"
        return bool(token) and hmac.compare_digest(
            given.encode("latin-1", "replace"), expected.encode()
        )

    def _announce(self, environ: dict, body: str) -> Any | errors.Error:
        request = settings_lib.parse(body, messages.Announcement, "request")
        if isinstance(request, errors.Error):
            return request
        self._control.tell(request)
        return Accepted()

    def _withdraw(self, environ: dict, body: str) -> Any | errors.Error:
        self._control.tell(messages.Withdrawal())
        return Accepted()

    def _status(self, environ: dict, body: str) -> Any | errors.Error:
        return views.status(self._environment)

    def _events(self, environ: dict, body: str) -> Any | errors.Error:
        query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
        since = query.get("since", ["0"])[0]
        if not since.isdigit():
            return _error(errors.Reason.BAD_REQUEST, "since")
        return self._environment.events.since(int(since))

    def _publish(self, environ: dict, body: str) -> Any | errors.Error:
        request = settings_lib.parse(body, views.PublicationRequest, "request")
        if isinstance(request, errors.Error):
            return request
        problems = validation.validate(request.configuration)
        if problems:
            return problems[0]
        publication = records.Publication(
            request.base_version, request.configuration
        )
        return self._append(request.record_id, publication)

    def _move(self, environ: dict, body: str) -> Any | errors.Error:
        request = settings_lib.parse(body, views.MoveSubmission, "request")
        if isinstance(request, errors.Error):
            return request
        move = records.MoveRequest(
            service=request.service,
            version=request.version,
            deadline=request.deadline,
            started=self._environment.clock.wall(),
            half=request.half,
            to_half=request.to_half,
        )
        state = self._environment.blackboard.state.value
        problem = validation.validate_move(state, move)
        if problem is not None:
            return problem
        return self._append(request.record_id, move)

    def _append(self, record_id: str, body: records.Body) -> Accepted:
        payload = records.encode(record_id, "operator", body)
        self._log_actor.tell(messages.Append(record_id, payload))
        return Accepted(record_id)


def _error(reason: errors.Reason, detail: str = "") -> errors.AdminError:
    return errors.AdminError(reason, "admin", detail=detail)


def _read_body(environ: dict) -> str | errors.AdminError:
    text = environ.get("CONTENT_LENGTH") or "0"
    length = int(text) if text.isdigit() else 0
    if length > MAX_BODY_BYTES:
        return _error(errors.Reason.BODY_TOO_LARGE)
    data = environ["wsgi.input"].read(length) if length else b""
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError:
        return _error(errors.Reason.SYNTAX, "UTF-8 expected")
