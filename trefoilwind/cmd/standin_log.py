"""Program `trefoilwind-standin-log`: the platform's log, in memory."""

import threading

from cheroot import wsgi
import cyclopts

from trefoilwind.cmd import common
from trefoilwind.node import http_log
from trefoilwind.standins import log_server
from trefoilwind.standins import log_service

app = cyclopts.App(help="Stand-in for the platform's append-only log.")


@app.default
def run(*, host: str = "127.0.0.1", port: int = 0) -> None:
    """Serve a log in memory until SIGTERM or SIGINT.

    Args:
        host: IP address to listen on.
        port: Port to listen on; 0 for a free one.
    """
    common.check_address(host, port)
    server = wsgi.Server(
        (host, port),
        log_server.LogApplication(log_service.MemoryLog()),
        numthreads=32,
    )
    server.error_log = http_log.write
    try:
        server.prepare()
    except OSError as error:
        common.fail(f"{host}:{port}: address-in-use ({error.strerror})")
    threading.Thread(target=server.serve, daemon=True).start()
    print(f"log http://{host}:{server.bind_addr[1]}", flush=True)
    common.wait_for_stop()
    server.stop()


def main() -> None:
    """Run the program."""
    common.run(app)


if __name__ == "__main__":
    main()
