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
    """Run a node until SIGTERM or SIGINT.

    Args:
        settings_file: Settings file, JSON with comments.
    """
    settings = common.unwrap(
        settings_lib.load(settings_file, settings_lib.NodeSettings)
    )
    common.set_up_logging(settings.log_level, settings.log_format)
    log = http_client.HttpLog(settings.log.url, settings.log.timeout_s)
    node = process.Node(settings, log)
    bound = node.start()
    if isinstance(bound, errors.Error):
        common.fail(_with_key(bound, settings, settings_file))
    print(
        f"{settings.node_id}: callers {bound.caller}, peers {bound.peer}, "
        f"administration {bound.admin}",
        flush=True,
    )
    common.wait_for_stop()
    logger.info("node: stopping")
    node.drain()
    node.stop()


def _with_key(
    error: errors.Error, settings: settings_lib.NodeSettings, path: str
) -> errors.SettingsError:
    """Return the error with the settings key of the address that failed."""
    keys = ("caller_address", "peer_address", "admin_address")
    matching = [k for k in keys if str(getattr(settings, k)) == error.peer]
    return settings_lib.with_line(
        errors.SettingsError(
            error.reason,
            error.step,
            path,
            f"{error.peer} {error.detail}".strip(),
            path=matching[0] if matching else "",
        )
    )


def main() -> None:
    """Run the program."""
    common.run(app)


if __name__ == "__main__":
    main()
