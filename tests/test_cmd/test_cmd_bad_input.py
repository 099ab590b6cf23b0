"""Invalid input gives exit code 2 and one line with the file and the key."""

import json
import pathlib
import socket
import sys

import pytest

from trefoilwind.cmd import admin
from trefoilwind.cmd import check
from trefoilwind.cmd import node
from trefoilwind.cmd import standin_backend
from trefoilwind.cmd import standin_caller
from trefoilwind.cmd import standin_log
from trefoilwind.cmd import timeline

_URL = "http://127.0.0.1:9"
_ROOT = pathlib.Path(__file__).resolve().parents[2]
_EXAMPLE = str(_ROOT / "examples" / "configuration.jsonc")
_BASE = {
    "node_id": "node-a",
    "data_centre": "perth-a",
    "region": "perth",
    "log": {"url": _URL},
}


def _run(program, arguments, monkeypatch, capsys) -> tuple[int, str]:
    monkeypatch.setattr(sys, "argv", ["trefoilwind-test", *arguments])
    with pytest.raises(SystemExit) as ended:
        program.main()
    captured = capsys.readouterr()
    assert "Traceback" not in captured.err
    assert captured.err.count("\n") == 1, captured.err
    return ended.value.code, captured.err


def _run_settings(tmp_path, text, monkeypatch, capsys):
    path = tmp_path / "node.jsonc"
    if isinstance(text, bytes):
        path.write_bytes(text)
    else:
        path.write_text(text)
    result = _run(check, ["settings", str(path)], monkeypatch, capsys)
    assert result == _run(node, [str(path)], monkeypatch, capsys)
    code, line = result
    assert code == 2
    return line.removeprefix(f"trefoilwind-test: {path}").rstrip()


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"colour": 1}, ":6: colour: unknown-key"),
        ({"log": {"url": _URL, "hue": 1}}, ":5: log.hue: unknown-key"),
        ({"log": {}}, ":5: log.url: missing-key"),
        ({"log": 3}, ":5: log: wrong-type (object expected)"),
        ({"log": {"url": "over there"}}, ":5: log.url: out-of-range"),
        ({"node_id": 7}, ":2: node_id: wrong-type (text expected)"),
        ({"node_id": ""}, ":2: node_id: out-of-range"),
        ({"node_id": "a b"}, ":2: node_id: out-of-range"),
        ({"log": {"url": _URL, "timeout_s": -1}}, ":5: log.timeout_s: out-of"),
        ({"streams": {"connect_timeout_s": 0}}, ":6: streams.connect_timeout"),
        ({"streams": {"backoff_base_s": 1e999}}, ":6: streams.backoff_base_s"),
        ({"membership": {"refresh_ratio": 1}}, ":6: membership.refresh_ratio"),
        ({"peer_address": {"port": 65536}}, ":6: peer_address.port: out-of"),
        ({"peer_address": {"port": -1}}, ":6: peer_address.port: out-of"),
        ({"peer_address": {"host": "a.example"}}, ":6: peer_address.host: out"),
        ({"peer_address": {"host": "0.0.0.0"}}, ":6: peer_address.host: out"),
        ({"contacts": [{"port": 1}, {"port": 0}]}, ":6: contacts[1].port: out"),
        ({"admin_address": {"host": "192.0.2.1"}}, ": admin_token: out-of"),
        ({"log_level": "LOUD"}, ":6: log_level: out-of-range (one of"),
        ({"proxy": {"caller_threads": 10**400}}, ":6: proxy.caller_threads: o"),
        ({"proxy": {"caller_threads": 1.5}}, ":6: proxy.caller_threads: wrong"),
    ],
)
def test_wrong_setting_names_line_and_key(
    changes, expected, tmp_path, monkeypatch, capsys
):
    values = [
        f" {json.dumps(key)}: {json.dumps(value)}"
        for key, value in {**_BASE, **changes}.items()
    ]
    text = "{\n" + ",\n".join(values) + "\n}"
    line = _run_settings(tmp_path, text, monkeypatch, capsys)
    assert line.startswith(expected)


def test_conflicting_ports_are_rejected(tmp_path, monkeypatch, capsys):
    changes = {
        "caller_address": {"port": 7101},
        "admin_address": {"host": "0.0.0.0", "port": 7101},
        "admin_token": "secret",
    }
    text = json.dumps({**_BASE, **changes}, indent=1)
    line = _run_settings(tmp_path, text, monkeypatch, capsys)
    assert ": admin_address.port: out-of-range" in line
    assert "secret" not in line


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", ":1: syntax"),
        ("{\n/* no end", ":2: syntax"),
        ('{\n"node_id": "a",\n"region" 2}', ":3: syntax (Expected colon"),
        ("[" * 500, ":1: syntax"),
        ("[]", ": wrong-type (object expected)"),
        (b'{\n"node_id": "\xff"}', ":2: syntax (UTF-8 expected)"),
        ('{"node_id": "\\udc00"}', ":1: syntax (Expected high surrogate"),
        ('{"a\\nb": 1}', ": a b: unknown-key"),
    ],
)
def test_wrong_text_names_the_line(
    text, expected, tmp_path, monkeypatch, capsys
):
    line = _run_settings(tmp_path, text, monkeypatch, capsys)
    assert line.startswith(expected)


