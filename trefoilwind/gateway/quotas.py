"""Quotas of customers at a node on the event loop."""

import asyncio
from collections.abc import Callable
import os
import pathlib
import time

from trefoilwind.customers import quota_exchange
from trefoilwind.customers import quota_limits
from trefoilwind.customers import quota_messages
from trefoilwind.gateway import node_settings
from trefoilwind.gateway import peers as peers_lib
from trefoilwind.gateway import spreading as spreading_lib
from trefoilwind.gateway import streams
from trefoilwind.membership import directory
from trefoilwind.model import mesh
from trefoilwind.telemetry import counts as counts_lib

MESSAGES = quota_messages.MESSAGES
# Place of the start time among the fields behind the command, see proc(5).
_START_FIELD = 19


def _now() -> float:
    """Return the time in seconds on a clock that counts suspension.

    The event loop's time stands still while the machine is suspended, and
    during one iteration: loans and promises would last longer than given.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def process_started() -> float:
    """Return the time in seconds of the start of this process.

    It is on the clock of the quotas. Promises of an earlier process end a fixed
    time after it, so the time that the imports take need not be waited again.
    """
    try:
        stat = pathlib.Path("/proc/self/stat").read_text()
        ticks = int(stat.rpartition(")")[2].split()[_START_FIELD])
    except (OSError, ValueError, IndexError):
        return _now()
    return min(_now(), ticks / os.sysconf("SC_CLK_TCK"))


class Quotas:
    """Tokens for the calls of customers that have a limit."""

    def __init__(
        self,
        settings: node_settings.MeshSettings,
        incarnation: int,
        members: Callable[[], directory.Snapshot],
        peers: peers_lib.Peers,
        spreading: spreading_lib.Spreading,
        counts: counts_lib.MeshCounts,
    ):
        self._peers = peers
        self._spreading = spreading
        self._counts = counts
        self._loop = asyncio.get_running_loop()
        terms = settings.customers
        self._exchange = quota_exchange.Exchange(
            settings.node_id,
            incarnation,
            quota_limits.QuotaTerms(
                terms.quota_overage, terms.quota_slack, terms.quota_window_s
            ),
            quota_exchange.Ports(
                _now,
                self._loop.call_later,
                self._send,
                self._is_alive,
                members,
            ),
            process_started(),
        )

    @property
    def tokens_lent(self) -> int:
        """Tokens that this node has lent as an owner and that may be held."""
        return self._exchange.tokens_lent

    @property
    def customers_active(self) -> int:
        """Customers with a limit that are at work at this node."""
        return self._exchange.customers_active

    def set_customers(self, customers: tuple[mesh.Customer, ...]) -> None:
        """Apply the customers of a configuration."""
        self._exchange.set_customers(customers)

    def close(self) -> None:
        """Stop all timers."""
        self._exchange.set_customers(())

    def is_limited(self, customer: str) -> bool:
        """Return True if the calls of a customer have a limit."""
        return self._exchange.is_limited(customer)

    async def take(self, customer: str, now: float) -> float | None:
        """Take a token; waits `quota_exchange.WAIT_S` seconds at most.

        Args:
            customer: Name of a customer.
            now: Event loop time in seconds.

        Returns:
            None if the call may be run, else the seconds until a retry may be
            accepted.
        """
        if not self._exchange.is_limited(customer):
            return None
        future: asyncio.Future[float | None] = self._loop.create_future()

        def resolve(retry_s: float | None) -> None:
            if not future.done():
                future.set_result(retry_s)
            elif retry_s is None:
                # The caller has closed its connection meanwhile.
                self._exchange.give_back(customer)

        self._exchange.take(customer, resolve)
        retry_s = await future
        if retry_s is not None:
            self._counts.quota_refused(customer)
        return retry_s

    def preview(self, customer: str) -> tuple[bool, float | None]:
        """Return what `take` would do, as `Exchange.preview` does."""
        return self._exchange.preview(customer)

    def give_back(self, customer: str, now: float) -> None:
        """Return the token of a call that has certainly not run.

        Args:
            customer: Name of the customer.
            now: Event loop time in seconds.
        """
        self._exchange.give_back(customer)

    def handle_message(self, stream: streams.Stream, message: object) -> None:
        """Handle a message of another node."""
        self._exchange.handle_message(stream.peer, message)

    def _send(self, node_id: str, message: object) -> None:
        self._spreading.send_to((node_id,), message)

    def _is_alive(self, node_id: str) -> bool:
        stream = self._peers.dialed(node_id)
        return stream is not None and not stream.is_unresponsive
