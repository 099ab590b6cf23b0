"""Tests of checking configurations with routes by host offline."""

import json
import pathlib
import sys

import pytest

from trefoilwind import settings as settings_lib
from trefoilwind.cmd import check
from trefoilwind.model import mesh
from trefoilwind.routing import route_validation

_EXAMPLE = (
    pathlib.Path(__file__).resolve().parents[2]
    / "examples"
    / "three-services.jsonc"
)


def _run(path, monkeypatch, capsys) -> tuple[int, str]:
    monkeypatch.setattr(sys, "argv", ["trefoilwind-test", "routes", str(path)])
    with pytest.raises(SystemExit) as ended:
        check.main()
    captured = capsys.readouterr()
    return ended.value.code, captured.out + captured.err


def _example() -> dict:
    """Return the example as plain data."""
    loaded = settings_lib.load(str(_EXAMPLE), mesh.MeshConfiguration)
    route = loaded.routes[1]
    destinations = [
        {"service": each.service, "weight": each.weight}
        for each in route.destinations
    ]
    return {
        "version": loaded.version,
        "routes": [
            {
                "name": route.name,
                "host": route.host,
                "path_prefix": route.path_prefix,
                "is_idempotent": route.is_idempotent,
                "timeout_s": route.timeout_s,
                "target_s": route.target_s,
                "rank": route.rank,
                "destinations": destinations,
                "max_attempts": route.max_attempts,
            }
        ],
        "services": [
            {"name": each.name, "max_connections": each.max_connections}
            for each in loaded.services
        ],
    }


def test_example_of_three_services_with_a_weighted_route_is_correct(
    monkeypatch, capsys
):
    code, text = _run(_EXAMPLE, monkeypatch, capsys)
    assert (code, text) == (0, f"{_EXAMPLE}: correct\n")
    loaded = settings_lib.load(str(_EXAMPLE), mesh.MeshConfiguration)
    assert len(loaded.services) == 3
    assert route_validation.validate(loaded) == ()
    assert max(len(route.destinations) for route in loaded.routes) == 2


@pytest.mark.parametrize(
    ("key", "value", "expected"),
    [
        (("version",), 0, "version: out-of-range"),
        (("host",), "Archive.example", "routes[0].host: out-of-range"),
        (("path_prefix",), "/slots", "routes[0].path_prefix: out-of-range"),
        (("timeout_s",), 0.0, "routes[0].timeout_s: out-of-range"),
        (("target_s",), -1.0, "routes[0].target_s: out-of-range"),
        (("max_attempts",), 0, "routes[0].max_attempts: out-of-range"),
        (
            ("destinations",),
            [{"service": "bookings", "weight": 0}],
            "routes[0].destinations: out-of-range",
        ),
        (
            ("destinations",),
            [
                {"service": "bookings", "weight": -1},
                {"service": "gallery", "weight": 2},
            ],
            "routes[0].destinations: out-of-range",
        ),
        (
            ("destinations",),
            [{"service": "kitchen", "weight": 1}],
            "routes[0].destinations[0].service: undefined-reference",
        ),
        (("colour",), 1, "routes[0].colour: unknown-key"),
    ],
)
def test_wrong_route_is_named_with_its_key(
    tmp_path, monkeypatch, capsys, key, value, expected
):
    document = _example()
    (name,) = key
    if name == "version":
        document[name] = value
    else:
        document["routes"][0][name] = value
    path = tmp_path / "routes.jsonc"
    path.write_text(json.dumps(document))
    code, text = _run(path, monkeypatch, capsys)
    assert code == 2
    assert expected in text


def test_routes_with_the_same_name_or_prefix_are_duplicates(
    tmp_path, monkeypatch, capsys
):
    document = _example()
    document["routes"].append(document["routes"][0])
    path = tmp_path / "routes.jsonc"
    path.write_text(json.dumps(document))
    code, text = _run(path, monkeypatch, capsys)
    assert code == 2
    assert "routes[1].name: duplicate" in text


def test_example_with_customers_is_correct(monkeypatch, capsys):
    path = _EXAMPLE.with_name("customers.jsonc")
    assert _run(path, monkeypatch, capsys)[0] == 0


@pytest.mark.parametrize(
    ("customers", "expected"),
    [
        ([{"name": "a"}, {"name": "a"}], "customers[1].name: duplicate"),
        (
            [{"name": "a", "keys": ["kk"]}, {"name": "b", "keys": ["kk"]}],
            "customers[1].keys: duplicate",
        ),
        (
            [{"name": "a", "keys": ["kk kk"]}],
            "customers[0].keys: out-of-range",
        ),
        (
            [{"name": "a", "rate_per_s": -1.0}],
            "customers[0].rate_per_s: out-of-range",
        ),
    ],
)
def test_wrong_customer_is_named_without_its_key(
    tmp_path, monkeypatch, capsys, customers, expected
):
    document = _example() | {"customers": customers, "has_customers": True}
    path = tmp_path / "routes.jsonc"
    path.write_text(json.dumps(document))
    code, text = _run(path, monkeypatch, capsys)
    assert code == 2
    assert expected in text
    assert "kk" not in text


def test_customers_that_would_not_be_checked_are_reported(
    tmp_path, monkeypatch, capsys
):
    path = tmp_path / "routes.jsonc"
    path.write_text(json.dumps(_example() | {"customers": [{"name": "a"}]}))
    code, text = _run(path, monkeypatch, capsys)
    assert code == 2
    assert "has_customers: out-of-range" in text


@pytest.mark.parametrize(
    ("evacuated", "code", "text"),
    [
        (["d"], 0, "correct"),
        (["x"], 2, "evacuated: undefined-reference"),
        (["d", "e"], 2, "no data centre is left"),
    ],
)
def test_evacuation_of_an_unknown_or_the_last_data_centre_is_a_problem(
    evacuated, code, text, monkeypatch, capsys, tmp_path
):
    data_centres = [{"name": name, "region": "eu"} for name in "de"]
    plan = {"data_centres": data_centres, "evacuated": evacuated}
    file = tmp_path / "plan.json"
    file.write_text(json.dumps(plan))
    arguments = ["trefoilwind-test", "evacuations", str(file), str(_EXAMPLE)]
    monkeypatch.setattr(sys, "argv", arguments)
    with pytest.raises(SystemExit) as ended:
        check.main()
    captured = capsys.readouterr()
    assert ended.value.code == code
    assert text in captured.out + captured.err
