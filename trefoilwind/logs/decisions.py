"""Log lines for decisions on requests and for changes of cached state.

Lines go through a bounded queue to a thread that writes them. A full queue
drops lines and counts them, so a stalled reader does not delay requests.
"""

import collections
import logging
import logging.handlers
import queue
import sys
import threading
import time
from typing import Any

from trefoilwind.logs import json_lines
from trefoilwind.logs import limits

logger = logging.getLogger(__name__)

# Lines queued for a slow reader; about 1 MB.
MAX_QUEUED_LINES = 4000
# Rate and burst of the lines of one kind. Failures have kinds of their own, so
# successes never use up their limit.
FAILURE_RATE_PER_S = 20.0
FAILURE_BURST_LINES = 40.0
# Lines of successes add little information to the counters.
SUCCESS_RATE_PER_S = 2.0
SUCCESS_BURST_LINES = 4.0
# Seconds that each step of a stop waits for a slow reader.
STOP_TIMEOUT_S = 0.2
# Seconds between two reports of suppressed lines.
SUMMARY_INTERVAL_S = 5.0

_failure_limits = limits.KindLimits(FAILURE_RATE_PER_S, FAILURE_BURST_LINES)
_success_limits = limits.KindLimits(SUCCESS_RATE_PER_S, SUCCESS_BURST_LINES)


def failure(log: logging.Logger, kind: str, text: str, **fields: Any) -> None:
    """Log a decision against a request, or a change of cached state.

    Args:
        log: Logger of the module that decides.
        kind: Kind of the decision; lines are rate-limited by kind.
        text: Prefix of the part and a short sentence.
        **fields: Causes and results of the decision.
    """
    if _failure_limits.allows(kind, time.monotonic()):
        fields["kind"] = kind
        log.info("%s", text, extra={json_lines.FIELDS: fields})


def success(log: logging.Logger, kind: str, text: str, **fields: Any) -> None:
    """Log a decision that served a request, at a low rate limit."""
    if _success_limits.allows(kind, time.monotonic()):
        fields["kind"] = kind
        log.info("%s", text, extra={json_lines.FIELDS: fields})


def log_suppressed_lines() -> None:
    """Log how many lines were suppressed since the last call."""
    counts = collections.Counter(_failure_limits.drain_suppressed())
    counts.update(_success_limits.drain_suppressed())
    if counts:
        logger.info(
            "logs: lines suppressed by rate limits",
            extra={
                json_lines.FIELDS: {"kind": "left_out", "counts": dict(counts)}
            },
        )


class _DroppingHandler(logging.handlers.QueueHandler):
    """Puts records into a bounded queue and counts those that it drops."""

    dropped = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, or drop it if the queue is full."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record unchanged; the writer thread formats it."""
        return record


class Writer:
    """Writes all log records of the process to a stream."""

    def __init__(self, node_id: str, stream: Any = None):
        self._queue: queue.Queue = queue.Queue(MAX_QUEUED_LINES)
        self._handler = _DroppingHandler(self._queue)
        target = logging.StreamHandler(stream or sys.stdout)
        target.setFormatter(json_lines.JsonFormatter({"node": node_id}))
        self._target = target
        self._thread = threading.Thread(
            target=self._write, name="logs", daemon=True
        )

    @property
    def dropped(self) -> int:
        """Number of lines dropped because the queue was full."""
        return self._handler.dropped

    @property
    def handler(self) -> logging.Handler:
        """Handler that queues the records."""
        return self._handler

    def start(self, level: str = "INFO") -> None:
        """Route all log records of the process to this writer."""
        logging.basicConfig(level=level, handlers=[self._handler], force=True)
        self._thread.start()

    def stop(self) -> None:
        """Write the queued lines, without waiting for a stalled reader."""
        try:
            self._queue.put(None, timeout=STOP_TIMEOUT_S)
        except queue.Full:
            return
        self._thread.join(STOP_TIMEOUT_S)

    def _write(self) -> None:
        while (record := self._queue.get()) is not None:
            self._target.handle(record)
