"""Port to the platform's keyed topics; each adapter is one file.

A keyed topic is a compacted log: the newest record of each key is always kept.
Offsets are positions as in `model.positions`: they grow over restores of the
store, but there are gaps between them.
"""

import dataclasses
from typing import Protocol

from trefoilwind import errors


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record.

    Attributes:
        key: Key of the record.
        value: Bytes of the value; empty if the key was deleted.
        offset: Position in the topic.
    """

    key: str
    value: bytes
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedPage:
    """Result of a read.

    Attributes:
        records: Records in order.
        next_offset: Offset to read from next.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int


class KeyedStore(Protocol):
    """The platform's keyed topics; none of the calls raises."""

    async def newest(self, topic: str) -> KeyedPage | errors.LogError:
        """Return the newest record of each key."""

    async def read(
        self, topic: str, offset: int, wait_s: float
    ) -> KeyedPage | errors.LogError:
        """Return the records from an offset onwards.

        Args:
            topic: Name of the topic.
            offset: First offset to read.
            wait_s: Maximum time in seconds to wait for the first record.

        Returns:
            A page, or an error; OFFSET_EXPIRED if the records from `offset`
            on cannot be told, as it was removed or the store was restored.
        """

    async def put(
        self, topic: str, key: str, value: bytes, at: int | None = None
    ) -> int | errors.LogError:
        """Append a record and return its offset.

        Args:
            topic: Name of the topic.
            key: Key of the record.
            value: Bytes of the value.
            at: Offset that the record must get; None for any.

        Returns:
            The offset, or an error: LOG_UNKNOWN_RESULT if the record may or
            may not have been stored, STALE_BASE if it cannot get offset `at`,
            or got it in a restored store.
        """
