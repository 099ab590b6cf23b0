"""Memory per idle stream and per open call, in one process.

Run with `python -m benchmarks.stream_memory`.
"""

import pathlib
import socket
import time

from trefoilwind import clock as clock_lib
from trefoilwind.distribution import stream as stream_lib
from trefoilwind.proxy import bodies
from trefoilwind.proxy import calls

_STREAMS = 200
_CALLS = 10_000


def _resident_kb() -> int:
    status = pathlib.Path("/proc/self/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
    return int(line.split()[1])


def _connected_streams(count: int) -> list[stream_lib.PeerStream]:
    clock = clock_lib.SystemClock()
    with socket.create_server(("127.0.0.1", 0), backlog=count) as listener:
        streams = []
        for _ in range(count // 2):
            near = socket.create_connection(listener.getsockname())
            far, _ = listener.accept()
            streams.append(stream_lib.PeerStream(near, clock))
            streams.append(stream_lib.PeerStream(far, clock))
    for stream in streams:
        stream.start(lambda stream, frame: None, lambda stream: None)
    return streams


def _open_call() -> tuple[object, ...]:
    deadline = time.monotonic() + 60.0
    received = bodies.ReceivedBody(262144, deadline, lambda count: None)
    return calls.Cancellation(), bodies.Credit(deadline), received


def main() -> None:
    """Print the memory per stream and per call."""
    before = _resident_kb()
    streams = _connected_streams(_STREAMS)
    per_stream = (_resident_kb() - before) / len(streams)
    before = _resident_kb()
    opened = [_open_call() for _ in range(_CALLS)]
    per_call = (_resident_kb() - before) / len(opened)
    print(
        f"resident memory: {per_stream:.1f} KB per idle stream and its thread, "
        f"{per_call:.2f} KB per open call with empty bodies in both directions"
    )
    for stream in streams:
        stream.close()


if __name__ == "__main__":
    main()
