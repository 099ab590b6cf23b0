"""Program `trefoilwind-standin-backend`: a backend server for tests."""

import cyclopts

from trefoilwind.cmd import common
from trefoilwind.standins import backend

app = cyclopts.App(help="Stand-in for a backend server.")

_HOST = "127.0.0.1"
_MAX_DELAY_S = 3600.0


@app.default
def run(
    service: str,
    version: str,
    *,
    admin: str,
    port: int = 0,
    slots: int = 16,
    fail_every: int = 0,
    delay_s: float = 0.0,
) -> None:
    """Serve calls and announce the server to a node until SIGTERM or SIGINT.

    Args:
        service: Service of the backend server.
        version: Version of the backend server.
        admin: URL of the administration API of the node on the same VM.
        port: Port to listen on; 0 for a free one.
        slots: Announced largest number of concurrent calls.
        fail_every: Every n-th call is answered with status 500; 0 for none.
        delay_s: Delay of each answer in seconds.
    """
    common.check_url("--admin", admin)
    common.check_address(_HOST, port)
    if slots < 1 or fail_every < 0 or not 0 <= delay_s <= _MAX_DELAY_S:
        common.fail("--slots, --fail-every or --delay-s: out-of-range")
    faults = backend.BackendFaults(fail_every, delay_s)
    try:
        server = backend.BackendServer(service, version, faults, port=port)
    except OSError as error:
        common.fail(f"{_HOST}:{port}: address-in-use ({error.strerror})")
    server.start()
    server.announce_until_stopped(admin, slots)
    print(f"{service} {version} on port {server.port}", flush=True)
    common.wait_for_stop()
    server.stop()


def main() -> None:
    """Run the program."""
    common.run(app)


if __name__ == "__main__":
    main()
