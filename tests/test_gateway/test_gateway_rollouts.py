"""Tests of rollouts with several nodes on a virtual clock, without sockets."""

import dataclasses
import random

import pytest

from trefoilwind import codec
from trefoilwind import errors
from trefoilwind.gateway import board as board_lib
from trefoilwind.gateway import calls
from trefoilwind.gateway import control_messages
from trefoilwind.gateway import http_types
from trefoilwind.gateway import rollouts
from trefoilwind.membership import directory
from trefoilwind.model import addresses
from trefoilwind.model import members
from trefoilwind.model import mesh
from trefoilwind.model import positions
from trefoilwind.rollout import evidence
from trefoilwind.rollout import messages
from trefoilwind.routing import regions

_DURATION_S = 15.0
_STEP_S = 0.25
_CALLS_PER_STEP = 16
_ORDER = mesh.RolloutOrder(7, "s", "v2", _DURATION_S)
_INTERRUPTED = errors.CallError(errors.Reason.BACKEND_FAILED, "test")


class _SimulatedMesh:
    """Entry nodes in two data centres, and backend servers of two versions."""

    def __init__(self, seed: int, nodes: int = 4):
        self.now = 100.0
        self.random = random.Random(seed)
        self.decisions: list[control_messages.RolloutDecision] = []
        self.sent: list[messages.EvidenceUpdate] = []
        self.new_calls = 0
        self.boards = []
        self.controls = []
        # Relays of each data centre.
        self.relays = {0: ("n0",), 1: ("n1",)}
        for index in range(nodes):
            self._add(index)
        for control in self.controls:
            control.apply_stable(control_messages.StableVersion("s", "v1"))
            control.handle_order(_ORDER)

    def _add(self, index: int) -> rollouts.RolloutControl:
        board = board_lib.MeshBoard()
        servers = [_server(n, "v1") for n in range(4)]
        servers += [_server(n + 4, "v2") for n in range(4)]
        board.members.claim("test")(directory.snapshot(servers))
        senders = rollouts.EvidenceSenders(
            send_to_relays=lambda ids, update: self._send(ids, index, update),
            send_local=lambda update: self._send(
                _data_centre_ids(index), index, update
            ),
            send_remote=lambda update: self._send_remote(index, update),
            relays=lambda: self.relays[index % 2],
        )
        self.boards.append(board)
        self.controls.append(
            rollouts.RolloutControl(
                f"n{index}",
                f"n{index}@1",
                _data_centre(index),
                board,
                senders,
                self.decisions.append,
                lambda: self.now,
            )
        )
        return self.controls[-1]

    def replaced(self, index: int) -> rollouts.RolloutControl:
        """Return the control of a node that has just restarted."""
        control = self._add(index)
        self.controls.pop()
        self.boards.pop()
        control.apply_stable(control_messages.StableVersion("s", "v1"))
        control.handle_order(_ORDER)
        return control

    def _send(self, node_ids, sender: int, update) -> None:
        self.sent.append(update)
        for index, control in enumerate(self.controls):
            if index != sender and f"n{index}" in node_ids:
                control.merge_evidence(update)

    def _send_remote(self, sender: int, update) -> None:
        """Send to one node of the other data centre, not to its relay."""
        others = [
            index
            for index in range(len(self.controls))
            if _data_centre(index) != _data_centre(sender)
        ]
        if others:
            self.controls[others[-1]].merge_evidence(update, is_remote=True)

    def run(self, answer) -> None:
        """Run until the first decision, or past the deadline without one.

        Args:
            answer: Returns the result and the time in seconds of a call,
                given the version, the route, the fraction of the duration
                that has passed and the traffic share of the new version.
        """
        steps = int(1.3 * _DURATION_S / _STEP_S)
        for step in range(steps):
            progress = step * _STEP_S / _DURATION_S
            for index, control in enumerate(self.controls):
                for _ in range(_CALLS_PER_STEP):
                    self._call(index, control, progress, answer)
                control.tick()
            self.now += _STEP_S
            if self.decisions:
                return

    def _call(self, index: int, control, progress: float, answer) -> None:
        plan = self.boards[index].versions.value.by_service["s"]
        is_new = self.random.random() < plan.share
        version = "v2" if is_new else "v1"
        route = self.random.choice(("r1", "r1", "r2"))
        self.new_calls += is_new
        result, served_s = answer(version, route, progress, plan.share)
        number = self.random.randrange(4) + (4 if is_new else 0)
        control.observe(
            f"b{number}", _call(version, route), _outcome(result, served_s)
        )

    @property
    def is_done(self) -> bool | None:
        """Result of the rollout; None if it has not ended."""
        return self.decisions[0].is_done if self.decisions else None

    @property
    def exposure(self) -> float:
        """Share of the calls until the deadline sent to the new version."""
        per_step = _CALLS_PER_STEP * len(self.controls)
        return self.new_calls / (per_step * _DURATION_S / _STEP_S)


