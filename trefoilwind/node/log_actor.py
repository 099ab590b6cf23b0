"""Actor that reads the log and appends to it."""

import collections
from collections.abc import Callable
import logging
from typing import Any

import pykka

from trefoilwind import environment as environment_lib
from trefoilwind import errors
from trefoilwind import events
from trefoilwind.log import port
from trefoilwind.log import readers
from trefoilwind.node import messages

logger = logging.getLogger(__name__)

PAGE_RECORDS = 200
READ_WAIT_S = 0.2
IDLE_WAIT_S = 0.2


class _Availability:
    """Reports when the log stops and starts to answer."""

    def __init__(self, environment: environment_lib.Environment):
        self._environment = environment
        self._is_available = True

    def note(self, result: Any) -> None:
        """Take the result of a call of the log port."""
        is_available = not isinstance(result, errors.LogError)
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
    """Owns the log port, whose calls block."""

    use_daemon_thread = True

    def __init__(
        self, environment: environment_lib.Environment, log: port.LogPort
    ):
        super().__init__()
        self._environment = environment
        self._board = environment.blackboard
        self._log = log
        self._pending: collections.deque[messages.Append] = collections.deque()
        self._availability = _Availability(environment)

    def on_receive(self, message: Any) -> None:
        """Queue a record, or do one round of appends and reads."""
        if isinstance(message, messages.Append):
            self._pending.append(message)
        elif isinstance(message, messages.Tick):
            self._append_pending()

    def _append_pending(self) -> None:
        while self._pending:
            # A repeat after a lost answer is safe: the fold ignores it.
            result = self._log.append(self._pending[0].payload)
            self._availability.note(result)
            if isinstance(result, errors.LogError):
                return
            self._pending.popleft()


class Reader:
    """Reads the log on a thread of its own, so that appends never wait."""

    def __init__(
        self, environment: environment_lib.Environment, log: port.LogPort
    ):
        self._environment = environment
        self._board = environment.blackboard
        self._log = log
        self._availability = _Availability(environment)

    def read_for(self, take_page: Callable[[messages.PageRead], None]) -> bool:
        """Read one page and pass it on; return False if idle."""
        if not readers.is_reader(self._environment):
            return False
        offset = self._board.state.value.next_offset
        page = self._log.read(offset, PAGE_RECORDS, READ_WAIT_S)
        self._availability.note(page)
        if isinstance(page, errors.LogError):
            return False
        if page.entries:
            take_page(messages.PageRead(offset, page))
        return True
