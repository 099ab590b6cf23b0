"""Actor that runs a node's controllers on one thread."""

import logging
from typing import Any

import pykka

from trefoilwind.node import control as control_lib

logger = logging.getLogger(__name__)


class ControlActor(pykka.ThreadingActor):
    """Passes messages to the controllers one at a time."""

    use_daemon_thread = True

    def __init__(self, control: control_lib.Control):
        super().__init__()
        self._control = control

    def on_receive(self, message: Any) -> None:
        """Let the controllers handle a message."""
        self._control.receive(message)

    def on_failure(self, exception_type, exception_value, traceback) -> None:
        """Log a defect; the VM's process supervisor restarts the node."""
        logger.critical("control: actor failed: %s", exception_value)
