"""Network addresses."""

import dataclasses


@dataclasses.dataclass(frozen=True, order=True)
class Address:
    """A TCP address.

    Attributes:
        host: IP number.
        port: TCP port; 0 lets the system choose when listening.
    """

    host: str = "127.0.0.1"
    port: int = 0

    def __str__(self) -> str:
        """Return "host:port"."""
        return f"{self.host}:{self.port}"
