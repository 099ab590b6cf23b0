"""Program `trefoilwind-node`: runs one node."""

import logging

import cyclopts

from trefoilwind import errors
from trefoilwind import settings as settings_lib
from trefoilwind.cmd import common
from trefoilwind.log import http_client
from trefoilwind.node import process

logger = logging.getLogger(__name__)

app = cyclopts.App(help="Run one node beside a backend server.")


@app.default
def run(settings_file: str) -> None:
    """Run a node until it is asked to end.

    Args:
        settings_file: File of settings, JSON with comments.
    """
    settings = common.unwrap(
        settings_lib.load(settings_file, settings_lib.NodeSettings)
    )
    common.set_up_logging(settings.log_level)
    log = http_client.HttpLog(settings.log.url, settings.log.timeout_s)
    node = process.Node(settings, log)
    bound = node.start()
    if isinstance(bound, errors.Error):
        common.fail(f"{settings_file}: {bound}")
    print(
        f"{settings.node_id}: callers {bound.caller}, peers {bound.peer}, "
        f"administration {bound.admin}",
        flush=True,
    )
    common.wait_for_stop()
    logger.info("node: stopping")
    node.drain()
    node.stop()


def main() -> None:
    """Run the program."""
    common.run(app)


if __name__ == "__main__":
    main()
