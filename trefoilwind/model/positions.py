"""Positions in a topic of a store that may be restored from an older copy.

The store numbers the records of a topic by offset. After a restore it gives
offsets out again, for other records, in a new era. A position holds both, so
that a record written later always has the greater one.
"""

# Bits of the offset; the era is in the bits above.
_OFFSET_BITS = 40
_MAX_OFFSET = (1 << _OFFSET_BITS) - 1


def position(era: int, offset: int) -> int:
    """Return the position of an offset in an era of the store."""
    return era << _OFFSET_BITS | offset


def era(of: int) -> int:
    """Return the era of a position."""
    return of >> _OFFSET_BITS


def offset(of: int) -> int:
    """Return the offset of a position."""
    return of & _MAX_OFFSET
