"""Traces of requests from truncated, mixed and compressed logs."""

import gzip
import json
import pathlib
import subprocess
import sys

import hypothesis
from hypothesis import strategies
import pytest

from trefoilwind.logs import explain
from trefoilwind.logs import reader


def _line(second: float, node: str, kind: str, **fields) -> str:
    plain = {
        "time": f"2026-12-04T07:00:{second:06.3f}+00:00",
        "node": node,
        "level": "INFO",
        "part": "entry",
        "message": kind.replace("_", " "),
        "kind": kind,
        **fields,
    }
    return json.dumps(plain)


_REFUSED = _line(
    1.9, "n2", "target_refused", id="a1", reason="overloaded", occupied=30
)
# The clock of the entry node is behind.
_FAILED = _line(
    1.1,
    "n1",
    "call_failed",
    id="a1",
    reason="overloaded",
    step="target.admit",
    peer="n2",
    status=503,
    elapsed_ms=12.0,
)
_SERVED = _line(2.0, "n1", "call", id="b2", status=200, elapsed_ms=80.0)
_TEXTS = [
    _FAILED,
    "  0.93 n2 " + _REFUSED,
    _SERVED,
    _SERVED[:40],
    "no line of ours {",
    '{"time": 5}',
    "[]",
]


def test_end_comes_last_even_if_clocks_differ():
    found = explain.collect_traces(reader.parse(_TEXTS))
    assert set(found) == {"a1", "b2"}
    kinds = [line.kind for line in found["a1"].lines]
    assert kinds == ["target_refused", "call_failed"]
    assert explain.cause(found["a1"]) == "overloaded at target.admit of n2"
    assert explain.cause(found["b2"]) == "served with status 200"
    assert "occupied=30" in explain.format_trace(found["a1"])


def test_failure_without_a_peer_is_attributed_to_the_last_node_tried():
    end = _line(
        1.0,
        "n1",
        "call_failed",
        id="c3",
        reason="backend-server-answer",
        step="run",
        asked=["n2", "n4"],
    )
    trace = explain.collect_traces(reader.parse([end]))["c3"]
    assert explain.cause(trace) == "backend-server-answer at run of n4"


def test_state_changes_of_all_nodes_are_sorted_by_time():
    in_force = _line(3.0, "n2", "", part="configuration")
    lost = _line(2.0, "n1", "", part="store")
    suppressed = _line(2.5, "n1", "left_out")
    lines = sorted(
        reader.parse([in_force, *_TEXTS, suppressed, lost]),
        key=lambda line: line.at,
    )
    assert [line.node for line in explain.changes(lines)] == ["n1", "n2"]
    assert list(explain.changes(lines, "rollout")) == []
    text = explain.format_change(next(explain.changes(lines, "store")))
    assert text == "07:00:02.000 n1 store: "


def test_failed_and_slowest():
    found = explain.collect_traces(reader.parse(_TEXTS)).values()
    assert [trace.request_id for trace in explain.failed(found)] == ["a1"]
    assert explain.failed(found, "draining") == []
    assert [trace.request_id for trace in explain.slowest(found, 1)] == ["b2"]


def test_request_that_is_in_no_log():
    trace = explain.RequestTrace("zz", ())
    assert explain.cause(trace) == "end of the request not found in the logs"
    assert "not found in the logs" in explain.format_trace(trace)


@hypothesis.given(strategies.text(max_size=80))
def test_any_text_is_parsed_or_skipped(text: str):
    list(reader.parse([text, "{" + text]))


def _explain(*arguments: str, text: str = "") -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "trefoilwind.cmd.explain", *arguments],
        input=text,
        capture_output=True,
        text=True,
        check=False,
    )


def test_explain_program(tmp_path: pathlib.Path):
    plain = tmp_path / "n1.log"
    plain.write_text("\n".join(_TEXTS[:1]))
    packed = tmp_path / "n2.log.gz"
    packed.write_bytes(gzip.compress("\n".join(_TEXTS[1:]).encode()))
    files = (str(plain), str(packed))
    one = _explain("a1", *files)
    assert one.returncode == 0
    assert "cause: overloaded" in one.stdout
    assert "1 overloaded" in _explain("all", *files, "--failed").stdout
    shown = _explain("a1", "--json", text="\n".join(_TEXTS))
    assert json.loads(shown.stdout)["cause"].startswith("overloaded")
    assert _explain("zz", *files).returncode == 1
    missing = _explain("a1", str(tmp_path / "none"))
    assert missing.returncode == 2
    assert len(missing.stderr.splitlines()) == 1


@pytest.mark.parametrize("data", [b"\xff\xfe", b"\x1f\x8b", b""])
def test_file_that_is_not_a_log(tmp_path: pathlib.Path, data: bytes):
    path = tmp_path / "odd"
    path.write_bytes(data)
    assert _explain("a1", str(path)).returncode in (1, 2)