def _data_centre(index: int) -> str:
    return f"d{index % 2}"


def _data_centre_ids(index: int) -> set[str]:
    """Return the ids of all nodes of a node's data centre."""
    return {f"n{other}" for other in range(index % 2, 100, 2)}


def _server(number: int, version: str) -> members.Member:
    return members.Member(
        f"b{number}", 1, 1, "d0", addresses.Address(), "s", version, 18
    )


def _call(version: str, route: str) -> calls.Call:
    return calls.Call(
        "GET", "/", (), b"", "s", version, route, 1, False, 0.0, 0.0
    )


def _outcome(result: calls.Result, served_s: float) -> calls.Outcome:
    return calls.Outcome(result, served_s)


def _answers(rng: random.Random, fault=None):
    """Return a function that answers calls, with an optional fault of "v2"."""

    def answer(version: str, route: str, progress: float, share: float):
        served_s = 0.09 * rng.uniform(0.6, 1.6)
        if version == "v2" and fault is not None:
            changed = fault(route, progress, share, served_s)
            if changed is not None:
                return changed
        if rng.random() < 0.004:
            return http_types.HttpAnswer(500, ()), served_s
        return http_types.HttpAnswer(200, ()), served_s

    return answer


def _fault(kind: str, rng: random.Random):
    failed = http_types.HttpAnswer(500, ())
    served = http_types.HttpAnswer(200, ())

    def fault(route: str, progress: float, share: float, served_s: float):
        if rng.random() >= 0.5:
            return None
        is_on = {
            "errors": True,
            "cuts": True,
            "slow": True,
            "late": progress > 0.3,
            "one_class": route == "r2",
            "under_load": share >= 0.5,
        }[kind]
        if not is_on:
            return None
        if kind == "slow":
            return served, 8 * served_s
        return (_INTERRUPTED, -1.0) if kind == "cuts" else (failed, served_s)

    return fault


_KINDS = ("errors", "cuts", "slow", "late", "one_class", "under_load")


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("kind", _KINDS)
def test_faulty_version_is_rolled_back_within_its_exposure_limit(
    kind: str, seed: int
):
    simulation = _SimulatedMesh(seed)
    simulation.run(_answers(simulation.random, _fault(kind, simulation.random)))
    assert simulation.is_done is False
    # A tenth of the calls, plus 50 calls.
    per_step = _CALLS_PER_STEP * len(simulation.controls)
    slack = 50 / (per_step * _DURATION_S / _STEP_S)
    assert simulation.exposure <= 0.1 + slack


@pytest.mark.parametrize("seed", range(5))
def test_good_version_is_done_before_the_deadline(seed: int):
    simulation = _SimulatedMesh(seed)
    started = simulation.now
    simulation.run(_answers(simulation.random))
    assert simulation.is_done is True
    assert simulation.now - started < _DURATION_S


@pytest.mark.parametrize("remaining", [0, 2])
def test_rollout_is_judged_on_the_servers_outside_an_evacuation(remaining: int):
    simulation = _SimulatedMesh(1)
    servers = [_server(n, "v1") for n in range(4)]
    servers += [
        dataclasses.replace(
            _server(n + 4, "v2"), data_centre="d0" if n < remaining else "d1"
        )
        for n in range(4)
    ]
    for board in simulation.boards:
        board.members._publish(directory.snapshot(servers))
        publish = board.evacuations.claim("test")
        publish(regions.Evacuations(frozenset({"d1"})))
    for control in simulation.controls:
        control.tick()
    simulation.run(_answers(simulation.random))
    assert simulation.is_done is bool(remaining)
    assert bool(simulation.new_calls) is bool(remaining)


