"""Log of the HTTP servers."""

import logging
import sys

logger = logging.getLogger(__name__)


def write(
    message: str = "", level: int = logging.INFO, traceback: bool = False
) -> None:
    """Log what a server says, in the form that cheroot calls.

    Args:
        message: What happened.
        level: Level of the line.
        traceback: True if an exception is handled; its stack is logged at the
            debug level only.
    """
    logger.log(level, "http: %s", " ".join(message.split()))
    if traceback:
        logger.debug("http: stack of the failure", exc_info=sys.exc_info())
