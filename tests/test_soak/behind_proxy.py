"""Runs the platform's program with its peer address behind a proxy.

A node listens on the address that it announces to its peers. Here it listens
on another port, so that a proxy can have the announced one. Nothing else of the
program is changed.
"""

import signal

# As in the program itself, before its modules are loaded.
if __name__ == "__main__":
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM})

import os

from trefoilwind.cmd import platform_node
from trefoilwind.gateway import peers
from trefoilwind.model import addresses

PORT_VARIABLE = "SOAK_PEER_PORT"


def main() -> None:
    listen = peers.Peers.listen

    async def listen_behind(
        self: peers.Peers, address: addresses.Address
    ) -> None:
        port = int(os.environ[PORT_VARIABLE])
        await listen(self, addresses.Address(address.host, port))

    peers.Peers.listen = listen_behind
    platform_node.main()


if __name__ == "__main__":
    main()
