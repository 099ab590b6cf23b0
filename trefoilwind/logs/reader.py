"""Reads logs of many processes; they may be truncated, mixed or compressed."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import datetime
import gzip
import json
import pathlib
import sys
from typing import Any

_GZIP_MAGIC = b"\x1f\x8b"
_STANDARD_INPUT = "-"


@dataclasses.dataclass(frozen=True)
class Line:
    """One line of a log.

    Attributes:
        at: Wall time in seconds since the epoch.
        node: Id of the node that wrote it.
        part: Part of the program that wrote it.
        message: Message without the prefix of the part.
        fields: All fields of the line.
    """

    at: float
    node: str
    part: str
    message: str
    fields: dict[str, Any]

    @property
    def kind(self) -> str:
        """Kind of the decision; empty if the line has none."""
        return str(self.fields.get("kind", ""))

    @property
    def request_id(self) -> str:
        """Id of the request that the line belongs to; empty if none."""
        return str(self.fields.get("id", ""))


def read(paths: Iterable[str]) -> list[Line]:
    """Return the lines of all logs, sorted by time.

    Args:
        paths: Files, plain or compressed; "-" for standard input.

    Raises:
        OSError: A file cannot be read.
    """
    found = [line for path in paths for line in parse(_read_texts(path))]
    return sorted(found, key=lambda line: line.at)


def parse(texts: Iterable[str]) -> Iterator[Line]:
    """Yield the log lines among texts; other texts are skipped.

    Args:
        texts: Lines; text before the first brace is ignored, as tools add
            times and names there.
    """
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            document = json.loads(text[start:])
        except ValueError:
            # Truncated, or not a log line of this project.
            continue
        line = _decode_line(document)
        if line is not None:
            yield line


def _decode_line(document: Any) -> Line | None:
    if not isinstance(document, dict):
        return None
    try:
        at = datetime.datetime.fromisoformat(document["time"]).timestamp()
        return Line(
            at,
            str(document.get("node", "")),
            str(document["part"]),
            str(document["message"]),
            document,
        )
    except (KeyError, TypeError, ValueError):
        return None


def _read_texts(path: str) -> Iterator[str]:
    if path == _STANDARD_INPUT:
        yield from sys.stdin
        return
    data = pathlib.Path(path).read_bytes()
    if data.startswith(_GZIP_MAGIC):
        data = gzip.decompress(data)
    yield from data.decode("utf-8", "replace").splitlines()