@pytest.mark.parametrize("entry", ["n0@1", "n2@1"])
def test_rollouts_are_evaluated_after_evidence_with_a_number_too_large(
    entry: str,
):
    simulation = _SimulatedMesh(1)
    counter = evidence.Counter(failures=2**64 - 1)
    keys = [
        evidence.Key(
            _ORDER.rollout_id,
            evidence.RouteKey("r1", ""),
            "d0",
            each,
            evidence.Arm.OLD,
            "",
        )
        for each in (entry, f"{entry}2")
    ]
    odd = messages.pack(evidence.Entry(key, counter) for key in keys)
    control = simulation.controls[0]
    control.merge_evidence(codec.decode(codec.encode(odd), "test"))
    simulation.run(_answers(simulation.random))
    assert simulation.is_done is True
    for update in simulation.sent:
        assert codec.decode(codec.encode(update), "test") == update


def test_brake_of_one_node_applies_to_all_nodes():
    simulation = _SimulatedMesh(1)
    simulation.run(
        _answers(simulation.random, _fault("errors", simulation.random))
    )
    for board in simulation.boards:
        plan = board.versions.value.by_service["s"]
        assert plan.share == 0.0
        assert plan.banned == {"v2"}


def test_evidence_reaches_all_nodes_over_the_relays_of_a_data_centre():
    simulation = _SimulatedMesh(1, nodes=8)
    served = calls.Outcome(http_types.HttpAnswer(200, ()), 0.1)
    for control in simulation.controls:
        control.observe("b4", _call("v2", "r1"), served)
    # Counters to the relays, sums to the data centres, sums of the others.
    for _ in range(3):
        for control in simulation.controls:
            control.tick()
    for control in simulation.controls:
        counters = control.evidence_of("s/v2").values()
        assert sum(counter.calls for counter in counters) == 8


def test_new_relay_receives_all_counters_of_its_data_centre():
    simulation = _SimulatedMesh(1, nodes=4)
    served = calls.Outcome(http_types.HttpAnswer(200, ()), 0.1)
    simulation.controls[2].observe("b4", _call("v2", "r1"), served)
    simulation.controls[2].tick()
    # The relay restarts; nothing is counted meanwhile.
    simulation.controls[0] = simulation.replaced(0)
    simulation.relays[0] = ("n2",)
    simulation.controls[2].tick()
    simulation.relays[0] = ("n0",)
    for index in (2, 0):
        simulation.controls[index].tick()
    counters = simulation.controls[0].evidence_of("s/v2").values()
    assert sum(counter.calls for counter in counters) == 1


def test_later_decision_on_the_same_order_is_ignored():
    simulation = _SimulatedMesh(1)
    control = simulation.controls[0]
    first = control_messages.RolloutDecision(7, "s", "v2", False, "failures")
    second = control_messages.RolloutDecision(7, "s", "v2", True, "done")
    assert control.apply_decision(first)
    assert not control.apply_decision(second)
    assert control.stable["s"] == "v1"
    assert not control.handle_order(_ORDER)


def test_later_order_opens_a_new_rollout_after_a_decision():
    simulation = _SimulatedMesh(1)
    control = simulation.controls[0]
    done = control_messages.RolloutDecision(7, "s", "v2", True, "done")
    control.apply_decision(done)
    assert control.stable["s"] == "v2"
    later = mesh.RolloutOrder(9, "s", "v3", _DURATION_S)
    assert control.handle_order(later)
    assert not control.is_newest(done)