def test_error_names_the_line_of_the_offending_key(
    tmp_path, monkeypatch, capsys
):
    text = """{
      // "log": {"lease_s": -1}
      "membership": {
        "lease_s": 3},
      "node_id": "lease_s", "data_centre": "a", "region": "b",
      "log": {"url": "http://127.0.0.1:1",
        lease_s: -1}}"""
    line = _run_settings(tmp_path, text, monkeypatch, capsys)
    assert line.startswith(":7: log.lease_s: out-of-range")


def test_missing_file_and_folder(tmp_path, monkeypatch, capsys):
    for path in (tmp_path / "none.jsonc", tmp_path):
        for program, *arguments in ((node,), (check, "settings")):
            code, line = _run(
                program, [*arguments, str(path)], monkeypatch, capsys
            )
            assert code == 2
            assert f"{path}: file-missing" in line


@pytest.mark.parametrize("key", ["caller", "peer", "admin"])
def test_busy_port_names_the_key(key, tmp_path, monkeypatch, capsys):
    with socket.socket() as occupied:
        occupied.bind(("127.0.0.1", 0))
        occupied.listen()
        port = occupied.getsockname()[1]
        path = tmp_path / "node.jsonc"
        changes = {f"{key}_address": {"port": port}}
        path.write_text(json.dumps({**_BASE, **changes}, indent=1))
        code, line = _run(node, [str(path)], monkeypatch, capsys)
        assert code == 2
        assert f"{path}:8: {key}_address: address-in-use" in line
        for program, arguments in (
            (standin_log, ["--port", str(port)]),
            (
                standin_backend,
                ["a", "v1", "--admin", _URL, "--port", str(port)],
            ),
        ):
            code, line = _run(program, arguments, monkeypatch, capsys)
            assert code == 2
            assert f"127.0.0.1:{port}: address-in-use" in line


def test_wrong_configuration_names_line_and_key(tmp_path, monkeypatch, capsys):
    path = tmp_path / "configuration.jsonc"
    text = '{"services": [\n{"name": "a", "version": "v1",\n"routes": []}]}'
    path.write_text(text)
    for program, *arguments in (
        (check, "configuration", str(path)),
        (admin, "check", str(path)),
        (admin, "publish", str(path), "--node", _URL),
    ):
        code, line = _run(program, arguments, monkeypatch, capsys)
        assert code == 2
        assert f"{path}:3: services[0].routes: missing-key" in line


@pytest.mark.parametrize(
    ("program", "arguments"),
    [
        (node, []),
        (node, ["a", "b"]),
        (check, ["nothing"]),
        (check, ["settings", "--loud"]),
        (admin, ["move", "a", "v2", "--node", _URL]),
        (admin, ["move", "a", "v2", "--node", _URL, "--deadline-s", "x"]),
        (admin, ["move", "a", "v2", "--node", _URL, "--deadline-s", "-1"]),
        (admin, ["move", "a", "v2", "--node", _URL, "--deadline-s", "nan"]),
        (admin, ["publish", _EXAMPLE, "--node", _URL, "--record-id", "p"]),
        (admin, ["status"]),
        (admin, ["status", "--node", "nowhere"]),
        (admin, ["watch", "m", "--node", "http://"]),
        (timeline, []),
        (timeline, ["ftp://127.0.0.1"]),
        (timeline, ["/no/such/file.jsonl"]),
        (standin_log, ["--port", "70000"]),
        (standin_log, ["--host", "log.example"]),
        (standin_backend, ["a", "v1", "--admin", "nowhere"]),
        (standin_backend, ["a", "v1", "--admin", _URL, "--slots", "0"]),
        (standin_caller, ["/a"]),
        (standin_caller, ["/a", "nowhere"]),
        (standin_caller, ["/a", _URL, "--seconds", "0"]),
    ],
)
def test_wrong_arguments(program, arguments, monkeypatch, capsys):
    code, _ = _run(program, arguments, monkeypatch, capsys)
    assert code == 2


@pytest.mark.parametrize(
    ("program", "arguments"),
    [
        (admin, ["status", "--node", _URL]),
        (admin, ["moves", "--node", _URL]),
        (admin, ["watch", "m", "--node", _URL]),
        (admin, ["move", "a", "v2", "--node", _URL, "--deadline-s", "5"]),
        (timeline, [_URL]),
    ],
)
def test_node_that_does_not_answer(program, arguments, monkeypatch, capsys):
    code, line = _run(program, arguments, monkeypatch, capsys)
    assert code == 1
    assert "peer-unreachable" in line
