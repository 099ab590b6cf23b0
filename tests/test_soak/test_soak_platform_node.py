"""Seeded runs of the soak: the program under faults from outside."""

import pathlib

from tests.test_soak import run

# Faults begin within these seconds; a run ends a stop and a start later.
_SECONDS = 14.0


def test_promises_hold_while_stops_overlap(tmp_path: pathlib.Path):
    summary, broken = run.run(14, _SECONDS, tmp_path)
    assert not broken, summary
    assert " 200=" in summary
