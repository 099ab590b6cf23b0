"""Measures the propagation of publications and members over real sockets.

Run with `python -m benchmarks.convergence [N ...]`, with numbers of nodes. It
prints one row per size and design and takes a few minutes. Each data centre
runs in processes of its own. The log is the stand-in behind one HTTP server per
region, which counts the bytes of its answers.
"""

from collections.abc import Callable
import dataclasses
import multiprocessing
import sys
import threading
import time
from typing import Any

from cheroot import wsgi

from benchmarks import node_group
from trefoilwind.model import configuration as configuration_lib
from trefoilwind.model import records
from trefoilwind.standins import log_server
from trefoilwind.standins import log_service

DEFAULT_SIZES = (8, 32, 128)
DATA_CENTRES = (
    ("perth-a", "perth"),
    ("perth-b", "perth"),
    ("pilbara-a", "pilbara"),
    ("pilbara-b", "pilbara"),
)
NODES_PER_PROCESS = 16
PUBLICATIONS = 20
PUBLICATION_INTERVAL_S = 0.25
WINDOW_S = 20.0
CHANGES_PER_NODE_PER_S = 0.02
CONVERGENCE_TIMEOUT_S = 90.0
POLL_S = 0.05
SERVICES = 40


@dataclasses.dataclass(frozen=True)
class Totals:
    """Sums of the counters of all processes and of the log at one time."""

    at: float
    control_bytes: int
    heartbeat_bytes: int
    region_link_bytes: int
    cpu_s: float
    rss_bytes: int
    threads: int
    reads: int
    appends: int


class _CountingApplication:
    """WSGI application that counts the bytes of the log's answers."""

    def __init__(self, application: Any):
        self._application = application
        self.bytes = 0

    def __call__(self, environ: dict, start_response: Any):
        """Handle one request."""
        result = self._application(environ, start_response)
        self.bytes += sum(len(part) for part in result)
        return result


class Log:
    """The log stand-in behind one HTTP server per region."""

    def __init__(self, threads: int):
        self.log = log_service.MemoryLog()
        self.urls: dict[str, str] = {}
        self.applications: dict[str, _CountingApplication] = {}
        self._servers: list[wsgi.Server] = []
        for region in sorted({region for _, region in DATA_CENTRES}):
            application = _CountingApplication(
                log_server.LogApplication(self.log)
            )
            server = wsgi.Server(
                ("127.0.0.1", 0), application, numthreads=threads
            )
            server.prepare()
            threading.Thread(target=server.serve, daemon=True).start()
            self.urls[region] = f"http://127.0.0.1:{server.bind_addr[1]}"
            self.applications[region] = application
            self._servers.append(server)

    def stop(self) -> None:
        """Stop the servers."""
        for server in self._servers:
            server.shutdown_timeout = 1.0
            server.stop()


class Benchmark:
    """Log and node processes of one run."""

    def __init__(self, size: int, is_naive: bool):
        self.size = size
        self.log = Log(threads=size + 16)
        self._context = multiprocessing.get_context("spawn")
        self._pipes: list[Any] = []
        self._processes: list[Any] = []
        for group in self._groups(is_naive):
            parent, child = self._context.Pipe()
            process = self._context.Process(
                target=node_group.serve, args=(child, group), daemon=True
            )
            process.start()
            self._pipes.append(parent)
            self._processes.append(process)

    def _groups(self, is_naive: bool) -> list[node_group.Group]:
        groups = []
        per_data_centre = self.size // len(DATA_CENTRES)
        for data_centre, region in DATA_CENTRES:
            remaining = per_data_centre
            while remaining:
                count = min(remaining, NODES_PER_PROCESS)
                remaining -= count
                name = f"{data_centre}-{len(groups)}"
                url = self.log.urls[region]
                groups.append(
                    node_group.Group(
                        data_centre, region, name, count, url, is_naive
                    )
                )
        return groups

    def start(self) -> None:
        """Start all nodes."""
        contacts = ()
        for pipe in self._pipes:
            address = self._call(pipe, "start_first", contacts)
            contacts = (*contacts, address)
        self.command_all("start_rest", contacts)

    def command_all(self, name: str, *arguments: Any) -> list[Any]:
        """Run a command in all processes concurrently; return the results."""
        for pipe in self._pipes:
            pipe.send((name, arguments))
        return [pipe.recv() for pipe in self._pipes]

    def totals(self) -> Totals:
        """Return the sums of all counters."""
        usages = self.command_all("usage")
        remote_log_bytes = sum(
            application.bytes
            for region, application in self.log.applications.items()
            if region != node_group.LOG_REGION
        )
        return Totals(
            at=time.monotonic(),
            control_bytes=sum(usage.control_bytes for usage in usages),
            heartbeat_bytes=sum(usage.heartbeat_bytes for usage in usages),
            region_link_bytes=sum(usage.region_link_bytes for usage in usages)
            + remote_log_bytes,
            cpu_s=sum(usage.cpu_s for usage in usages),
            rss_bytes=sum(usage.rss_bytes for usage in usages),
            threads=sum(usage.threads for usage in usages),
            reads=self.log.log.reads,
            appends=self.log.log.appends,
        )

    def wait_for_convergence(self, version: int) -> float:
        """Return the seconds until all nodes list all members, or -1."""
        started = time.monotonic()
        incarnations: dict[str, int] = {}
        for part in self.command_all("incarnations"):
            incarnations.update(part)
        while time.monotonic() - started < CONVERGENCE_TIMEOUT_S:
            if all(self.command_all("is_settled", version, incarnations)):
                return time.monotonic() - started
            time.sleep(POLL_S)
        return -1.0

    def publish(self, base: int) -> tuple[int, float]:
        """Append a publication; return its version and the start time."""
        payload = records.encode(
            f"bench/{time.monotonic_ns()}",
            "bench",
            records.Publication(base, _configuration(time.monotonic())),
        )
        started = time.monotonic()
        version = self.log.log.append(payload)
        return version, started

    def stop(self) -> None:
        """Stop the processes of this run and the log."""
        for pipe in self._pipes:
            pipe.send(None)
        for process in self._processes:
            process.join(5.0)
            if process.is_alive():
                process.terminate()
        self.log.stop()

    def _call(self, pipe: Any, name: str, *arguments: Any) -> Any:
        pipe.send((name, arguments))
        return pipe.recv()


