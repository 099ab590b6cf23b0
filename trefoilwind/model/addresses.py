"""Network addresses."""

import dataclasses
import ipaddress

MAX_PORT = 65535


@dataclasses.dataclass(frozen=True, order=True)
class Address:
    """A TCP address.

    Attributes:
        host: IP address.
        port: TCP port; 0 lets the system choose one when listening.
    """

    host: str = "127.0.0.1"
    port: int = 0

    def __str__(self) -> str:
        """Return "host:port"."""
        return f"{self.host}:{self.port}"


def parse_ip_address(
    text: str,
) -> ipaddress.IPv4Address | ipaddress.IPv6Address | None:
    """Return the IP address that a text denotes, or None if it is invalid."""
    try:
        return ipaddress.ip_address(text)
    except ValueError:
        return None


def can_connect(address: Address) -> bool:
    """Return True if another node may listen on an address."""
    is_port = 0 < address.port <= MAX_PORT
    return is_port and parse_ip_address(address.host) is not None
