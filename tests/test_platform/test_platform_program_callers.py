"""Callers outside the limits against the program as a process.

Each test sends one form of requests that ended or could end a process, from a
small crowd, under limits that are lowered in its own settings.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import itertools
import json
import os
import pathlib
import socket
import sys

import uvloop

from tests.test_gateway import fakes as gateway_fakes
from tests.test_platform import fakes
from trefoilwind.platform import settings as settings_lib
from trefoilwind.platform import store as store_lib

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_FILE = """
[self]
node = "n1"
ip = "127.0.0.1"
zone = "z"
region = "r"
app_addr = "127.0.0.1:{app}"
service = "s"
[self.limits]
memory_mb = {memory_mb}
max_fds = {max_fds}
[network.listen]
inbound = "127.0.0.1:{inbound}"
outbound = "127.0.0.1:{outbound}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[platform.platform]
address = "{store}"
"""
_NAMES = ("app", "inbound", "outbound", "ready", "control")
_MB = 1_000_000
_MEMORY_MB = 128
_MAX_FDS = 160
_MAX_BODY_BYTES = 8 * _MB
_MAX_HEADER_BYTES = 8192
# Callers of the crowd; their bodies are 192 MB together.
_CROWD = 24
# Connections of a crowd that sends nothing.
_IDLE = 2 * _MAX_FDS
# Seconds for which the crowd sends.
_SEND_S = 2.5
_PIECE = bytes(64 * 1024)
_HEAD = b"POST /a/1 HTTP/1.1\r\nHost: n1\r\nX-Deadline-Ms: 9000\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

Send = Callable[[asyncio.StreamWriter], Awaitable[None]]


class _Program:
    """The program, with stand-ins for the store and its backend server."""

    def __init__(self, folder: pathlib.Path, memory_mb: int, limits: dict):
        self._folder = folder
        self._memory_mb = memory_mb
        self._limits = limits
        self._backend = gateway_fakes.RawServer(_serve)
        self._process: asyncio.subprocess.Process | None = None
        self._ports: dict[str, int] = {}

    @property
    def caller_port(self) -> int:
        return self._ports["outbound"]

    @property
    def is_running(self) -> bool:
        return self._process.returncode is None

    @property
    def peak_bytes(self) -> int:
        status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        line = next(x for x in status.splitlines() if x.startswith("VmHWM"))
        return int(line.split()[1]) * 1024

    @property
    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    async def __aenter__(self) -> "_Program":
        await self._backend.__aenter__()
        store = await fakes.StoreServer().start()
        await store_lib.PlatformStore(store).put(
            store_lib.OPERATOR_TOPIC, "config", _configuration(self._limits)
        )
        self._ports = _free_ports() | {"app": self._backend.address.port}
        path = self._folder / "local.toml"
        text = _FILE.format(
            store=store,
            memory_mb=self._memory_mb,
            max_fds=_MAX_FDS,
            **self._ports,
        )
        path.write_text(text)
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "trefoilwind.cmd.platform_node",
            cwd=_ROOT,
            env={"PATH": "", settings_lib.PATH_VARIABLE: str(path)},
            stdout=(self._folder / "log").open("wb"),
        )
        ready = b"GET /-/readiness HTTP/1.1\r\nHost: n1\r\n"
        while await self._status("ready", ready) != b"200":
            await asyncio.sleep(0.05)
        assert await self._announce() == b"200"
        return self

    async def __aexit__(self, *_: object) -> None:
        if self.is_running:
            self._process.kill()
        await self._process.wait()

    async def ask(self, body: bytes) -> bytes:
        """Return the status of an ordinary request."""
        length = b"Content-Length: %d\r\n" % len(body)
        return await self._status("outbound", _HEAD + length, body)

    async def _announce(self) -> bytes:
        body = fakes.heartbeat(self._backend.address)
        head = b"PUT /-/instances/i1 HTTP/1.1\r\nHost: n1\r\n"
        length = b"Content-Length: %d\r\n" % len(body)
        return await self._status("control", head + length, body)

    async def _status(self, port: str, head: bytes, body: bytes = b"") -> bytes:
        try:
            reader, writer = await asyncio.open_connection(
                fakes.HOST, self._ports[port]
            )
            writer.write(head + b"Connection: close\r\n\r\n")
            writer.write(body)
            answer = await reader.read()
        except ConnectionRefusedError:
            return b""
        writer.close()
        return answer[9:12]


async def _serve(reader, writer) -> None:
    """Answer each request once its body has arrived."""
    while head := await gateway_fakes.read_head(reader):
        lines = head.lower().split(b"\r\n")
        lengths = [x for x in lines if x.startswith(b"content-length:")]
        rest = int(lengths[0].partition(b":")[2]) if lengths else 0
        while rest and (part := await reader.read(min(rest, 65536))):
            rest -= len(part)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


def _free_ports() -> dict[str, int]:
    sockets = [socket.create_server((fakes.HOST, 0)) for _ in _NAMES]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return dict(zip(_NAMES, ports, strict=True))


def _configuration(limits: dict) -> bytes:
    row = {
        "name": "r",
        "host": "n1",
        "path_prefix": "/a/",
        "kind": "unsafe",
        "timeout_s": 9.0,
        "target_latency_s": 9.0,
        "service": "s",
    }
    document = {
        "version": 1,
        "routes": {"columns": list(row), "rows": [list(row.values())]},
        "services": {"columns": ["name"], "rows": []},
        "limits": limits,
    }
    return json.dumps(document).encode()


async def _send_for_a_time(writer: asyncio.StreamWriter, send: Send) -> None:
    """Send until done, refused or cut off, or until the time is over."""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(_SEND_S):
            await send(writer)


async def _write(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(data)
    await writer.drain()


def _check(folder: pathlib.Path, send: Send, callers: int = _CROWD) -> None:
    """Check that a crowd neither ends nor hangs the program."""
    limits = {
        "max_body_bytes": _MAX_BODY_BYTES,
        "max_header_bytes": _MAX_HEADER_BYTES,
    }

    async def scenario() -> None:
        async with _Program(folder, _MEMORY_MB, limits) as program:
            crowd = [
                await asyncio.open_connection(fakes.HOST, program.caller_port)
                for _ in range(callers)
            ]
            await asyncio.gather(
                *(_send_for_a_time(writer, send) for _, writer in crowd)
            )
            descriptors = program.descriptors
            # The crowd stays connected.
            status = await program.ask(b"x" * 1000)
            assert program.is_running
            peak_mb = program.peak_bytes / _MB
            print(f"peak {peak_mb:.0f} MB, {descriptors} descriptors")
            assert status == b"200"
            assert peak_mb < _MEMORY_MB
            assert descriptors < _MAX_FDS
            for _, writer in crowd:
                writer.transport.abort()

    _run(scenario)


def _run(scenario: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        async with asyncio.timeout(60.0):
            await scenario()

    uvloop.run(run())


async def _send_body(writer: asyncio.StreamWriter, count: int) -> None:
    for start in range(0, count, len(_PIECE)):
        await _write(writer, _PIECE[: min(len(_PIECE), count - start)])


async def _send_chunks(writer: asyncio.StreamWriter, count: int) -> None:
    """Send bytes in chunks, without the one of length 0."""
    for start in range(0, count, len(_PIECE)):
        piece = _PIECE[: min(len(_PIECE), count - start)]
        await _write(writer, b"%x\r\n%b\r\n" % (len(piece), piece))


def test_heads_over_the_limit_do_not_end_the_process(tmp_path: pathlib.Path):
    async def send(writer: asyncio.StreamWriter) -> None:
        await _write(writer, _HEAD)
        for number in range(4000):
            await _write(writer, b"X-%d: %b\r\n" % (number, bytes(b"a" * 900)))
        await _write(writer, b"\r\n")

    _check(tmp_path, send)


def test_heads_without_end_do_not_end_the_process(tmp_path: pathlib.Path):
    async def send(writer: asyncio.StreamWriter) -> None:
        await _write(writer, _HEAD + b"X: ")
        while True:
            await _write(writer, b"a" * 65536)

    _check(tmp_path, send)


def test_empty_lines_without_end_do_not_end_the_process(
    tmp_path: pathlib.Path,
):
    async def send(writer: asyncio.StreamWriter) -> None:
        while True:
            await _write(writer, b"\r\n" * 32768)

    _check(tmp_path, send)


def test_large_bodies_short_of_a_byte_do_not_end_the_process(
    tmp_path: pathlib.Path,
):
    async def send(writer: asyncio.StreamWriter) -> None:
        length = b"Content-Length: %d\r\n\r\n" % _MAX_BODY_BYTES
        await _write(writer, _HEAD + length)
        await _send_body(writer, _MAX_BODY_BYTES - 1)

    _check(tmp_path, send)


def test_large_bodies_in_chunks_without_a_last_one_do_not_end_the_process(
    tmp_path: pathlib.Path,
):
    async def send(writer: asyncio.StreamWriter) -> None:
        await _write(writer, _CHUNKED)
        await _send_chunks(writer, _MAX_BODY_BYTES - 1)

    _check(tmp_path, send)


def test_large_bodies_piece_by_piece_do_not_end_the_process(
    tmp_path: pathlib.Path,
):
    async def send(writer: asyncio.StreamWriter) -> None:
        length = b"Content-Length: %d\r\n\r\n" % _MAX_BODY_BYTES
        await _write(writer, _HEAD + length)
        for _ in itertools.repeat(None, _MAX_BODY_BYTES // len(_PIECE) - 1):
            await _write(writer, _PIECE)
            await asyncio.sleep(0.005)

    _check(tmp_path, send)


def test_bodies_announced_far_over_the_limit_do_not_end_the_process(
    tmp_path: pathlib.Path,
):
    async def send(writer: asyncio.StreamWriter) -> None:
        length = b"Content-Length: %d\r\n\r\n" % (100 * _MAX_BODY_BYTES)
        await _write(writer, _HEAD + length)
        await _send_body(writer, 4 * _MAX_BODY_BYTES)

    _check(tmp_path, send)


def test_chunks_far_over_the_limit_do_not_end_the_process(
    tmp_path: pathlib.Path,
):
    async def send(writer: asyncio.StreamWriter) -> None:
        await _write(writer, _CHUNKED)
        await _send_chunks(writer, 4 * _MAX_BODY_BYTES)

    _check(tmp_path, send)


def test_idle_connections_do_not_take_all_descriptors(tmp_path: pathlib.Path):
    async def send(writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.5)

    _check(tmp_path, send, callers=_IDLE)


def test_one_body_of_the_default_limit_is_served_within_300_mb(
    tmp_path: pathlib.Path,
):
    """A bound on the bytes of all bodies must leave room for a single one."""

    async def scenario() -> None:
        async with _Program(tmp_path, 300, {}) as program:
            status = await program.ask(bytes(64 * 1024 * 1024))
            peak_mb = program.peak_bytes / _MB
            print(f"peak {peak_mb:.0f} MB")
            assert status == b"200"
            assert peak_mb < 300

    _run(scenario)
