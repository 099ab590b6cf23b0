"""Latency, processor time and memory of calls, with a process for each role.

Run with `python -m benchmarks.call_latency`. A minimal caller and a minimal
backend server speak HTTP over raw sockets, so that the cost of the nodes is
visible. All three topologies (direct, one node, two nodes) take turns within
one run.
"""

import argparse
from collections.abc import Iterator
import contextlib
import dataclasses
import json
import multiprocessing
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import threading
import time
from typing import Any

from trefoilwind import errors
from trefoilwind.admin import client as client_lib
from trefoilwind.admin import views
from trefoilwind.distribution import frames
from trefoilwind.model import configuration as configuration_lib
from trefoilwind.model import state as state_lib

_TOKEN = "benchmark"
_ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"Content-Length: 64\r\n\r\n" + b"x" * 64
)
_ANSWER_END = b"x" * 64
_START_TIMEOUT_S = 15.0
_WARM_UP_S = 0.5
_UPLOADS = 16
_UPLOAD_BYTES = 50 * 1024 * 1024
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_TOPOLOGIES = ("direct", "one node", "two nodes")


def run_backend(port_queue: Any) -> None:
    """Run a minimal backend server with one thread for each connection."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=256)
    port_queue.put(listener.getsockname()[1])
    while True:
        connection, _ = listener.accept()
        threading.Thread(
            target=_serve_connection, args=(connection,), daemon=True
        ).start()


def _serve_connection(connection: socket.socket) -> None:
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    while data := connection.recv(65536):
        head, _, rest = data.partition(b"\r\n\r\n")
        remaining_bytes = _content_length(head) - len(rest)
        while remaining_bytes > 0:
            remaining_bytes -= len(connection.recv(262144))
        connection.sendall(_ANSWER)


def _content_length(head: bytes) -> int:
    _, found, rest = head.lower().partition(b"content-length:")
    return int(rest.split(b"\r\n")[0]) if found else 0


def run_caller(
    address: tuple[str, int], path: str, seconds: float, results: Any
) -> None:
    """Call in a closed loop; put the list of latencies in seconds."""
    request = f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
    connection = socket.create_connection(address)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    _measure(connection, request, _WARM_UP_S)
    results.put(_measure(connection, request, seconds))
    connection.close()


def _measure(
    connection: socket.socket, request: bytes, seconds: float
) -> list[float]:
    latencies = []
    deadline = time.perf_counter() + seconds
    while (started := time.perf_counter()) < deadline:
        connection.sendall(request)
        answer = connection.recv(65536)
        while answer and not answer.endswith(_ANSWER_END):
            received = connection.recv(65536)
            answer = answer + received if received else b""
        if not answer.startswith(b"HTTP/1.1 200"):
            raise RuntimeError(answer.decode())
        latencies.append(time.perf_counter() - started)
    return latencies


def run_upload(address: tuple[str, int], path: str) -> None:
    """Send one upload; exit with the answer's body if it is refused."""
    connection = socket.create_connection(address)
    head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {_UPLOAD_BYTES}"
    connection.sendall(f"{head}\r\n\r\n".encode())
    piece = bytes(65536)
    # A refusal may end the connection before the last piece.
    with contextlib.suppress(BrokenPipeError, ConnectionResetError):
        for _ in range(_UPLOAD_BYTES // len(piece)):
            connection.sendall(piece)
    answer = connection.recv(65536)
    if not answer.startswith(b"HTTP/1.1 200"):
        sys.exit(answer.rpartition(b"\r\n")[2].decode())


@dataclasses.dataclass(frozen=True)
class Row:
    """Results for one topology and one number of callers.

    Attributes:
        callers: Number of callers.
        topology: One of `_TOPOLOGIES`.
        p50_ms: Median in milliseconds.
        p99_ms: 99th percentile in milliseconds.
        calls_per_s: Calls per second of all callers.
        entry_ms: Processor time of the entry node per call in milliseconds.
        target_ms: Processor time of the target node per call in milliseconds.
    """

    callers: int
    topology: str
    p50_ms: float
    p99_ms: float
    calls_per_s: float
    entry_ms: float
    target_ms: float


class BenchmarkProcesses:
    """Backend server, log and nodes of one run."""

    def __init__(self, stack: contextlib.ExitStack):
        self._stack = stack
        self._folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        self._backend_port = self._start_backend()
        log = self._start("trefoilwind.cmd.standin_log")
        self._log_url = next(w for w in log.line.split() if "http" in w)
        self.entry = self._start_node("a", "")
        self.target = self._start_node("b", self.entry.peer)
        self._announce()
        self._publish()

    def address(self, topology: str) -> tuple[str, int]:
        """Return the host and port to which a caller connects."""
        if topology == "direct":
            return "127.0.0.1", self._backend_port
        host, _, port = self.entry.caller.partition(":")
        return host, int(port)

    @staticmethod
    def path(topology: str) -> str:
        """Return the path that a caller requests."""
        return "/artwork/x" if topology == "two nodes" else "/catalogue/x"

    def _start_backend(self) -> int:
        ports = multiprocessing.Queue()
        process = multiprocessing.Process(
            target=run_backend, args=(ports,), daemon=True
        )
        process.start()
        self._stack.callback(process.kill)
        return ports.get(timeout=_START_TIMEOUT_S)

    def _start(self, module: str, *arguments: str) -> "Program":
        process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=subprocess.PIPE,
            text=True,
        )
        self._stack.callback(process.wait)
        self._stack.callback(process.terminate)
        return Program(process.pid, process.stdout.readline())

    def _start_node(self, name: str, contact: str) -> "Program":
        settings = {
            "node_id": name,
            "data_centre": "perth-a",
            "region": "perth",
            "log": {"url": self._log_url},
            "admin_token": _TOKEN,
            "log_level": "WARNING",
        }
        if contact:
            host, _, port = contact.partition(":")
            settings["contacts"] = [{"host": host, "port": int(port)}]
        path = self._folder / f"{name}.jsonc"
        path.write_text(json.dumps(settings))
        return self._start("trefoilwind.cmd.node", str(path))

    def _announce(self) -> None:
        stopped = threading.Event()
        self._stack.callback(stopped.set)

        def announce() -> None:
            while not stopped.wait(0.5):
                for node, service in (
                    (self.entry, "catalogue"),
                    (self.target, "artwork"),
                ):
                    _post_announcement(node.admin, service, self._backend_port)

        threading.Thread(target=announce, daemon=True).start()

    def _publish(self) -> None:
        client = client_lib.AdminClient(f"http://{self.entry.admin}", _TOKEN)
        request = views.PublicationRequest(
            "bench/1", state_lib.NO_VERSION, _configuration()
        )
        result = client.publish(request)
        if isinstance(result, errors.Error):
            raise RuntimeError(str(result))
        deadline = time.monotonic() + _START_TIMEOUT_S
        for topology in _TOPOLOGIES:
            while not self._answers(topology):
                if time.monotonic() > deadline:
                    raise RuntimeError(
                        f"{topology}: no answer before the deadline"
                    )
                time.sleep(0.1)

    def _answers(self, topology: str) -> bool:
        with socket.create_connection(self.address(topology)) as connection:
            request = f"GET {self.path(topology)} HTTP/1.1\r\nHost: x\r\n\r\n"
            connection.sendall(request.encode())
            return connection.recv(65536).startswith(b"HTTP/1.1 200")


