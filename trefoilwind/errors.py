"""Error values that functions return instead of a result.

An error holds its reason and the step and the peer at which it occurred.
Callers test for one with `isinstance(result, errors.Error)`.
"""

import dataclasses
import enum


@enum.unique
class Reason(enum.Enum):
    """Machine-readable cause of an error; the value is its public name."""

    # Settings and configuration.
    FILE_MISSING = "file-missing"
    SYNTAX = "syntax"
    UNKNOWN_KEY = "unknown-key"
    MISSING_KEY = "missing-key"
    WRONG_TYPE = "wrong-type"
    OUT_OF_RANGE = "out-of-range"
    UNDEFINED_REFERENCE = "undefined-reference"
    DUPLICATE = "duplicate"
    ADDRESS_IN_USE = "address-in-use"
    # Log and records.
    LOG_UNAVAILABLE = "log-unavailable"
    LOG_UNKNOWN_RESULT = "log-unknown-result"
    OFFSET_EXPIRED = "offset-expired"
    UNDECODABLE = "undecodable"
    STALE_BASE = "stale-base"
    REPEATED_RECORD = "repeated-record"
    STALE_EPOCH = "stale-epoch"
    LEASE_HELD = "lease-held"
    MOVE_OPEN = "move-open"
    MOVE_UNKNOWN = "move-unknown"
    MOVE_ENDED = "move-ended"
    MOVE_BRAKED = "move-braked"
    # Peers and streams.
    PEER_UNREACHABLE = "peer-unreachable"
    PEER_SILENT = "peer-silent"
    PEER_REFUSED = "peer-refused"
    PROTOCOL = "protocol"
    # Calls.
    NO_ROUTE = "no-route"
    NO_BACKEND = "no-backend-server"
    OVERLOADED = "overloaded"
    RATE_LIMITED = "rate-limited"
    QUOTA_EXCEEDED = "quota-exceeded"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    CANCELLED = "cancelled"
    DRAINING = "draining"
    BACKEND_UNREACHABLE = "backend-server-unreachable"
    BACKEND_FAILED = "backend-server-failed"
    BACKEND_CHANGED = "backend-server-changed"
    RETRY_BUDGET = "retry-budget"
    DUPLICATE_KEY = "duplicate-key"
    KEEPER_UNAVAILABLE = "keeper-unavailable"
    POISON_REQUEST = "poison-request"
    EVACUATED = "evacuated"
    REGION_NOT_ALLOWED = "region-not-allowed"
    RECORDS_UNKNOWN = "records-unknown"
    BODY_TOO_LARGE = "body-too-large"
    # Customers.
    KEY_MISSING = "key-missing"
    KEY_MALFORMED = "key-malformed"
    KEY_UNKNOWN = "key-unknown"
    KEYS_UNCONFIRMED = "keys-unconfirmed"
    # Administration.
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    LENGTH_REQUIRED = "length-required"
    INTERNAL = "internal"
    NOT_FOUND = "not-found"
    BAD_REQUEST = "bad-request"


@dataclasses.dataclass(frozen=True)
class Error:
    """An error value.

    Attributes:
        reason: Cause of the error.
        step: Name of the step at which it occurred, such as "log.append".
        peer: Node, address or file at which it occurred; empty if local.
        detail: Short description for people.
    """

    reason: Reason
    step: str
    peer: str = ""
    detail: str = ""

    def __str__(self) -> str:
        """Return the error as one line for a log or a terminal."""
        parts = [f"{self.step}: {self.reason.value}"]
        if self.peer:
            parts.append(f"at {self.peer}")
        if self.detail:
            parts.append(f"({self.detail})")
        return " ".join(parts)


@dataclasses.dataclass(frozen=True)
class SettingsError(Error):
    """A settings or configuration file is invalid.

    Attributes:
        path: Path of the key inside the file, such as "log.url".
        line: Line in the file, counted from 1; 0 if unknown.
    """

    path: str = ""
    line: int = 0

    def __str__(self) -> str:
        """Return one line with the file, the line number and the key."""
        location = f"{self.peer}:{self.line}" if self.line else self.peer
        key = f"{self.path}: " if self.path else ""
        detail = f" ({self.detail})" if self.detail else ""
        return f"{location}: {key}{self.reason.value}{detail}"


@dataclasses.dataclass(frozen=True)
class LogError(Error):
    """The platform's log refused a request, failed or did not answer."""


@dataclasses.dataclass(frozen=True)
class RecordError(Error):
    """A record of the log was rejected; no part of it was applied."""


@dataclasses.dataclass(frozen=True)
class StreamError(Error):
    """A peer stream failed."""


@dataclasses.dataclass(frozen=True)
class CallError(Error):
    """A call got no answer from a backend server.

    Attributes:
        not_run: True only if it is proven that no byte of the call reached a
            backend server, or that the backend server refused the call without
            running it; otherwise the call may have been run.
        retry_s: Seconds after which a retry may be accepted; 0 if unknown.
        has_arrived: True if a backend server received the call and refused it.
    """

    not_run: bool = False
    retry_s: float = 0.0
    has_arrived: bool = False


@dataclasses.dataclass(frozen=True)
class AdminError(Error):
    """A request to the administration API was refused."""
