"""Administration API of a node: JSON over HTTP under /v1."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import http
import json
import logging
from typing import Any

import pykka

from trefoilwind import environment as environment_lib
from trefoilwind import errors
from trefoilwind import json_documents
from trefoilwind import settings as settings_lib
from trefoilwind.admin import announcements
from trefoilwind.admin import documents
from trefoilwind.admin import metrics_page
from trefoilwind.admin import record_results
from trefoilwind.admin import requests
from trefoilwind.admin import views
from trefoilwind.log import validation
from trefoilwind.model import records
from trefoilwind.node import messages
from trefoilwind.telemetry import prometheus

logger = logging.getLogger(__name__)

RECORDS_PREFIX = "/v1/records/"
_OK = 200
_UNAVAILABLE = 503
_DEFAULT_STATUS = 400
_STATUS_BY_REASON = {
    errors.Reason.UNAUTHORIZED: 401,
    errors.Reason.FORBIDDEN: 403,
    errors.Reason.NOT_FOUND: 404,
    errors.Reason.METHOD_NOT_ALLOWED: 405,
    errors.Reason.STALE_BASE: 409,
    errors.Reason.MOVE_OPEN: 409,
    errors.Reason.LENGTH_REQUIRED: 411,
    errors.Reason.BODY_TOO_LARGE: 413,
    errors.Reason.INTERNAL: 500,
    errors.Reason.DRAINING: 503,
}


@dataclasses.dataclass(frozen=True)
class Accepted:
    """Answer to a request that was accepted but has not taken effect yet."""

    record_id: str = ""


@dataclasses.dataclass(frozen=True)
class _Response:
    """HTTP response, ready to be sent."""

    status: int
    content_type: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


_Handler = Callable[[requests.Request, str], Any]


@dataclasses.dataclass(frozen=True)
class _Resource:
    """Handlers of one path by method, and the access check for all of them."""

    handlers: dict[str, _Handler]
    guard: Callable[[requests.Request], errors.AdminError | None]


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
        local = _refuse_remote
        operator = self._refuse_unauthorized
        self._resources = {
            "/v1/announcement": _Resource(
                {"POST": self._announce, "DELETE": self._withdraw}, local
            ),
            "/v1/health": _Resource({"GET": self._health}, _allow_all),
            "/v1/status": _Resource({"GET": self._status}, operator),
            "/v1/events": _Resource({"GET": self._events}, operator),
            "/v1/publications": _Resource({"POST": self._publish}, operator),
            "/v1/moves": _Resource(
                {"GET": self._moves, "POST": self._move}, operator
            ),
            "/metrics": _Resource({"GET": self._metrics}, operator),
        }
        self._record = _Resource({"GET": self._find_record}, operator)

    def __call__(
        self,
        environ: dict,
        start_response: Callable[[str, list[tuple[str, str]]], Any],
    ) -> Iterable[bytes]:
        """Answer one request."""
        request = requests.read(environ)
        try:
            result = self._handle(request)
        except Exception as error:  # Answer 500 without a traceback.
            logger.error(
                "admin: %s %s failed: %s",
                request.method,
                request.path,
                type(error).__name__,
            )
            logger.debug(
                "admin: traceback of the failed request", exc_info=error
            )
            result = requests.error(errors.Reason.INTERNAL)
        response = _respond(result)
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            *response.headers,
        ]
        start_response(_status_line(response.status), headers)
        return [response.body]

    def _handle(self, request: requests.Request) -> Any | errors.Error:
        resource = self._resources.get(request.path)
        if resource is None and request.path.startswith(RECORDS_PREFIX):
            resource = self._record
        if resource is None:
            return requests.error(errors.Reason.NOT_FOUND, request.path)
        refusal = resource.guard(request)
        if refusal is not None:
            return refusal
        handler = resource.handlers.get(request.method)
        if handler is None:
            allowed = ", ".join(resource.handlers)
            return requests.error(errors.Reason.METHOD_NOT_ALLOWED, allowed)
        body = requests.body(request)
        if isinstance(body, errors.Error):
            return body
        return handler(request, body)

    def _refuse_unauthorized(
        self, request: requests.Request
    ) -> errors.AdminError | None:
        token = self._environment.settings.admin_token
        if requests.is_authorized(request, token):
            return None
        return requests.error(errors.Reason.UNAUTHORIZED)

    def _announce(self, request: requests.Request, body: str) -> Any:
        announcement = announcements.parse(body)
        if isinstance(announcement, errors.Error):
            return announcement
        self._control.tell(announcement)
        return Accepted()

    def _withdraw(self, request: requests.Request, body: str) -> Any:
        self._control.tell(messages.Withdrawal())
        return Accepted()

    def _health(self, request: requests.Request, body: str) -> Any:
        return views.health(self._environment)

    def _status(self, request: requests.Request, body: str) -> Any:
        return views.status(self._environment)

    def _moves(self, request: requests.Request, body: str) -> Any:
        return views.moves(self._environment)

    def _metrics(self, request: requests.Request, body: str) -> _Response:
        gauges = views.gauges(self._environment)
        data = metrics_page.render(self._environment.metrics.counts(), gauges)
        return _Response(_OK, prometheus.content_type(), data)

    def _events(self, request: requests.Request, body: str) -> Any:
        since = requests.decimal(requests.query_value(request, "since", "0"))
        if since < 0:
            return requests.error(errors.Reason.BAD_REQUEST, "since")
        return self._environment.events.since(since)

    def _find_record(self, request: requests.Request, body: str) -> Any:
        record_id = request.path.removeprefix(RECORDS_PREFIX)
        if not json_documents.is_name(record_id):
            return requests.error(errors.Reason.BAD_REQUEST, "record id")
        return self._find(record_id)

    def _find(self, record_id: str) -> record_results.RecordResult:
        state = self._environment.blackboard.state.value
        return self._environment.record_results.find(record_id, state)

    def _publish(self, request: requests.Request, body: str) -> Any:
        submission = settings_lib.parse(
            body, views.PublicationRequest, "request"
        )
        if isinstance(submission, errors.Error):
            return submission
        if self._is_repeat(submission.record_id):
            return Accepted(submission.record_id)
        problems = validation.validate(submission.configuration)
        if problems:
            return problems[0]
        current = self._environment.blackboard.state.value.version
        if submission.base_version < current:
            detail = f"based on {submission.base_version}, current is {current}"
            return requests.error(errors.Reason.STALE_BASE, detail)
        publication = records.Publication(
            submission.base_version, submission.configuration
        )
        return self._append(submission.record_id, publication)

    def _move(self, request: requests.Request, body: str) -> Any:
        submission = settings_lib.parse(body, views.MoveSubmission, "request")
        if isinstance(submission, errors.Error):
            return submission
        if self._is_repeat(submission.record_id):
            return Accepted(submission.record_id)
        move = records.MoveRequest(
            service=submission.service,
            version=submission.version,
            deadline=submission.deadline,
            started=self._environment.clock.wall(),
            half=submission.half,
            to_half=submission.to_half,
        )
        state = self._environment.blackboard.state.value
        problem = validation.validate_move(state, move)
        if problem is not None:
            return problem
        return self._append(submission.record_id, move)

    def _is_repeat(self, record_id: str) -> bool:
        """Return True if a record with this id is already in the log."""
        result = self._find(record_id)
        return result.progress is not record_results.Progress.PENDING

    def _append(
        self, record_id: str, body: records.Body
    ) -> Accepted | errors.AdminError:
        if self._environment.blackboard.lifecycle.value.draining:
            return requests.error(errors.Reason.DRAINING)
        stamp = self._environment.events.hybrid_clock.now()
        payload = records.encode(
            record_id, "operator", body, stamp.wall_ms, stamp.counter
        )
        self._log_actor.tell(messages.Append(record_id, payload))
        return Accepted(record_id)


def _allow_all(request: requests.Request) -> None:
    return None


def _refuse_remote(request: requests.Request) -> errors.AdminError | None:
    if requests.is_local(request):
        return None
    return requests.error(errors.Reason.FORBIDDEN, "loopback only")


def _respond(result: Any) -> _Response:
    if isinstance(result, _Response):
        return result
    status = _OK
    headers: tuple[tuple[str, str], ...] = ()
    if isinstance(result, errors.Error):
        status = _STATUS_BY_REASON.get(result.reason, _DEFAULT_STATUS)
        if result.reason is errors.Reason.METHOD_NOT_ALLOWED:
            headers = (("Allow", result.detail),)
        if result.reason is errors.Reason.UNAUTHORIZED:
            headers = (("WWW-Authenticate", "Bearer"),)
    if isinstance(result, views.Health) and not result.serving:
        status = _UNAVAILABLE
    body = json.dumps(documents.to_plain(result)).encode()
    return _Response(status, "application/json", body, headers)


def _status_line(status: int) -> str:
    return f"{status} {http.HTTPStatus(status).phrase}"
