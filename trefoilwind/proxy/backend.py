"""Calls from a node to the backend server beside it."""

from collections.abc import Iterator
import time

import urllib3

from trefoilwind import errors
from trefoilwind.model import addresses
from trefoilwind.proxy import calls

_STEP = "backend.call"
_READ_BYTES = 64 * 1024
_CONNECT_TIMEOUT_S = 1.0
_MIN_TIMEOUT_S = 0.001


class BackendClient:
    """Pooled HTTP connections to one backend server."""

    def __init__(self, address: addresses.Address, connections: int):
        self._address = address
        self._pool = urllib3.HTTPConnectionPool(
            address.host, address.port, maxsize=connections, retries=False
        )

    @property
    def address(self) -> addresses.Address:
        """Address of the backend server."""
        return self._address

    def call(self, request: calls.Request) -> calls.Answer | errors.CallError:
        """Run a request and return the answer with its body unread."""
        remaining_s = request.deadline - time.monotonic()
        if remaining_s <= 0:
            return self._error(errors.Reason.DEADLINE_EXCEEDED, "", True)
        try:
            response = self._pool.urlopen(
                request.method,
                request.path,
                body=request.body if request.body_length else None,
                headers=dict(request.headers),
                timeout=urllib3.Timeout(
                    connect=min(_CONNECT_TIMEOUT_S, remaining_s),
                    read=max(remaining_s, _MIN_TIMEOUT_S),
                ),
                preload_content=False,
                redirect=False,
                assert_same_host=False,
            )
        except calls.BodyCut:
            return self._error(errors.Reason.CANCELLED, "body cut", False)
        except urllib3.exceptions.NewConnectionError as error:
            reason = errors.Reason.BACKEND_UNREACHABLE
            return self._error(reason, type(error).__name__, True)
        except urllib3.exceptions.ConnectTimeoutError as error:
            reason = errors.Reason.BACKEND_UNREACHABLE
            return self._error(reason, type(error).__name__, True)
        except urllib3.exceptions.TimeoutError:
            return self._error(errors.Reason.DEADLINE_EXCEEDED, "", False)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            reason = errors.Reason.BACKEND_FAILED
            return self._error(reason, type(error).__name__, False)
        return calls.Answer(
            status=response.status,
            headers=tuple(response.headers.items()),
            body=_read_body(response),
            close=response.release_conn,
        )

    def _error(
        self, reason: errors.Reason, detail: str, not_run: bool
    ) -> errors.CallError:
        return errors.CallError(
            reason, _STEP, str(self._address), detail, not_run
        )


def _read_body(response: urllib3.HTTPResponse) -> Iterator[bytes]:
    try:
        yield from response.stream(_READ_BYTES, decode_content=False)
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise calls.BodyCut(type(error).__name__) from error
    finally:
        response.release_conn()
