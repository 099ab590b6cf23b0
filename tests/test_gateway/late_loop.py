"""Event loop that is late, as that of a process that waits for processors."""

import asyncio
from collections.abc import Callable
import socket
import time


async def block(
    seconds: float, begin: Callable[[], None] = lambda: None
) -> None:
    """Keep the event loop busy among its sockets.

    It then runs its expired timers before it reads the other sockets; the
    caller continues between the two.

    Args:
        seconds: Seconds for which the event loop is busy.
        begin: Called when the event loop begins to be busy.
    """
    loop = asyncio.get_running_loop()
    done = loop.create_future()
    first, second = socket.socketpair()

    def be_late() -> None:
        loop.remove_reader(first)
        begin()
        time.sleep(seconds)
        done.set_result(None)

    with first, second:
        loop.add_reader(first, be_late)
        second.send(b"x")
        await done
