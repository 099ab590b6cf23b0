"""Event loop whose clock jumps to the next timer, for tests without sockets."""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any


class _JumpingSelector(selectors.SelectSelector):
    """Selector that advances the clock instead of waiting."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Return the ready files; advance the clock by the timeout if none."""
        if timeout is None:
            raise RuntimeError("the scenario waits for nothing")
        self.now += max(timeout, 0.0)
        return super().select(0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop on the selector's clock."""

    def __init__(self) -> None:
        self._clock = _JumpingSelector()
        super().__init__(self._clock)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._clock.now


def run(scenario: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on virtual time and return its result."""
    with asyncio.Runner(loop_factory=_VirtualLoop) as runner:
        return runner.run(scenario)
