"""Shares of the slots of a backend server by customer and by kind of call.

Handles a customer at several times its usual load and a kind of work that an
order by value would starve. State is bounded by the customers and kinds that
asked within the last seconds. Performs no I/O; the time is passed in.
"""

import dataclasses

# Time in seconds after which a request counts half. A server of 3 slots sees
# about 10 calls a second, so shorter times measure chance.
HALF_LIFE_S = 6.0
# Largest number of customers or kinds with state; the least active are dropped.
MAX_TRACKED = 512
# Lower bound of the factor on the value of a customer above its share. Above
# the ratio of two ranks, so that fairness does not change the order of ranks.
MIN_FACTOR = 0.62
# A party that is served less often than this, relative to all, goes first.
# Callers require a quarter; the rest is room for the delay of the figures.
FLOOR_SHARE = 0.12
# Factor on the value of such a party.
FLOOR_FACTOR = 4.0
# Requests in the figures below which no party is judged.
_MIN_ASKED = 4.0


@dataclasses.dataclass(slots=True)
class _Counts:
    asked: float = 0.0
    started: float = 0.0
    used_s: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> None:
        """Reduce the counts to a time in seconds."""
        if now > self.at:
            factor = 0.5 ** ((now - self.at) / HALF_LIFE_S)
            self.asked *= factor
            self.started *= factor
            self.used_s *= factor
            self.at = now


class FairShare:
    """Decaying counts of what customers or kinds asked and got."""

    def __init__(self):
        self._total = _Counts()
        self._parties: dict[str, _Counts] = {}

    def __len__(self) -> int:
        return len(self._parties)

    def record_asked(self, party: str, now: float) -> None:
        """Record a request at a monotonic time in seconds."""
        for counts in (self._total, self._found(party, now)):
            counts.decay(now)
            counts.asked += 1.0

    def record_started(self, party: str, service_s: float, now: float) -> None:
        """Record a start with its expected seconds in a slot."""
        for counts in (self._total, self._found(party, now)):
            counts.decay(now)
            counts.started += 1.0
            counts.used_s += service_s

    def share_factor(self, party: str, now: float) -> float:
        """Return the factor on the value of a call of a customer.

        1 up to an equal share of the slot time, then falling with the root of
        the excess down to `MIN_FACTOR`.
        """
        counts = self._parties.get(party)
        if counts is None or len(self._parties) < 2:
            return 1.0
        counts.decay(now)
        self._total.decay(now)
        if counts.started < _MIN_ASKED:
            return 1.0
        own = counts.used_s / max(self._total.used_s, 1e-9)
        excess = own * len(self._parties)
        return 1.0 if excess <= 1.0 else max(MIN_FACTOR, excess**-0.5)

    def floor_factor(self, party: str, now: float) -> float:
        """Return `FLOOR_FACTOR` for a party served far less than all."""
        counts = self._parties.get(party)
        if counts is None:
            return 1.0
        counts.decay(now)
        self._total.decay(now)
        if counts.asked < _MIN_ASKED:
            return 1.0
        own = counts.started / counts.asked
        overall = self._total.started / self._total.asked
        return FLOOR_FACTOR if own < FLOOR_SHARE * overall else 1.0

    def _found(self, party: str, now: float) -> _Counts:
        counts = self._parties.get(party)
        if counts is None:
            if len(self._parties) >= MAX_TRACKED:
                self._drop_idle(now)
            counts = _Counts(at=now)
            self._parties[party] = counts
        return counts

    def _drop_idle(self, now: float) -> None:
        for counts in self._parties.values():
            counts.decay(now)
        kept = sorted(self._parties.items(), key=lambda each: -each[1].asked)
        self._parties = dict(kept[: MAX_TRACKED // 2])
