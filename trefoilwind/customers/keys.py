"""Table of the customers' keys, by digest."""

from collections.abc import Iterable
import hashlib
import hmac
import secrets

from trefoilwind.model import bounds
from trefoilwind.model import mesh

_DIGEST_BYTES = 16


class KeyTable:
    """Customers by the digests of their keys, built once per configuration.

    The digests depend on a secret of the table, so the time of a look-up tells
    nothing about the keys that are similar to the one sought.
    """

    def __init__(self, customers: Iterable[mesh.Customer]):
        """Build the table.

        Args:
            customers: All customers; each key belongs to one of them.

        Raises:
            ValueError: There are more than `bounds.MAX_KEYS` keys.
        """
        self._secret = secrets.token_bytes(_DIGEST_BYTES)
        self._by_digest: dict[bytes, tuple[bytes, mesh.Customer]] = {}
        for customer in customers:
            for key in customer.keys:
                digest = self._digest(key.encode())
                self._by_digest[digest] = (digest, customer)
            if len(self._by_digest) > bounds.MAX_KEYS:
                raise ValueError("too many keys")

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._by_digest)

    def find(self, key: bytes) -> mesh.Customer | None:
        """Return the customer of a key, or None if it is no valid key."""
        if not 0 < len(key) <= bounds.MAX_KEY_BYTES:
            return None
        digest = self._digest(key)
        found = self._by_digest.get(digest)
        if found is None or not hmac.compare_digest(found[0], digest):
            return None
        return found[1]

    def _digest(self, key: bytes) -> bytes:
        return hashlib.blake2b(
            key, digest_size=_DIGEST_BYTES, key=self._secret
        ).digest()
