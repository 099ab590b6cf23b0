"""Time of the start of the process, from which promises are counted."""

import subprocess
import sys

_PROGRAM = """
import time
time.sleep(0.3)
from trefoilwind.gateway import quotas
now = time.clock_gettime(time.CLOCK_BOOTTIME)
print(now - quotas.process_started())
"""


def test_start_of_the_process_is_on_another_clock():
    """Guards against promises that seem to be over, or never to end."""
    begin_s = 0.3
    completed = subprocess.run(
        [sys.executable, "-c", _PROGRAM],
        capture_output=True,
        text=True,
        check=True,
        timeout=60,
    )
    assert begin_s <= float(completed.stdout) < 60.0
