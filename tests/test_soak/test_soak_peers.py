"""Tests of the soak's callers."""

import asyncio
import contextlib
import socket
import threading
import time

from tests.test_platform import fakes
from tests.test_soak import ledger as ledger_lib
from tests.test_soak import peers

_TIMEOUT_S = 0.1
_HABIT = peers.Habit(
    ("order",), (0.0, 0.0), (1, 1), (1, 1), 0.0, _TIMEOUT_S, False, 3
)


def _answer_once(listener: socket.socket, due: threading.Event) -> None:
    connection, _ = listener.accept()
    with connection, contextlib.suppress(ConnectionError):
        due.wait()
        connection.sendall(b"HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n")
        while connection.recv(65536):
            pass


# Seed 100 of --planned: 'whole answer', as the second of three pipelined
# requests got the answer of the first, which the soak had read too late.
def test_late_soak_takes_no_answer_for_that_of_another_request():
    due = threading.Event()

    def be_late() -> None:
        due.set()
        time.sleep(0.4)

    async def run() -> ledger_lib.Ledger:
        ledger = ledger_lib.Ledger(("a",))
        port = listener.getsockname()[1]
        caller = peers.Caller("name", 0, port, _HABIT, ledger)
        task = asyncio.create_task(caller.run())
        asyncio.get_running_loop().call_later(_TIMEOUT_S + 0.3, be_late)
        while sum(bool(r.end) for r in ledger.requests.values()) < 3:
            await asyncio.sleep(0.05)
        task.cancel()
        return ledger

    with socket.create_server((fakes.HOST, 0)) as listener:
        thread = threading.Thread(target=_answer_once, args=(listener, due))
        thread.start()
        ledger = asyncio.run(run())
        thread.join()
    ends = [request.end for request in ledger.requests.values()][:3]
    assert ends == ["late"] * 3
