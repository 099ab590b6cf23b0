"""End-to-end test of the demo, over real sockets."""

import subprocess
import sys


def test_demo_ends_with_the_expected_outcomes():
    finished = subprocess.run(
        [sys.executable, "-m", "trefoilwind.cmd.demo"],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert finished.returncode == 0, finished.stderr
    lines = finished.stdout.splitlines()
    assert lines[0].startswith("demo/catalogue catalogue v2: done")
    assert lines[1].startswith("demo/artwork artwork v2: undone (failures on")
    assert lines[2].endswith(" answered, 0 lost")