class Program:
    """A started process and the first line that it printed."""

    def __init__(self, pid: int, line: str):
        self.pid = pid
        self.line = line

    @property
    def caller(self) -> str:
        """Address for callers."""
        return self._after("callers")

    @property
    def peer(self) -> str:
        """Address for peers."""
        return self._after("peers")

    @property
    def admin(self) -> str:
        """Address of the administration API."""
        return self._after("administration")

    @property
    def processor_s(self) -> float:
        """Processor time so far, in seconds."""
        fields = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        after_name = fields.rpartition(")")[2].split()
        return (int(after_name[11]) + int(after_name[12])) / _TICKS_PER_S

    def memory_mb(self, key: str) -> float:
        """Return a memory figure of the process, such as VmRSS, in MB."""
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        line = next(x for x in status.splitlines() if x.startswith(key))
        return int(line.split()[1]) / 1024

    def _after(self, word: str) -> str:
        words = self.line.replace(",", "").split()
        return words[words.index(word) + 1]


def _post_announcement(admin: str, service: str, port: int) -> None:
    host, _, admin_port = admin.partition(":")
    body = json.dumps(
        {"service": service, "version": "v1", "port": port, "slots": 64}
    )
    head = (
        f"POST /v1/announcement HTTP/1.1\r\nHost: x\r\n"
        f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    with (
        contextlib.suppress(OSError),
        socket.create_connection((host, int(admin_port))) as connection,
    ):
        connection.sendall((head + body).encode())
        connection.recv(65536)


def _configuration() -> configuration_lib.Configuration:
    lookup = configuration_lib.ClassTarget(
        "lookup", True, 0.2, 0.99, 2, timeout_s=60.0
    )
    return configuration_lib.Configuration(
        data_centres=(configuration_lib.DataCentre("perth-a", "perth"),),
        halves=("north",),
        classes=(lookup,),
        services=tuple(
            configuration_lib.Service(
                name, "v1", (configuration_lib.Route("/", "lookup"),)
            )
            for name in ("catalogue", "artwork")
        ),
        ownership=(configuration_lib.Ownership("north"),),
    )


def _run_callers(
    bench: BenchmarkProcesses, topology: str, count: int, seconds: float
) -> Row:
    results = multiprocessing.Queue()
    processes = [
        multiprocessing.Process(
            target=run_caller,
            args=(
                bench.address(topology),
                bench.path(topology),
                seconds,
                results,
            ),
        )
        for _ in range(count)
    ]
    before = (bench.entry.processor_s, bench.target.processor_s)
    for process in processes:
        process.start()
    latencies = sorted(
        x for _ in processes for x in results.get(timeout=seconds + 30.0)
    )
    for process in processes:
        process.join()
    after = (bench.entry.processor_s, bench.target.processor_s)
    # The processor time includes that of the calls of the warm-up.
    calls = len(latencies) * (seconds + _WARM_UP_S) / seconds
    return Row(
        callers=count,
        topology=topology,
        p50_ms=latencies[len(latencies) // 2] * 1000,
        p99_ms=latencies[int(len(latencies) * 0.99)] * 1000,
        calls_per_s=len(latencies) / seconds,
        entry_ms=(after[0] - before[0]) / calls * 1000,
        target_ms=(after[1] - before[1]) / calls * 1000,
    )


def _rows(
    bench: BenchmarkProcesses, counts: list[int], seconds: float, rounds: int
) -> Iterator[Row]:
    for count in counts:
        runs = [
            _run_callers(bench, topology, count, seconds)
            for _ in range(rounds)
            for topology in _TOPOLOGIES
        ]
        for topology in _TOPOLOGIES:
            rows_of_topology = sorted(
                (x for x in runs if x.topology == topology),
                key=lambda x: x.p99_ms,
            )
            yield rows_of_topology[len(rows_of_topology) // 2]


def _print_row(row: Row, direct: Row) -> None:
    added_p50 = row.p50_ms - direct.p50_ms
    added_p99 = row.p99_ms - direct.p99_ms
    print(
        f"{row.callers:7d} {row.topology:10s} {row.p50_ms:7.3f} "
        f"{row.p99_ms:7.3f} "
        f"{added_p50:9.3f} {added_p99:9.3f} "
        f"{row.p50_ms / direct.p50_ms:6.1f} {row.calls_per_s:8.0f} "
        f"{row.entry_ms:8.3f} {row.target_ms:9.3f}",
        flush=True,
    )


def _upload(bench: BenchmarkProcesses) -> None:
    topology = "two nodes"
    before = [x.memory_mb("VmRSS") for x in (bench.entry, bench.target)]
    cpu = [x.processor_s for x in (bench.entry, bench.target)]
    processes = [
        multiprocessing.Process(
            target=run_upload,
            args=(bench.address(topology), bench.path(topology)),
        )
        for _ in range(_UPLOADS)
    ]
    started = time.perf_counter()
    for process in processes:
        process.start()
    for process in processes:
        process.join()
    seconds = time.perf_counter() - started
    peak = [x.memory_mb("VmHWM") for x in (bench.entry, bench.target)]
    used = [
        x.processor_s - y
        for x, y in zip((bench.entry, bench.target), cpu, strict=True)
    ]
    total_mb = _UPLOADS * _UPLOAD_BYTES / 1024 / 1024
    failed = sum(process.exitcode != 0 for process in processes)
    print(
        f"{_UPLOADS} uploads of {_UPLOAD_BYTES >> 20} MB at once, two nodes: "
        f"{failed} failed, {total_mb / seconds:.0f} MB/s\n"
        f"memory before and at the peak: entry {before[0]:.0f} and "
        f"{peak[0]:.0f} MB, target {before[1]:.0f} and {peak[1]:.0f} MB\n"
        f"processor time per MB: entry {used[0] / total_mb * 1000:.2f} ms, "
        f"target {used[1] / total_mb * 1000:.2f} ms"
    )


def _print_frame_sizes() -> None:
    headers = [["Host", "x"], ["Accept", "*/*"]]
    opened = frames.CallOpen(
        9999, "GET", "/x", headers, 5.0, "lookup", 2, "", b"", True
    )
    answer_headers = [["Content-Type", "application/json"]]
    answer = frames.AnswerHead(
        9999, 200, answer_headers, b"x" * 64, True, 0.001
    )
    print(
        f"bytes of a call's frames: request {len(frames.encode(opened))}, "
        f"answer {len(frames.encode(answer))}, including bodies of 0 and 64 "
        "bytes"
    )


def main() -> None:
    """Run the benchmark and print its tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=2.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--callers", default="1,4,8,16,32")
    parser.add_argument("--no-uploads", action="store_true")
    arguments = parser.parse_args()
    counts = [int(x) for x in arguments.callers.split(",")]
    with contextlib.ExitStack() as stack:
        bench = BenchmarkProcesses(stack)
        if not arguments.no_uploads:
            _upload(bench)
        print(
            "callers topology    p50 ms  p99 ms added p50 added p99  ratio  "
            "calls/s entry ms target ms"
        )
        direct = None
        for row in _rows(bench, counts, arguments.seconds, arguments.rounds):
            direct = row if row.topology == "direct" else direct
            _print_row(row, direct)
        _print_frame_sizes()


if __name__ == "__main__":
    main()
