"""Port to the platform's append-only log; each adapter is one file.

Offsets are increasing integers; a reader must not assume that they have no
gaps.
"""

import dataclasses
from typing import Protocol

from trefoilwind import errors


@dataclasses.dataclass(frozen=True)
class Entry:
    """One record as stored.

    Attributes:
        offset: Position in the log.
        payload: Bytes of the record.
    """

    offset: int
    payload: bytes


@dataclasses.dataclass(frozen=True)
class Page:
    """Result of a read.

    Attributes:
        entries: Records in order.
        next_offset: Offset to read from next.
        end_offset: Offset that the next append will get, as last known.
    """

    entries: tuple[Entry, ...]
    next_offset: int
    end_offset: int


class LogPort(Protocol):
    """The platform's log. Calls block, possibly for long, and never raise."""

    def append(self, payload: bytes) -> int | errors.LogError:
        """Append a record and return its offset.

        An error with the reason LOG_UNKNOWN_RESULT means that the record may
        or may not have been stored.
        """

    def read(
        self, offset: int, limit: int, wait_s: float = 0.0
    ) -> Page | errors.LogError:
        """Return up to `limit` records from `offset` onwards.

        Args:
            offset: First offset to read.
            limit: Maximum number of records.
            wait_s: Maximum time in seconds to wait for the first record.

        Returns:
            A page, or an error; OFFSET_EXPIRED if retention removed `offset`.
        """

    def first_offset(self) -> int | errors.LogError:
        """Return the offset of the oldest retained record."""
