"""Nodes as processes, what surrounds them, and the faults of a plan."""

import asyncio
from collections.abc import Callable
import contextlib
import ctypes
import dataclasses
import itertools
import json
import math
import os
import pathlib
import random
import signal
import socket
import sys
from typing import Any

from tests.test_platform import fakes
from tests.test_soak import behind_proxy
from tests.test_soak import ledger as ledger_lib
from tests.test_soak import links as links_lib
from tests.test_soak import peers
from tests.test_soak import plan as plan_lib
from trefoilwind.platform import settings as settings_lib

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_FILE = """
[self]
node = "n{index}"
role = "node"
ip = "127.0.0.1"
zone = "{zone}"
region = "r"
app_addr = "127.0.0.1:{app}"
service = "{service}"
[network.listen]
inbound = "127.0.0.1:{inbound}"
outbound = "127.0.0.1:{outbound}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[platform.platform]
address = "{store}"
[terms.bounds]
grace_s = {grace_s}
budget_ratio = {budget_ratio}
strict_revoke = {strict_revoke}
revoke_s = {revoke_s}
"""
_PROGRAM = "trefoilwind.cmd.platform_node"
_PORTS = ("outbound", "ready", "control", "app", "inbound", "inner")
# Blocks of ports below those that the system gives to clients, which could
# take the port of a node that is away.
_BLOCKS = range(10000, 30000, 256)
# Option of prctl(2): the signal that follows the end of the parent.
_PR_SET_PDEATHSIG = 1
_START_S = 20.0
# Seconds in which a process loads its modules.
_BOOT_S = 2.0
_SETTLE_S = 2.0
# Seconds between two looks at the store's faults.
_STORE_INTERVAL_S = 0.1
# What a harmed link is like.
_HARM = {
    "slow": {"delay_s": 0.15},
    "throttle": {"bytes_per_s": 5e4},
    "cut": {"is_cut": True},
    "silence": {"is_cut": True},
}


def _child_of_soak(cores: int) -> Callable[[], None]:
    """Return what a new process does before it runs its program.

    Args:
        cores: Cores that it shares with the others; 0 for all.
    """

    def prepare() -> None:
        # The kernel kills it if the soak ends in any way.
        ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
        if cores:
            os.sched_setaffinity(0, sorted(os.sched_getaffinity(0))[:cores])

    return prepare


