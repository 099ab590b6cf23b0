"""Log output of the HTTP servers."""

import logging
import sys

logger = logging.getLogger(__name__)


def write(
    message: str = "", level: int = logging.INFO, traceback: bool = False
) -> None:
    """Log a message of a server; the signature is that of cheroot's hook.

    Args:
        message: Text of the message.
        level: Logging level.
        traceback: True if an exception is handled; its stack is logged at the
            debug level only.
    """
    logger.log(level, "http: %s", " ".join(message.split()))
    if traceback:
        logger.debug("http: traceback of the failure", exc_info=sys.exc_info())
