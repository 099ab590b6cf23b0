"""Client of a node's administration API."""

import json
from typing import Any
import urllib.parse

import urllib3

from trefoilwind import errors
from trefoilwind import events
from trefoilwind.admin import api
from trefoilwind.admin import documents
from trefoilwind.admin import record_results
from trefoilwind.admin import views

_STEP = "admin.request"
_OK = 200
_UNAVAILABLE = 503
_TIMEOUT_S = 5.0


class AdminClient:
    """Typed client of one node's administration API."""

    def __init__(self, url: str, token: str, timeout_s: float = _TIMEOUT_S):
        self._url = url.rstrip("/")
        self._headers = {"Authorization": f"Bearer {token}"}
        self._timeout_s = timeout_s
        self._pool = urllib3.PoolManager(retries=False)

    @property
    def url(self) -> str:
        """Base URL of the node's administration API."""
        return self._url

    def status(self) -> views.Status | errors.AdminError:
        """Return the node's status."""
        return self._call("GET", "/v1/status", None, views.Status)

    def health(self) -> views.Health | errors.AdminError:
        """Return whether the node serves, and its version; cheap to poll."""
        return self._call("GET", "/v1/health", None, views.Health)

    def moves(self) -> views.Moves | errors.AdminError:
        """Return the moves in the node's state; cheap to poll."""
        return self._call("GET", "/v1/moves", None, views.Moves)

    def events(
        self, since: int = 0
    ) -> tuple[events.Event, ...] | errors.AdminError:
        """Return the node's events from sequence number `since` on."""
        return self._call(
            "GET", f"/v1/events?since={since}", None, tuple[events.Event, ...]
        )

    def record(
        self, record_id: str
    ) -> record_results.RecordResult | errors.AdminError:
        """Return the result of a record."""
        path = api.RECORDS_PREFIX + urllib.parse.quote(record_id)
        return self._call("GET", path, None, record_results.RecordResult)

    def publish(
        self, request: views.PublicationRequest
    ) -> None | errors.AdminError:
        """Submit a publication, which the node appends to the log."""
        return self._submit("/v1/publications", request)

    def move(self, request: views.MoveSubmission) -> None | errors.AdminError:
        """Submit a move, which the node appends to the log."""
        return self._submit("/v1/moves", request)

    def _submit(self, path: str, request: Any) -> None | errors.AdminError:
        result = self._call("POST", path, request, None)
        return result if isinstance(result, errors.Error) else None

    def _call(
        self, method: str, path: str, body: Any, cls: Any
    ) -> Any | errors.AdminError:
        data = None
        if body is not None:
            data = json.dumps(documents.to_plain(body)).encode()
        try:
            response = self._send(method, path, data)
        except (urllib3.exceptions.HTTPError, ValueError, OSError) as error:
            reason = errors.Reason.PEER_UNREACHABLE
            return self._error(reason, type(error).__name__)
        return self.read_answer(response.status, response.data, cls)

    def _send(
        self, method: str, path: str, data: bytes | None
    ) -> urllib3.BaseHTTPResponse:
        """Return the response; send the request again if it met a close.

        A node closes connections that are idle, also one on which a request
        arrives at that moment. A record that is sent again has no further
        effect, as its id is the same.

        Raises:
            urllib3.exceptions.HTTPError: The node gave no valid answer.
            ValueError: The URL is invalid.
            OSError: The connection failed.
        """

        def send() -> urllib3.BaseHTTPResponse:
            return self._pool.request(
                method,
                self._url + path,
                body=data,
                headers=self._headers,
                timeout=self._timeout_s,
                redirect=False,
            )

        try:
            return send()
        except urllib3.exceptions.ProtocolError:
            return send()

    def read_answer(
        self, status: int, data: bytes, cls: Any
    ) -> Any | errors.AdminError:
        """Return the document in a response, or an error; never raises.

        Args:
            status: HTTP status.
            data: Body of the response.
            cls: Class of the document; None to skip decoding it.
        """
        try:
            plain = json.loads(data)
            # A node that does not serve yet answers 503 with its health.
            is_health = status == _UNAVAILABLE and cls is views.Health
            if status != _OK and not is_health:
                return self._refusal(plain)
            return documents.from_plain(plain, cls) if cls else None
        except (ValueError, RecursionError):
            return self._error(errors.Reason.UNDECODABLE, f"status {status}")

    def _refusal(self, plain: Any) -> errors.AdminError:
        try:
            reason = errors.Reason(plain["reason"])
            path = plain.get("path", "")
            detail = " ".join(str(x) for x in (path, plain["detail"]) if x)
            step = str(plain["step"])
        except (KeyError, TypeError, ValueError, AttributeError):
            return self._error(errors.Reason.UNDECODABLE, "malformed error")
        return errors.AdminError(reason, step, self._url, detail)

    def _error(self, reason: errors.Reason, detail: str) -> errors.AdminError:
        return errors.AdminError(reason, _STEP, self._url, detail)