class Node:
    """A process of the program, which is restarted after each end."""

    def __init__(
        self,
        folder: pathlib.Path,
        index: int,
        fields: dict[str, Any],
        plan: plan_lib.Plan,
        ledger: ledger_lib.Ledger,
    ):
        self._cores = plan.cores
        self._fields = fields
        self._file = folder / f"n{index}.toml"
        self._log = (folder / f"n{index}.log").open("wb")
        has_proxy = plan.has_proxies
        self._module = behind_proxy.__name__ if has_proxy else _PROGRAM
        self._ledger = ledger
        self.history = ledger.nodes[index]
        self._loop = asyncio.get_running_loop()
        # Held while the process is being stopped, killed or frozen.
        self._lock = asyncio.Lock()
        self._process: asyncio.subprocess.Process | None = None
        self._is_ending = False
        self._boot_end = 0.0

    async def start(self) -> None:
        self._write_settings(budget_ratio=0.2)
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            self._module,
            cwd=_ROOT,
            env={
                "PATH": "",
                settings_lib.PATH_VARIABLE: str(self._file),
                behind_proxy.PORT_VARIABLE: str(self._fields["inner"]),
            },
            stdout=self._log,
            stderr=self._log,
            preexec_fn=_child_of_soak(self._cores),
        )
        self._boot_end = self._loop.time() + _BOOT_S
        self._is_ending = False
        self._watch = self._loop.create_task(self._watch_end(self._process))

    async def is_ready(self) -> bool:
        line = "GET /-/readiness"
        return await peers.call(self._fields["ready"], line) == 200

    async def _watch_end(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        expected = {0, -signal.SIGKILL} if self._is_ending else set()
        if self._is_ending and self._loop.time() < self._boot_end:
            # It does not handle signals yet.
            expected.add(-signal.SIGTERM)
        if code not in expected:
            detail = f"{self._file.stem} ended with {code}"
            self._ledger.break_promise("no end by itself", detail)
        if not self._is_ending:
            async with self._lock, self._unplanned():
                await self.start()

    async def stop(self, away_s: float) -> None:
        """Stop the process as planned and start it again."""
        async with self._lock:
            stop = ledger_lib.Stop(self._loop.time())
            self.history.stops.append(stop)
            self._is_ending = True
            self._send(signal.SIGTERM)
            try:
                async with asyncio.timeout(ledger_lib.GRACE_S):
                    await self._process.wait()
            except TimeoutError:
                self._ledger.counts["killed after the grace"] += 1
                await self.end()
            stop.gone = self._loop.time()
            await asyncio.sleep(away_s)
            stop.started = self._loop.time()
            await self.start()

    async def kill(self, away_s: float) -> None:
        """Kill the process and start it again."""
        async with self._lock, self._unplanned():
            await self.end()
            await asyncio.sleep(away_s)
            await self.start()

    async def freeze(self, seconds: float) -> None:
        async with self._lock, self._unplanned():
            self._send(signal.SIGSTOP)
            try:
                await asyncio.sleep(seconds)
            finally:
                self._send(signal.SIGCONT)

    @contextlib.asynccontextmanager
    async def _unplanned(self):
        started = self._loop.time()
        self.history.faults.append((started, math.inf))
        try:
            yield
        finally:
            self.history.faults.remove((started, math.inf))
            self.history.faults.append((started, self._loop.time()))

    async def reload(self, seconds: float) -> None:
        if not self._is_ending:
            self._write_settings(budget_ratio=seconds / 10)
            self.history.reloads.append(self._loop.time())
            self._send(signal.SIGHUP)

    async def term_again(self, seconds: float) -> None:
        """Repeat the signals of a stop that has begun."""
        if self._is_ending:
            self._send(signal.SIGTERM)
            self._send(signal.SIGHUP)

    def _write_settings(self, **changed: float) -> None:
        self._file.write_text(_FILE.format(**self._fields | changed))

    async def end(self) -> None:
        """Kill the process."""
        self._is_ending = True
        self._send(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    def _send(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)


class World:
    """Runs a plan and checks the promises."""

    def __init__(self, plan: plan_lib.Plan, folder: pathlib.Path):
        self._plan = plan
        self._folder = folder
        self._loop = asyncio.get_running_loop()
        self._store = fakes.StoreServer()
        self._version = 10
        self._withdrawn_keys: set[str] = set()
        self._nodes: list[Node] = []
        self._servers: list[peers.BackendServer] = []
        self._callers: list[peers.Caller] = []
        self._links = links_lib.Links(
            {f"n{index}": zone for index, zone in enumerate(plan.zones)},
            links_lib.Quality(plan.delay_s, plan.bytes_per_s),
        )
        self.ledger = ledger_lib.Ledger(plan.services)
        if plan.has_customers:
            self.ledger.customers = {
                key: row["name"]
                for row in peers.CUSTOMERS
                for key in row["api_keys"]
            }
            self.ledger.limits = {
                row["name"]: (row["rate_per_s"], row["burst"])
                for row in peers.CUSTOMERS
                if row["rate_per_s"]
            }

    async def run(self, seconds: float) -> None:
        try:
            with _block_of_ports() as first_port:
                await self._start(first_port)
                await self._run(seconds)
        finally:
            for server in self._servers:
                server.close()
            await asyncio.gather(*(node.end() for node in self._nodes))
            await self._links.close()

    async def _start(self, first_port: int) -> None:
        store = await self._store.start()
        await self._configure(plan_lib.Fault(0.0, "configure"))
        for index, service in enumerate(self._plan.services):
            numbers = itertools.count(first_port + index * len(_PORTS))
            fields = dict(zip(_PORTS, numbers, strict=False))
            if self._plan.has_proxies:
                await self._links.listen(
                    f"n{index}", fields["inbound"], fields["inner"]
                )
            server = peers.BackendServer(index, fields, service, self.ledger)
            self._servers.append(server)
            await server.start()
            fields |= {"index": index, "service": service, "store": store}
            fields |= {"zone": self._plan.zones[index]}
            fields |= {"grace_s": ledger_lib.GRACE_S}
            fields |= {"strict_revoke": str(self._plan.has_customers).lower()}
            fields |= {"revoke_s": ledger_lib.REVOKE_S}
            node = Node(self._folder, index, fields, self._plan, self.ledger)
            self._nodes.append(node)
            await node.start()
            self._callers += [
                peers.Caller(
                    f"{self._plan.seed}-{index}-{number}",
                    index,
                    fields["outbound"],
                    habit,
                    self.ledger,
                    peers.KEYS if self._plan.has_customers else ("",),
                )
                for number, habit in enumerate(peers.HABITS[self._plan.habits])
            ]
            if self._plan.has_flood:
                self._callers.append(
                    peers.Caller(
                        f"{self._plan.seed}-{index}-flood",
                        index,
                        fields["outbound"],
                        peers.FLOOD,
                        self.ledger,
                        (peers.FLOOD_KEY,),
                    )
                )
        async with asyncio.timeout(_START_S):
            for node in self._nodes:
                while not await node.is_ready():
                    await asyncio.sleep(0.1)

    async def _run(self, seconds: float) -> None:
        watch = self._loop.create_task(self.ledger.measure_delays())
        watch_store = self._loop.create_task(self._watch_store())
        async with asyncio.TaskGroup() as group:
            for caller in self._callers:
                group.create_task(caller.run())
            await self._carry_out(seconds)
            await asyncio.sleep(ledger_lib.RECOVERY_S)
            ended = self._loop.time()
            for caller in self._callers:
                caller.is_ending = True
        await asyncio.sleep(_SETTLE_S)
        watch.cancel()
        watch_store.cancel()
        self.ledger.check_end(ended)

    async def _carry_out(self, seconds: float) -> None:
        """Carry out the plan; ends when all nodes are running again."""
        started = self._loop.time()
        async with asyncio.TaskGroup() as group:
            for fault in self._plan.faults:
                await asyncio.sleep(started + fault.at - self._loop.time())
                group.create_task(self._begin(fault))
            await asyncio.sleep(started + seconds - self._loop.time())

    async def _begin(self, fault: plan_lib.Fault) -> None:
        own = {
            "configure": self._configure,
            "withdraw": self._withdraw,
            "evacuate": self._evacuate,
            "refuse": self._refuse,
            "harm": self._harm,
            "harm_store": self._harm_store,
            "load": self._load,
        }
        if fault.kind in own:
            await own[fault.kind](fault)
            return
        is_server = hasattr(peers.BackendServer, fault.kind)
        targets = self._servers if is_server else self._nodes
        await asyncio.gather(
            *(
                getattr(targets[index], fault.kind)(fault.seconds)
                for index in fault.nodes
            )
        )

    async def _refuse(self, fault: plan_lib.Fault) -> None:
        self._store.answers += [503] * int(10 * fault.seconds)

    async def _harm_store(self, fault: plan_lib.Fault) -> None:
        """Refuse calls, leave them unanswered, or answer them late."""
        if fault.how == "refuse":
            await self._refuse(fault)
            return
        self._store.delay_s = 0.5 if fault.how == "slow" else math.inf
        await asyncio.sleep(fault.seconds)
        self._store.delay_s = 0.0

    async def _load(self, fault: plan_lib.Fault) -> None:
        """Run busy processes on the cores of the nodes."""
        processes = [
            await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                "while True: pass",
                preexec_fn=_child_of_soak(self._plan.cores),
            )
            for _ in fault.nodes
        ]
        try:
            await asyncio.sleep(fault.seconds)
        finally:
            for process in processes:
                process.kill()
                await process.wait()

    async def _harm(self, fault: plan_lib.Fault) -> None:
        """Harm the links of one node, or those between two nodes."""
        first, *others = fault.nodes
        others = others or set(range(len(self._nodes))) - {first}
        keys = [(f"n{first}", f"n{other}") for other in others]
        if fault.how != "cut":
            keys += [key[::-1] for key in keys]
        now = self._loop.time()
        for index in (first, *others):
            span = (now, now + fault.seconds)
            self.ledger.nodes[index].faults.append(span)
        if fault.how == "reset":
            for key in keys:
                self._links.reset(key)
        for key in keys:
            self._links.quality[key] = dataclasses.replace(
                self._links.quality[key], **_HARM.get(fault.how, {})
            )
        await asyncio.sleep(fault.seconds)
        for key in keys:
            self._links.quality[key] = self._links.sound(key)

    async def _watch_store(self) -> None:
        """Record when the store has faults."""
        while True:
            if self._store.answers or self._store.delay_s:
                now = self._loop.time()
                span = (now - _STORE_INTERVAL_S, now + _STORE_INTERVAL_S)
                self.ledger.store.faults.append(span)
            await asyncio.sleep(_STORE_INTERVAL_S)

    async def _evacuate(self, fault: plan_lib.Fault) -> None:
        """Evacuate a data centre and take it back."""
        key = f"evacuate/{fault.how}".encode()
        self._store.append("op", key, b"{}")
        now = self._loop.time()
        try:
            await asyncio.sleep(fault.seconds)
        finally:
            span = (now, self._loop.time())
            self._store.append("op", key, b"")
            for index, zone in enumerate(self._plan.zones):
                if zone == fault.how:
                    self.ledger.nodes[index].evacuations.append(span)

    async def _withdraw(self, fault: plan_lib.Fault) -> None:
        """Withdraw a key by a new configuration."""
        self._withdrawn_keys.add(peers.WITHDRAWN_KEY)
        await self._configure(fault)
        now = self._loop.time()
        self.ledger.withdrawn[peers.WITHDRAWN_KEY] = now

    def _customers(self) -> list[dict[str, Any]]:
        return [
            row
            | {"api_keys": sorted({*row["api_keys"]} - self._withdrawn_keys)}
            for row in peers.CUSTOMERS
        ]

    async def _configure(self, fault: plan_lib.Fault) -> None:
        rng = random.Random(f"configuration {self._plan.seed} {fault.at}")
        self._version += rng.randint(1, 5)
        weight = rng.randint(10, 90)
        both = {"a": weight, "b": 100 - weight}
        timeouts = peers.TIMEOUTS_S[self._plan.habits]
        routes = [
            ("safe", "safe", timeouts["safe"], both),
            ("order", "unsafe", timeouts["order"], {"a": 1}),
            ("upload", "upload", timeouts["upload"], {"b": 1}),
        ]
        if self._plan.habits == peers.SHORT:
            routes.append(("nested", "safe", 0.25, {"b": 1}))
        if rng.random() < 0.5:
            routes.append((f"r{self._version}", "safe", 1.0, both))
        rows = [
            {
                "name": name,
                "host": peers.HOST,
                "path_prefix": f"/{name}/",
                "kind": kind,
                "timeout_s": timeout_s,
                "target_latency_s": timeout_s / 3,
                "priority": 1,
                "max_attempts": 3,
                "backends": [
                    {"service": service, "weight": share}
                    for service, share in shares.items()
                ],
            }
            for name, kind, timeout_s, shares in routes
        ]
        services = [{"name": name, "max_conns": 200} for name in "ab"]
        document = {
            "version": self._version,
            "routes": _table(rows),
            "services": _table(services),
        }
        if self._plan.has_customers:
            document["tenants"] = _table(self._customers())
        self.ledger.configured.append(self._loop.time())
        self._store.append("op", b"config", json.dumps(document).encode())


def _table(rows: list[dict[str, Any]]) -> dict[str, list]:
    return {
        "columns": list(rows[0]),
        "rows": [list(row.values()) for row in rows],
    }


@contextlib.contextmanager
def _block_of_ports():
    """Yield the first port of a free block, which no other soak gets."""
    for start in _BLOCKS:
        with contextlib.ExitStack() as stack:
            try:
                for port in range(start, start + _BLOCKS.step):
                    sock = socket.create_server((fakes.HOST, port))
                    if port == start:
                        stack.enter_context(sock)
                    else:
                        sock.close()
            except OSError:
                continue
            yield start + 1
            return
    raise OSError("no free block of ports")