def _configuration(now: float) -> configuration_lib.Configuration:
    target = configuration_lib.ClassTarget("lookup", True, 0.2, 0.99)
    timeout_s = 1.0 + now % 1000.0
    target = dataclasses.replace(target, timeout_s=timeout_s)
    routes = (
        configuration_lib.Route("/", "lookup"),
        configuration_lib.Route("/orders", "lookup", ("POST",)),
    )
    return configuration_lib.Configuration(
        classes=(target,),
        services=tuple(
            configuration_lib.Service(f"service-{index}", "v1", routes)
            for index in range(SERVICES)
        ),
    )


def _percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(share * len(ordered)))
    return ordered[index]


def _measure_propagation(
    bench: Benchmark, base: int
) -> tuple[int, list[float], int]:
    """Publish repeatedly; return the last version, the delays and the losses.

    The delays are in seconds. The losses count the pairs of a publication and a
    node that did not apply it.
    """
    started_by_version = {}
    version = base
    for _ in range(PUBLICATIONS):
        version, started = bench.publish(version)
        started_by_version[version] = started
        time.sleep(PUBLICATION_INTERVAL_S)
    time.sleep(2.0)
    delays = []
    for published, started in started_by_version.items():
        for times in bench.command_all("applied", published):
            delays += [at - started for at in times]
    return version, delays, PUBLICATIONS * bench.size - len(delays)


def _measure_window(bench: Benchmark) -> tuple[Totals, Totals]:
    before = bench.totals()
    time.sleep(WINDOW_S)
    return before, bench.totals()


def _rate(
    window: tuple[Totals, Totals], value: Callable[[Totals], float]
) -> float:
    before, after = window
    return (value(after) - value(before)) / (after.at - before.at)


def measure(size: int, is_naive: bool) -> str:
    """Run one size and design; return its row of the table."""
    bench = Benchmark(size, is_naive)
    try:
        version, _ = bench.publish(-1)
        bench.start()
        start_s = bench.wait_for_convergence(version)
        version, delays, lost_count = _measure_propagation(bench, version)
        time.sleep(3.0)
        idle = _measure_window(bench)
        bench.command_all("start_churn", CHANGES_PER_NODE_PER_S)
        churn = _measure_window(bench)
        bench.command_all("stop_churn")
        time.sleep(2.0)
        bench.command_all("restart_half")
        restart_s = bench.wait_for_convergence(version)
    finally:
        bench.stop()
    cells = (
        "naive" if is_naive else "tree",
        str(size),
        f"{1000 * _percentile(delays, 0.5):.0f}",
        f"{1000 * _percentile(delays, 0.99):.0f}",
        str(lost_count),
        f"{_rate(idle, lambda t: t.control_bytes) / size:.0f}",
        f"{_rate(idle, lambda t: t.heartbeat_bytes) / size:.0f}",
        f"{_rate(churn, lambda t: t.control_bytes) / size:.0f}",
        f"{_rate(idle, lambda t: t.region_link_bytes):.0f}",
        f"{_rate(churn, lambda t: t.region_link_bytes):.0f}",
        f"{_rate(idle, lambda t: t.reads):.1f}",
        f"{_rate(idle, lambda t: t.appends):.2f}",
        f"{100 * _rate(idle, lambda t: t.cpu_s) / size:.2f}",
        f"{100 * _rate(churn, lambda t: t.cpu_s) / size:.2f}",
        f"{idle[1].rss_bytes / size / 2**20:.1f}",
        f"{idle[1].threads / size:.1f}",
        f"{start_s:.1f}",
        f"{restart_s:.1f}",
    )
    return " | ".join(cells)


HEADER = (
    "design | nodes | p50 ms | p99 ms | not applied | idle B/s/node |"
    " heartbeat B/s/node | churn B/s/node | region idle B/s |"
    " region churn B/s | log reads/s | appends/s | CPU %/node |"
    " CPU churn %/node | MB/node | threads/node | start s | restart s"
)


def main() -> None:
    """Measure the sizes given on the command line, or the default sizes."""
    sizes = [int(size) for size in sys.argv[1:]] or DEFAULT_SIZES
    print(HEADER)
    for size in sizes:
        for is_naive in (True, False):
            print(measure(size, is_naive), flush=True)


if __name__ == "__main__":
    main()