def test_refused_calls_are_not_counted_as_evidence():
    simulation = _SimulatedMesh(1)
    refused = errors.CallError(errors.Reason.OVERLOADED, "test", not_run=True)
    for _ in range(200):
        simulation.controls[0].observe(
            "b4", _call("v2", "r1"), calls.Outcome(refused)
        )
    simulation.controls[0].tick()
    assert not simulation.decisions
    assert simulation.boards[0].versions.value.by_service["s"].share > 0


def _rewritten(era: int = 1, offset: int = 3) -> mesh.RolloutOrder:
    """Return the order as written after a restore of the store."""
    order_id = positions.position(era, offset)
    return dataclasses.replace(_ORDER, order_id=order_id)


def _rolled_back(
    order: mesh.RolloutOrder = _ORDER,
) -> control_messages.RolloutDecision:
    return control_messages.RolloutDecision(
        order.order_id, order.service, order.version, False, "errors"
    )


def _candidate(control: rollouts.RolloutControl, board) -> str:
    control.tick()
    return board.versions.value.by_service["s"].candidate


def test_order_written_again_after_a_restore_does_not_reopen_its_rollout():
    mesh_ = _SimulatedMesh(1, nodes=1)
    control, board = mesh_.controls[0], mesh_.boards[0]
    control.apply_decision(_rolled_back())
    assert not control.handle_order(_rewritten())
    assert _candidate(control, board) == ""
    assert "v2" in board.versions.value.by_service["s"].banned
    assert control.final_decisions == (_rolled_back(),)


def test_order_for_the_same_version_after_a_restore_and_a_decision_is_new():
    control = _SimulatedMesh(1, nodes=1).controls[0]
    control.apply_decision(_rolled_back())
    control.handle_order(_rewritten())
    again = _rewritten(offset=8)
    assert control.handle_order(again)
    assert control.apply_decision(_rolled_back(again))
    assert control.final_decisions == (_rolled_back(again),)


def test_open_rollout_goes_on_when_its_order_is_written_again():
    mesh_ = _SimulatedMesh(1, nodes=1)
    control, board = mesh_.controls[0], mesh_.boards[0]
    mesh_.now += _DURATION_S / 2
    control.tick()
    share = board.versions.value.by_service["s"].share
    assert not control.handle_order(_rewritten())
    control.tick()
    assert board.versions.value.by_service["s"].share >= share > 0.0
    assert control.open_orders == (_rewritten(),)
    # A node that has not read the order again decides on the earlier one.
    assert control.apply_decision(_rolled_back())
    assert not control.apply_decision(_rolled_back(_rewritten()))
    assert control.open_orders == ()


@pytest.mark.parametrize("is_order_first", [True, False])
def test_restarted_node_applies_a_decision_from_before_a_restore(
    is_order_first: bool,
):
    control = _SimulatedMesh(1, nodes=0)._add(0)
    if is_order_first:
        assert control.handle_order(_rewritten())
    assert control.apply_decision(_rolled_back())
    assert not control.handle_order(_rewritten())
    assert control.open_orders == ()


@pytest.mark.parametrize("is_decided", [True, False])
def test_older_order_in_the_copy_does_not_replace_a_later_one(is_decided: bool):
    control = _SimulatedMesh(1, nodes=1).controls[0]
    control.apply_decision(_rolled_back())
    later = mesh.RolloutOrder(9, "s", "v3", _DURATION_S)
    control.handle_order(later)
    if is_decided:
        control.apply_decision(_rolled_back(later))
    assert not control.handle_order(_rewritten())
    rewritten = dataclasses.replace(later, order_id=_rewritten().order_id + 1)
    assert not control.handle_order(rewritten)
    assert control.open_orders == (() if is_decided else (rewritten,))
    if is_decided:
        assert control.final_decisions == (_rolled_back(later),)


def test_order_for_an_earlier_version_is_new_once_the_latest_is_written_again():
    control = _SimulatedMesh(1, nodes=1).controls[0]
    control.apply_decision(_rolled_back())
    later = mesh.RolloutOrder(9, "s", "v3", _DURATION_S)
    control.handle_order(later)
    control.handle_order(
        dataclasses.replace(later, order_id=_rewritten().order_id)
    )
    again = _rewritten(offset=8)
    assert control.handle_order(again)
    assert control.open_orders == (again,)
