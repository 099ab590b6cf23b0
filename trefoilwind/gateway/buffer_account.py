"""Account of the bytes that a process buffers for callers and peers.

Answers one load pattern: a crowd that begins many large bodies, or reads no
answers, and ends none of them. A node then ran out of memory, as each body was
bounded but not their sum. Ordinary requests stay below `SMALL_BYTES` and have a
reserve that larger ones cannot use.

The decisions take times as arguments and need no network.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum

# Memory of a process that buffers nothing: 35 to 39 MB were measured.
BASE_BYTES = 50_000_000
# Largest reserve for small requests, and its largest share of the memory that
# is left for buffers.
MAX_RESERVE_BYTES = 8_000_000
RESERVE_SHARE = 1 / 8
# Buffers of the smallest process, which has less memory than it needs.
MIN_BYTES = 4_000_000
# Size up to which a request may use the reserve: twice an upload of 60 KB.
SMALL_BYTES = 128 * 1024
# Step in which the share of a body of unknown length grows.
STEP_BYTES = 64 * 1024
# Bytes that the event loop reads at once, which a paused connection may hold.
READ_BYTES = 256 * 1024
# Memory of a connection: twice a head of 16 KB, buffers and objects.
CONNECTION_BYTES = 64 * 1024
# Share of the descriptors for callers; the rest is for peers, store and health.
CALLER_DESCRIPTORS = 0.5
# Seconds for which a request waits for room before it is refused; within the
# 3 s of a head.
MAX_WAIT_S = 2.0
# Rate of arrival of a body in bytes per second, and seconds from which on it
# applies. A caller on a link of 5 Mbit/s that ten share sends 60 KB/s.
MIN_RATE = 4096
RATE_GRACE_S = 10.0
# The same while others wait for room, and the longest silence then.
SHORT_MIN_RATE = 16 * 1024
SHORT_GRACE_S = 1.0
SHORT_SILENCE_S = 0.5


@enum.unique
class Verdict(enum.Enum):
    """Decision on a share.

    GRANTED ones may go on, WAITING ones pause until there is room. NO_ROOM and
    TOO_SLOW ones are refused; UNREAD ones are answers that are not read, whose
    connection is closed.
    """

    GRANTED = enum.auto()
    WAITING = enum.auto()
    NO_ROOM = enum.auto()
    TOO_SLOW = enum.auto()
    UNREAD = enum.auto()


@dataclasses.dataclass(frozen=True)
class Terms:
    """Sizes of an account.

    Attributes:
        large_bytes: Bytes of all requests together.
        reserve_bytes: Further bytes for small requests.
        max_waiting: Requests that may wait for room.
        max_connections: Connections of callers.
    """

    large_bytes: int
    reserve_bytes: int
    max_waiting: int
    max_connections: int


def terms(memory_bytes: int, descriptors: int) -> Terms:
    """Return the sizes for a process.

    Half of the memory is for the copy that exists while a body is completed.

    Args:
        memory_bytes: Memory that the process may use.
        descriptors: File descriptors that it may open.
    """
    left = max(MIN_BYTES, memory_bytes - BASE_BYTES)
    reserve = int(min(MAX_RESERVE_BYTES, left * RESERVE_SHARE))
    return Terms(
        large_bytes=(left - reserve) // 2,
        reserve_bytes=reserve,
        max_waiting=max(2, reserve // (2 * READ_BYTES)),
        max_connections=max(
            8,
            min(
                int(descriptors * CALLER_DESCRIPTORS), left // CONNECTION_BYTES
            ),
        ),
    )


@dataclasses.dataclass(eq=False, slots=True)
class Share:
    """Bytes that one request or answer occupies.

    Attributes:
        settle: Called with the decision on a share that waits or arrives.
        reserved: Bytes that it may occupy.
        needed: Bytes for which it waits.
        received: Bytes that have arrived, or been read by the caller.
        started: Time in seconds at which it began to arrive, later by the time
            for which its reading was paused.
        progressed: Time in seconds of the last byte.
        is_arriving: True if its rate counts.
        is_answer: True for an answer that a caller has not read.
    """

    settle: Callable[[Verdict], None]
    reserved: int = 0
    needed: int = 0
    received: int = 0
    started: float = 0.0
    progressed: float = 0.0
    is_arriving: bool = False
    is_answer: bool = False

    def begin(self, now: float) -> None:
        """Start to measure the rate of arrival."""
        self.is_arriving = True
        self.started = self.progressed = now

    def advance(self, count: int, now: float) -> None:
        """Note bytes that have arrived or been read."""
        self.received += count
        self.progressed = now

    def is_below(self, rate: float, grace_s: float, now: float) -> bool:
        """Return True if it makes less progress than a rate after a time."""
        elapsed_s = now - self.started
        return elapsed_s > grace_s and self.received < rate * (
            elapsed_s - grace_s
        )


class BufferAccount:
    """Grants shares of the memory and decides who is refused when it is short.

    A caller of `request` pauses while its share waits.
    """

    def __init__(self, account_terms: Terms):
        self._terms = account_terms
        self._shares: set[Share] = set()
        # Waiting shares and the time since which they wait, oldest first.
        self._waiting: dict[Share, float] = {}
        self._used = 0
        self._refused = dict.fromkeys(Verdict, 0)

    @property
    def account_terms(self) -> Terms:
        """Sizes of the account."""
        return self._terms

    @property
    def used_bytes(self) -> int:
        """Bytes of all shares."""
        return self._used

    @property
    def waiting(self) -> int:
        """Number of shares that wait for room."""
        return len(self._waiting)

    @property
    def refused(self) -> int:
        """Number of shares refused or closed so far."""
        return sum(self._refused.values())

    def request(self, share: Share, total: int, now: float) -> Verdict:
        """Let a share grow to a size, or wait for it.

        Args:
            share: The share.
            total: Bytes that it is to have.
            now: Time in seconds.

        Returns:
            GRANTED, WAITING or NO_ROOM.
        """
        if total <= share.reserved:
            return Verdict.GRANTED
        if share in self._waiting:
            share.needed = max(share.needed, total)
            return Verdict.WAITING
        if self._has_room(share, total):
            self._reserve(share, total)
            return Verdict.GRANTED
        is_possible = total <= self._terms.large_bytes
        if not is_possible or not self._may_wait(total - share.reserved):
            self._refused[Verdict.NO_ROOM] += 1
            return Verdict.NO_ROOM
        share.needed = total
        self._waiting[share] = now
        return Verdict.WAITING

    def try_request(self, share: Share, total: int) -> bool:
        """Let a share grow to a size; return False if there is no room."""
        if total <= share.reserved:
            return True
        has_room = self._has_room(share, total)
        if has_room:
            self._reserve(share, total)
        else:
            self._refused[Verdict.NO_ROOM] += 1
        return has_room

    def resize(self, share: Share, total: int, now: float) -> None:
        """Set the size of a share, also beyond what there is room for."""
        self._waiting.pop(share, None)
        has_shrunk = total < share.reserved
        self._reserve(share, total)
        if has_shrunk:
            self.grant_waiting(now)

    def release(self, share: Share, now: float) -> None:
        """End a share and grant what others wait for."""
        self._drop(share)
        self.grant_waiting(now)

    def grant_waiting(self, now: float) -> None:
        """Grant shares that wait: those that need least go first."""
        for share in sorted(self._waiting, key=_missing):
            if not self._has_room(share, share.needed):
                continue
            paused_s = now - self._waiting.pop(share)
            share.started += paused_s
            share.progressed = now
            self._reserve(share, share.needed)
            share.settle(Verdict.GRANTED)

    def check(self, now: float) -> None:
        """Refuse what arrives too slowly or has waited for too long.

        To be called every few tenths of a second.
        """
        for share, verdict in self.judge(now):
            self._refused[verdict] += 1
            self._drop(share)
            share.settle(verdict)
        self.grant_waiting(now)

    def judge(self, now: float) -> list[tuple[Share, Verdict]]:
        """Return the shares to refuse."""
        refused: dict[Share, Verdict] = {}
        arriving = [
            share
            for share in self._shares
            if share.is_arriving and share not in self._waiting
        ]
        for share in arriving:
            if not share.is_answer and share.is_below(
                MIN_RATE, RATE_GRACE_S, now
            ):
                refused[share] = Verdict.TOO_SLOW
        is_over = self._used > self._terms.large_bytes
        if self._waiting or is_over:
            # Small requests give up their room for small ones only.
            is_small_short = any(
                share.needed <= SMALL_BYTES for share in self._waiting
            )
            stalled = [
                share
                for share in arriving
                if share not in refused
                and (is_small_short or share.reserved > SMALL_BYTES)
                and _is_stalled(share, now)
            ]
            missing = sum(map(_missing, self._waiting))
            missing += max(0, self._used - self._terms.large_bytes)
            refused |= _least_progress(stalled, missing)
        for share, since in self._waiting.items():
            if now - since >= MAX_WAIT_S:
                refused[share] = Verdict.NO_ROOM
        if not refused and self._waiting:
            refused |= self._deadlocked()
        return list(refused.items())

    def _deadlocked(self) -> dict[Share, Verdict]:
        """Return the share to refuse if all that hold bytes wait for more."""
        others = self._shares - self._waiting.keys()
        if any(share.reserved > SMALL_BYTES for share in others):
            return {}
        holding = [share for share in self._waiting if share.reserved]
        if not holding:
            return {}
        least = min(holding, key=lambda share: share.received)
        return {least: Verdict.NO_ROOM}

    def _has_room(self, share: Share, total: int) -> bool:
        limit = self._terms.large_bytes
        if total <= SMALL_BYTES:
            limit += self._terms.reserve_bytes
        return self._used + total - share.reserved <= limit

    def _may_wait(self, missing: int) -> bool:
        """Return True if a share may wait, also in place of one for more."""
        if len(self._waiting) < self._terms.max_waiting:
            return True
        most = max(self._waiting, key=_missing)
        if _missing(most) <= missing:
            return False
        self._refused[Verdict.NO_ROOM] += 1
        self._drop(most)
        most.settle(Verdict.NO_ROOM)
        return True

    def _reserve(self, share: Share, total: int) -> None:
        self._used += total - share.reserved
        share.reserved = total
        self._shares.add(share)

    def _drop(self, share: Share) -> None:
        self._used -= share.reserved
        share.reserved = 0
        share.is_arriving = False
        self._shares.discard(share)
        self._waiting.pop(share, None)


def _missing(share: Share) -> int:
    return share.needed - share.reserved


def _is_stalled(share: Share, now: float) -> bool:
    """Return True if a share makes too little progress while others wait."""
    if now - share.progressed >= SHORT_SILENCE_S:
        return True
    return share.is_below(SHORT_MIN_RATE, SHORT_GRACE_S, now)


def _least_progress(
    stalled: Iterable[Share], missing: int
) -> dict[Share, Verdict]:
    """Return the shares longest without a byte until enough is free."""
    refused = {}
    for share in sorted(stalled, key=lambda each: each.progressed):
        if missing <= 0:
            break
        missing -= share.reserved
        is_answer = share.is_answer
        refused[share] = Verdict.UNREAD if is_answer else Verdict.TOO_SLOW
    return refused
