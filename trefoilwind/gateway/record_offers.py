"""Records that peers offered and this node lacks, and requests for them."""

from trefoilwind.gateway import control_messages

# Seconds for which an answer to a request is awaited.
REQUEST_TIMEOUT_S = 0.8
# Seconds from the first offer of a record after which a node that lacks it asks
# any node of its data centre.
OVERDUE_S = 0.6


class RecordOffers:
    """Decides which request to send; all times are monotonic, in seconds."""

    def __init__(self) -> None:
        self._offset = 0
        self._peer = ""
        # Time at which this node fell behind; None while it is not.
        self._behind_since: float | None = None
        # Time until which an answer is awaited; 0 for none.
        self._request_deadline = 0.0
        self._requested_whole = False

    @property
    def peer(self) -> str:
        """Node that made the newest offer; empty if there was none."""
        return self._peer

    def note(
        self, peer: str, next_offset: int, own_offset: int | None, now: float
    ) -> bool:
        """Note an offer; return True if this node lacks any of its records.

        Args:
            peer: Node that offers its records.
            next_offset: Offset up to which that node has the topic.
            own_offset: Offset up to which this node has it; None for none.
            now: Current time.
        """
        if next_offset >= self._offset:
            self._offset = next_offset
            self._peer = peer
        if not _is_behind(own_offset, next_offset):
            return False
        if self._behind_since is None:
            self._behind_since = now
        return True

    def is_open(self, own_offset: int | None) -> bool:
        """Return True if this node lacks records of the newest offer."""
        return _is_behind(own_offset, self._offset)

    def is_overdue(self, own_offset: int | None, now: float) -> bool:
        """Return True if records that were offered long ago are missing."""
        if self._behind_since is None:
            return False
        if not self.is_open(own_offset):
            self._behind_since = None
            return False
        return now - self._behind_since > OVERDUE_S

    def request(
        self, last_offset: int, now: float
    ) -> (
        control_messages.RecordsRequest | control_messages.DeltasRequest | None
    ):
        """Return the request for an offer, or None while one is awaited.

        Args:
            last_offset: Largest offset of a record of this node.
            now: Current time.
        """
        if now < self._request_deadline:
            return None
        # A peer that does not know requests for deltas leaves them unanswered.
        if self._request_deadline > 0:
            return self._whole_request(last_offset, now)
        self._request_deadline = now + REQUEST_TIMEOUT_S
        return control_messages.DeltasRequest(last_offset)

    def retry_whole(
        self, last_offset: int, now: float
    ) -> control_messages.RecordsRequest | None:
        """Return the request after an answer that could not be applied.

        Args:
            last_offset: Largest offset of a record of this node.
            now: Current time.

        Returns:
            A request for whole records, or None if these were requested.
        """
        if self._requested_whole:
            self._end_request()
            return None
        return self._whole_request(last_offset, now)

    def handle_applied(self) -> None:
        """Note that the records of an answer were applied."""
        self._end_request()
        self._behind_since = None

    def _end_request(self) -> None:
        self._request_deadline = 0.0
        self._requested_whole = False

    def _whole_request(
        self, last_offset: int, now: float
    ) -> control_messages.RecordsRequest:
        self._request_deadline = now + REQUEST_TIMEOUT_S
        self._requested_whole = True
        return control_messages.RecordsRequest(last_offset)


def _is_behind(own_offset: int | None, next_offset: int) -> bool:
    return own_offset is None or own_offset < next_offset
