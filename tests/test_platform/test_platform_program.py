"""Program of the platform as a process, with a stand-in for the store."""

import asyncio
import pathlib
import signal
import socket
import sys

import uvloop

from tests.test_platform import fakes
from trefoilwind.platform import settings as settings_lib

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_FILE = """
[self]
node = "n1"
role = "node"
ip = "127.0.0.1"
zone = "z"
region = "r"
app_addr = "127.0.0.1:{app}"
service = "s"
[network]
internal_ports = [7660, 7675]
[network.listen]
inbound = "127.0.0.1:{inbound}"
outbound = "127.0.0.1:{outbound}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[platform]
heartbeat_interval_s = 1.5
[platform.platform]
address = "{store}"
[terms.bounds]
grace_s = 2
budget_ratio = 0.2
"""
_NAMES = ("app", "inbound", "outbound", "ready", "control", "metrics")


def _free_ports() -> dict[str, int]:
    sockets = [socket.create_server((fakes.HOST, 0)) for _ in _NAMES]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return dict(zip(_NAMES, ports, strict=True))


async def _get(port: int, path: str) -> bytes:
    """Return the answer; empty bytes while nothing listens."""
    try:
        reader, writer = await asyncio.open_connection(fakes.HOST, port)
    except ConnectionRefusedError:
        return b""
    writer.write(
        b"GET %b HTTP/1.1\r\nHost: n1\r\nConnection: close\r\n\r\n"
        % path.encode()
    )
    answer = await reader.read()
    writer.close()
    return answer


async def _until_served(port: int, path: str) -> bytes:
    while not (answer := await _get(port, path)):
        await asyncio.sleep(0.05)
    return answer


async def _start(folder: pathlib.Path, ports: dict[str, int], store: str):
    path = folder / "local.toml"
    path.write_text(_FILE.format(store=store, **ports))
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "trefoilwind.cmd.platform_node",
        "--metrics-port",
        str(ports["metrics"]),
        cwd=_ROOT,
        env={"PATH": "", settings_lib.PATH_VARIABLE: str(path)},
        stdout=asyncio.subprocess.PIPE,
    )


def _run(scenario) -> None:
    async def run() -> None:
        async with asyncio.timeout(90.0):
            await scenario()

    uvloop.run(run())


def test_program_serves_its_addresses_and_stops(tmp_path: pathlib.Path):
    async def scenario() -> None:
        store = fakes.StoreServer()
        address = await store.start()
        ports = _free_ports()
        process = await _start(tmp_path, ports, str(address))
        page = await _until_served(ports["metrics"], "/metrics")
        assert page.startswith(b"HTTP/1.1 200")
        assert b"trefoilwind_ready 0" in page
        assert (await _get(ports["metrics"], "/")).startswith(b"HTTP/1.1 404")
        ready = await _until_served(ports["ready"], "/")
        assert not ready.startswith(b"HTTP/1.1 200")
        answer = await _until_served(ports["outbound"], "/a")
        assert answer.startswith(b"HTTP/1.1 503")
        process.send_signal(signal.SIGTERM)
        log, _ = await process.communicate()
        assert process.returncode == 0
        assert b"n1 started" in log
        assert b"n1 stopped" in log

    _run(scenario)


def test_metrics_port_in_use_does_not_stop_the_node(tmp_path: pathlib.Path):
    async def scenario() -> None:
        store = fakes.StoreServer()
        address = await store.start()
        ports = _free_ports()
        with socket.create_server((fakes.HOST, ports["metrics"])):
            process = await _start(tmp_path, ports, str(address))
            await _until_served(ports["outbound"], "/a")
            process.send_signal(signal.SIGTERM)
            log, _ = await process.communicate()
        assert process.returncode == 0
        assert b"no metrics at port" in log

    _run(scenario)


def test_invalid_metrics_port_is_reported():
    async def scenario() -> None:
        for text in ("x", "70000"):
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "trefoilwind.cmd.platform_node",
                "--metrics-port",
                text,
                cwd=_ROOT,
                stderr=asyncio.subprocess.PIPE,
            )
            _, error_output = await process.communicate()
            assert process.returncode == 2
            assert b"--metrics-port" in error_output

    _run(scenario)
