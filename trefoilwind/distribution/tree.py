"""Broadcast tree over the links of a node.

Messages flow on eager links. A link that brought something known already is
made lazy on both sides, so that the eager links settle as a spanning tree. A
lazy link carries digests only and becomes eager when a digest showed a gap.
"""

from collections.abc import Iterable

PRUNE_INTERVAL_S = 0.2


class Tree:
    """Which links of this node are lazy for one kind of message."""

    def __init__(self) -> None:
        self._lazy: set[str] = set()
        self._next_prune = 0.0

    def eager(self, links: Iterable[str], exclude: str = "") -> list[str]:
        """Return the links that carry messages, sorted."""
        return sorted(x for x in links if x not in self._lazy and x != exclude)

    def lazy(self, links: Iterable[str], exclude: str = "") -> list[str]:
        """Return the links that carry digests only, sorted."""
        return sorted(x for x in links if x in self._lazy and x != exclude)

    def prune(self, peer: str, links: Iterable[str], now: float) -> bool:
        """Make a link lazy; return False if it must stay eager.

        Args:
            peer: Peer whose message was a repeat.
            links: All links of this node.
            now: Monotonic time in seconds.
        """
        if peer in self._lazy or now < self._next_prune:
            return False
        if not self.eager(links, exclude=peer):
            return False
        # Several prunes at once could cut all the edges of one cycle.
        self._next_prune = now + PRUNE_INTERVAL_S
        self._lazy.add(peer)
        return True

    def set_eager(self, peer: str, is_eager: bool) -> None:
        """Set the kind of a link as the peer asked."""
        if is_eager:
            self._lazy.discard(peer)
        else:
            self._lazy.add(peer)

    def is_cut_off(self, links: Iterable[str]) -> bool:
        """Return True if all of the links are lazy."""
        links = tuple(links)
        return bool(links) and not self.eager(links)
