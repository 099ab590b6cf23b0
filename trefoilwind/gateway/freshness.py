"""Age of the knowledge that a node has the newest operator records.

A wait for a record that is never answered looks like one in which nothing is
written. Only an answer of the store, to this node or to a peer, shows that a
node is not behind.
"""

# Seconds without confirmation after which a node may be behind.
CONFIRMATION_TIMEOUT_S = 2.0


class Freshness:
    """Time at which this node was last known to have the newest records.

    All times are monotonic, in seconds.
    """

    def __init__(self, now: float):
        """Initialize the state of a node that has no records.

        Args:
            now: Current time.
        """
        self._confirmed_at = now
        # Latest read of this node or a peer: its time, and the end of the topic
        # that it found.
        self._read_at = now
        self._read_offset = 0
        self._is_reported = False

    def note_read(
        self, next_offset: int, own_offset: int | None, now: float
    ) -> None:
        """Note a read of this node or of a peer.

        Args:
            next_offset: Offset up to which the reader has the topic.
            own_offset: Offset up to which this node has it; None for none.
            now: Current time.
        """
        if next_offset >= self._read_offset:
            self._read_offset = next_offset
            self._read_at = now
        self.note_offset(own_offset)

    def note_offset(self, own_offset: int | None) -> None:
        """Note that this node has received records.

        Args:
            own_offset: Offset up to which it has the topic; None for none.
        """
        if own_offset is not None and own_offset >= self._read_offset:
            self._confirmed_at = self._read_at

    def age_s(self, now: float) -> float:
        """Return the seconds since the last confirmation.

        Args:
            now: Current time.
        """
        return now - self._confirmed_at

    def is_stale(self, now: float) -> bool:
        """Return True if this node may be behind.

        Args:
            now: Current time.
        """
        return self.age_s(now) > CONFIRMATION_TIMEOUT_S

    def take_change(self, now: float) -> bool:
        """Return True once each time that the records get stale, or fresh.

        Args:
            now: Current time.
        """
        if self.is_stale(now) == self._is_reported:
            return False
        self._is_reported = not self._is_reported
        return True
