"""Log records as lines of JSON, with the fields of a decision."""

import datetime
import json
import logging
from typing import Any

_PACKAGE = "trefoilwind"
# Attribute of a log record that carries the fields of a decision.
FIELDS = "decision"
MAX_TEXT_CHARACTERS = 400


class JsonFormatter(logging.Formatter):
    """Formats records as JSON with time, level, part, message and fields."""

    def __init__(self, constant: dict[str, Any] | None = None):
        """Initialize the formatter.

        Args:
            constant: Fields that are added to each line, such as the node's id.
        """
        super().__init__()
        self._constant = constant or {}

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        at = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        part, sentence = part_and_sentence(record)
        line = {
            "time": at.isoformat(timespec="milliseconds"),
            **self._constant,
            "level": record.levelname,
            "part": part,
            "message": sentence,
            **getattr(record, FIELDS, {}),
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=_to_text)


def part_and_sentence(record: logging.LogRecord) -> tuple[str, str]:
    """Return the part that logs a record, and the message without it."""
    message = record.getMessage()
    part, separator, sentence = message.partition(": ")
    if separator and record.name.partition(".")[0] == _PACKAGE:
        return part, sentence
    return record.name, message


def _to_text(value: Any) -> str:
    """Return the text of a value that JSON cannot represent."""
    if isinstance(value, bytes):
        value = value.decode("latin-1")
    return str(value)[:MAX_TEXT_CHARACTERS]
