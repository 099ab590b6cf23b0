"""Request digests by which repeated requests are recognised."""

import hashlib

_DIGEST_BYTES = 16
_SEPARATOR = b"\0"


def fingerprint(
    service: str, method: str, path: str, key: str, body: bytes
) -> str:
    """Return a digest that is equal for repetitions of a request."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for text in (service, method, path, key):
        digest.update(text.encode("utf-8", "surrogateescape"))
        digest.update(_SEPARATOR)
    digest.update(body)
    return digest.hexdigest()
