"""Actor that appends to the log, and a reader of the log."""

from collections.abc import Callable
import logging
import random
from typing import Any

import pykka

from trefoilwind import environment as environment_lib
from trefoilwind import errors
from trefoilwind import events
from trefoilwind.distribution import backoff
from trefoilwind.log import appender as appender_lib
from trefoilwind.log import checkpoints
from trefoilwind.log import port
from trefoilwind.log import readers
from trefoilwind.node import messages

logger = logging.getLogger(__name__)

PAGE_RECORDS = 200
READ_WAIT_S = 2.0
IDLE_WAIT_S = 0.2
MAX_READ_BACKOFF_S = 2.0


class _AvailabilityMonitor:
    """Emits an event when the log becomes unavailable or available again."""

    def __init__(self, environment: environment_lib.Environment):
        self._environment = environment
        self._is_available = True

    def update(self, result: Any) -> None:
        """Update the availability with the result of a call of the log port."""
        is_available = not isinstance(result, errors.LogError) or (
            result.reason is errors.Reason.OFFSET_EXPIRED
        )
        if is_available == self._is_available:
            return
        self._is_available = is_available
        if is_available:
            self._environment.events.emit(events.LOG_RECOVERED)
        else:
            self._environment.events.emit(
                events.LOG_UNAVAILABLE, peer=result.peer, detail=str(result)
            )


class LogActor(pykka.ThreadingActor):
    """Appends records to the log on its own thread, as these calls block."""

    use_daemon_thread = True

    def __init__(
        self, environment: environment_lib.Environment, log: port.LogPort
    ):
        super().__init__()
        self._environment = environment
        self._board = environment.blackboard
        self._appender = appender_lib.Appender(
            log, environment.clock, random.Random(environment.random.random())
        )
        self._availability = _AvailabilityMonitor(environment)

    def on_receive(self, message: Any) -> None:
        """Queue a record, or append the queued records that are due."""
        if isinstance(message, messages.Append):
            problem = self._appender.add(
                message.record_id, message.payload, message.deadline
            )
            if problem is not None:
                logger.warning("log: %s", problem)
        elif isinstance(message, messages.Tick) and self._appender.pending:
            problem = self._appender.run(self._board.state.value.next_offset)
            self._availability.update(problem)


class Reader:
    """Reads the log on a separate thread, so that reads never delay appends."""

    def __init__(
        self, environment: environment_lib.Environment, log: port.LogPort
    ):
        self._environment = environment
        self._board = environment.blackboard
        self._log = log
        self._availability = _AvailabilityMonitor(environment)
        self._random = random.Random(environment.random.random())
        self._failures = 0

    @property
    def idle_wait_s(self) -> float:
        """Time in seconds to wait after a read that returned False."""
        if not self._failures:
            return IDLE_WAIT_S
        return backoff.full_jitter_s(
            self._failures, IDLE_WAIT_S, MAX_READ_BACKOFF_S, self._random
        )

    def read_page(
        self,
        handle: Callable[[messages.PageRead | messages.CheckpointRead], None],
        wait_s: float = READ_WAIT_S,
    ) -> bool:
        """Read one page and pass it on.

        If the offset has expired, the next checkpoint is read instead.

        Args:
            handle: Called with the page or the checkpoint.
            wait_s: Longest time in seconds to wait for a record.

        Returns:
            False if this node is not a reader or the read failed; the caller
            then waits for `idle_wait_s`.
        """
        if not readers.is_reader(self._environment):
            self._failures = 0
            return False
        offset = self._board.state.value.next_offset
        page = self._log.read(offset, PAGE_RECORDS, wait_s)
        self._availability.update(page)
        if isinstance(page, errors.LogError):
            return self._recover(page, offset, handle)
        self._failures = 0
        if page.entries:
            handle(messages.PageRead(offset, page))
        return True

    def _recover(
        self, problem: errors.LogError, offset: int, handle: Callable
    ) -> bool:
        self._failures += 1
        if problem.reason is not errors.Reason.OFFSET_EXPIRED:
            return False
        state = checkpoints.find_next(self._log, offset)
        if isinstance(state, errors.Error):
            logger.warning("log: %s", state)
            return False
        self._failures = 0
        handle(messages.CheckpointRead(state))
        return True
