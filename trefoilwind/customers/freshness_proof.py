"""Time as of which a node's operator records are known to be the newest.

A node that is frozen, cut off or given outdated records can't tell that from
the time at which it received them. A proof therefore counts from a time before
the store was asked, on a clock of this machine that counts suspension.
"""

import dataclasses
import math
import time

from trefoilwind.model import positions

# Proofs of peers that wait for records; later ones are worth more.
MAX_PENDING = 16


def boot_time() -> float:
    """Return the seconds since the machine's start, with its suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """Operator records of a node.

    Attributes:
        offset: Position up to which it has all records; None if unknown.
        version: Version of its configuration in force; 0 for none.
    """

    offset: int | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerProof:
    """Proof of a peer, on the clock of this machine.

    Attributes:
        proven_at: Time in seconds as of which the peer had the newest records.
        held: Records of the peer.
    """

    proven_at: float
    held: Held


class FreshnessProof:
    """The latest proof of this process; it begins with none."""

    def __init__(self) -> None:
        self._proven_at = -math.inf
        self._pending: list[PeerProof] = []
        # Version that a peer has and the records of the store lack.
        self._lost_version = 0
        self._has_peer_proof = False

    @property
    def proven_at(self) -> float:
        """Time in seconds as of which the records were the newest ones."""
        return self._proven_at

    @property
    def has_peer_proof(self) -> bool:
        """True once the records were compared with those of a peer."""
        return self._has_peer_proof

    def lacks_version(self, held: Held) -> bool:
        """Return True if a restored store has lost a newer configuration.

        Args:
            held: Records of this node.
        """
        return held.version < self._lost_version

    def note_read(self, started: float) -> None:
        """Note a complete read of the store whose records were applied.

        Args:
            started: Time in seconds at which it was started.
        """
        self._proven_at = max(self._proven_at, started)

    def note_peer(self, proof: PeerProof, held: Held) -> None:
        """Note the proof of a peer, valid once this node has its records.

        Args:
            proof: Proof of the peer.
            held: Records of this node.
        """
        self._pending.append(proof)
        del self._pending[:-MAX_PENDING]
        self.note_records(held)

    def note_records(self, held: Held) -> None:
        """Use the proofs whose records have arrived.

        Args:
            held: Records of this node.
        """
        waiting = []
        for proof in self._pending:
            if held.offset is None or proof.held.offset > held.offset:
                waiting.append(proof)
            elif not _is_of_same_era(proof.held.offset, held.offset):
                # The peer does not know that the store was restored.
                continue
            elif held.version < proof.held.version:
                if not positions.era(held.offset):
                    # Pages of the newest records may hold later ones, so a
                    # peer may have records beyond its offset.
                    waiting.append(proof)
                    continue
                self._lost_version = max(self._lost_version, proof.held.version)
            else:
                self._has_peer_proof = True
                self._proven_at = max(self._proven_at, proof.proven_at)
        self._pending = waiting


def _is_of_same_era(one: int, other: int) -> bool:
    return positions.era(one) == positions.era(other)
