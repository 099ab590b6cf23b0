"""Differences between two versions of a document, as copies and new bytes.

Documents are split after each closing bracket, so that a changed row of a JSON
document is one new piece and all other rows are copied. Any bytes can be
encoded; documents without brackets are sent as they are.
"""

import re

import msgpack
import xxhash

from trefoilwind import errors

# Largest document that is restored from a delta.
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
_PIECE = re.compile(rb"[^\]]*\]|[^\]]+")
_STEP = "delta.apply"


def encode(base: bytes, target: bytes) -> bytes:
    """Return the bytes from which `apply` restores a document.

    Args:
        base: Document that the receiver has.
        target: Document that the receiver is to get.
    """
    return msgpack.packb((xxhash.xxh3_64_digest(target), _parts(base, target)))


def apply(base: bytes, delta: bytes) -> bytes | errors.Error:
    """Return the document restored from a delta; never raises.

    Args:
        base: Document that the delta was encoded against.
        delta: Bytes as made by `encode`.

    Returns:
        The document, or an error if the delta is malformed or was encoded
        against another base.
    """
    try:
        checksum, parts = msgpack.unpackb(delta)
        document = _join(base, parts)
    except Exception as error:  # Any failure is due to malformed input.
        return _malformed(type(error).__name__)
    if xxhash.xxh3_64_digest(document) != checksum:
        return _malformed("checksum mismatch")
    return document


def _parts(base: bytes, target: bytes) -> list[bytes | tuple[int, int]]:
    """Return new bytes, and ranges of the base as (start, end)."""
    starts: dict[bytes, int] = {}
    for match in _PIECE.finditer(base):
        starts.setdefault(match[0], match.start())
    parts: list[bytes | tuple[int, int]] = []
    copied: tuple[int, int] | None = None
    for match in _PIECE.finditer(target):
        piece = match[0]
        if copied and base.startswith(piece, copied[1]):
            copied = parts[-1] = (copied[0], copied[1] + len(piece))
        elif (start := starts.get(piece)) is not None:
            copied = (start, start + len(piece))
            parts.append(copied)
        elif copied is None and parts:
            parts[-1] += piece
        else:
            copied = None
            parts.append(piece)
    return parts


def _join(base: bytes, parts: list) -> bytes:
    pieces = []
    size = 0
    for part in parts:
        if type(part) is not bytes:
            start, end = part
            if not 0 <= start <= end <= len(base):
                raise ValueError("range outside of the base")
            part = base[start:end]
        size += len(part)
        if size > MAX_DOCUMENT_BYTES:
            raise ValueError("document exceeds the size limit")
        pieces.append(part)
    return b"".join(pieces)


def _malformed(detail: str) -> errors.Error:
    return errors.Error(errors.Reason.UNDECODABLE, _STEP, detail=detail)
