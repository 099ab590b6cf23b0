"""Tests of `trefoilwind-admin` and `trefoilwind-timeline` with real nodes."""

import contextlib
import json
import socket
import sys

import pytest

from trefoilwind import errors
from trefoilwind import settings as settings_lib
from trefoilwind.admin import client as client_lib
from trefoilwind.admin import documents
from trefoilwind.cmd import admin
from trefoilwind.cmd import demo
from trefoilwind.cmd import timeline
from trefoilwind.node import process
from trefoilwind.standins import caller
from trefoilwind.standins import mesh


@pytest.fixture(scope="module")
def system():
    started = mesh.Mesh()
    started.add_node("perth-a", "perth", "catalogue", "v1")
    started.add_node("pilbara-a", "pilbara", "catalogue", "v1")
    started.add_node("perth-a", "perth", "catalogue", "v2")
    yield started
    started.stop()


@pytest.fixture
def run(system, monkeypatch, capsys):
    monkeypatch.setenv(admin.TOKEN_VARIABLE, mesh.TOKEN)

    def run_program(*arguments, program=admin):
        argv = ["trefoilwind-test", *map(str, arguments)]
        monkeypatch.setattr(sys, "argv", argv)
        code = 0
        try:
            program.main()
        except SystemExit as ended:
            code = ended.code
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return run_program


@pytest.fixture
def configuration_file(tmp_path):
    path = tmp_path / "configuration.jsonc"
    plain = documents.to_plain(demo.configuration())
    path.write_text(json.dumps(plain))
    return path


def _urls(system) -> list[str]:
    return [f"http://{bound.admin}" for bound in system.bound]


def _nodes(system) -> list[str]:
    return [word for url in _urls(system) for word in ("--node", url)]


def test_operator_publishes_and_moves(system, run, configuration_file):
    nodes = _nodes(system)
    first = nodes[:2]
    assert system.wait_until(
        lambda: all(
            len(n.environment.blackboard.members.value.members) == 3
            for n in system.nodes
        )
    )

    # Publishing waits until the version is in force on every given node.
    publish = ("publish", configuration_file)
    first_try = (*publish, "--base", "-1", "--record-id", "p/1")
    code, out, err = run(*first_try, *nodes, "--json")
    assert (code, err) == (0, "")
    published = json.loads(out)
    assert published["record"]["progress"] == "accepted"
    assert published["nodes"] == _urls(system)
    version = published["record"]["offset"]

    # A repeat after a lost answer returns the same result.
    code, out, _ = run(*first_try, *first)
    assert (code, out.split()[1]) == (0, str(version))

    # A publication with a stale base is refused with the current version.
    code, out, err = run(*publish, *first, "--base", "-1")
    assert (code, out) == (1, "")
    assert f"stale-base at {first[1]} (based on -1, current is {version})" in (
        err
    )

    code, out, _ = run("status", *nodes)
    assert code == 0
    assert out.startswith(f"version {version} is in force on 3 of 3 nodes")

    _check_move(system, run, first)


def _check_move(system, run, node):
    plan = (
        caller.Call("GET", "/catalogue/proofs/7"),
        caller.Call("POST", "/catalogue/orders"),
    )
    user = caller.Caller(system.caller_urls, plan)
    user.start()
    arguments = ("catalogue", "v2", *node, "--deadline-s", 25)
    code, out, _ = run("move", *arguments, "--record-id", "m/1")
    assert (code, out) == (0, "m/1 is accepted\n")
    code, out, err = run("move", *arguments)
    assert (code, out) == (1, "")
    assert "move-open" in err
    code, out, _ = run("watch", "m/1", *node)
    assert code == 0
    assert out.splitlines()[0].startswith("m/1 catalogue v2: open until")
    assert "m/1 catalogue v2: done" in out
    assert "share" in out
    user.stop()

    code, out, _ = run("moves", *node, "--json")
    (found,) = json.loads(out)
    assert found["status"]["outcome"]["result"] == "done"
    code, out, _ = run("status", *node)
    assert "class lookup in north: " in out

    code, _, err = run("watch", "m/2", *node)
    assert code == 1
    assert "move-unknown" in err


def test_wrong_token_is_reported(system, run, monkeypatch):
    monkeypatch.setenv(admin.TOKEN_VARIABLE, "wrong")
    code, out, err = run("status", *_nodes(system)[:2])
    assert (code, out) == (1, "")
    assert "unauthorized" in err
    assert err.count("\n") == 1


def test_unreachable_node_does_not_hide_the_others(system, run):
    nodes = [*_nodes(system)[:2], "--node", "http://127.0.0.1:9"]
    code, out, err = run("status", *nodes)
    assert code == 1
    assert "1 of 1 nodes queried" in out or "no version" in out
    assert "peer-unreachable" in err


def test_timeline_of_nodes_and_files(system, run, tmp_path):
    saved = tmp_path / "saved.jsonl"
    code, _, _ = run(
        *_urls(system), "--json", "--output", saved, program=timeline
    )
    assert code == 0
    code, out, _ = run(saved, program=timeline)
    assert code == 0
    assert len(out.splitlines()) == len(saved.read_text().splitlines())
    code, out, _ = run(saved, "--html", program=timeline)
    assert out.startswith("<!doctype html>")
    code, out, err = run(saved, "http://127.0.0.1:9", program=timeline)
    assert code == 1
    assert out
    assert err.count("\n") == 1
    saved.write_text('{"stamp": {}}\n')
    code, out, err = run(saved, program=timeline)
    assert (code, out) == (2, "")
    assert f"{saved}:1: syntax" in err


def test_slow_clients_do_not_block_others(system):
    address = system.bound[0].admin
    with contextlib.ExitStack() as stack:
        for _ in range(2 * process.ADMIN_THREADS):
            slow = socket.create_connection((address.host, address.port))
            stack.enter_context(slow)
            slow.sendall(b"GET /v1/status HTTP/1.1\r\nHost: ")
        lease_s = settings_lib.MembershipSettings().announcement_lease_s
        client = client_lib.AdminClient(f"http://{address}", "", lease_s)
        assert not isinstance(client.health(), errors.Error)
