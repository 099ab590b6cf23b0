"""Settings file of the platform."""

import pathlib
import subprocess
import sys

import pytest

from trefoilwind import errors
from trefoilwind.platform import program
from trefoilwind.platform import settings as settings_lib

_FILE = """
[self]
node = "sidecar-1"
role = "node"
ip = "10.1.0.35"
zone = "perth-a"
region = "perth"
app_addr = "10.1.0.35:8147"
service = "s"
[network]
internal_ports = [7660, 7675]
[network.zones]
perth-a = "perth"
[network.listen]
inbound = "10.1.0.35:8145"
outbound = "10.1.0.35:8141"
ready = "10.1.0.35:8140"
control = "10.1.0.35:8146"
[platform]
heartbeat_interval_s = 1.5
[platform.platform]
address = "10.200.1.7:8142"
[terms.bounds]
grace_s = 6
budget_ratio = 0.2
unheard_of = true
"""


def test_file_is_read_and_unknown_keys_are_ignored():
    settings = settings_lib.parse(_FILE, "local.toml")
    assert settings.machine.node == "sidecar-1"
    assert settings.terms.bounds.grace_s == 6.0
    mesh_settings = program.mesh_settings(settings)
    assert mesh_settings.node_id == "sidecar-1"
    assert str(mesh_settings.peer_address) == "10.1.0.35:8145"
    assert mesh_settings.data_centres == {"perth-a": "perth"}


@pytest.mark.parametrize(
    ("old", "new", "path", "reason"),
    [
        ("[self]", "[other]", "self", errors.Reason.MISSING_KEY),
        ('zone = "perth-a"', "", "self.zone", errors.Reason.MISSING_KEY),
        ('"perth-a"', "5", "self.zone", errors.Reason.WRONG_TYPE),
        (
            "10.1.0.35:8147",
            "somewhere",
            "self.app_addr",
            errors.Reason.OUT_OF_RANGE,
        ),
        (
            "10.200.1.7:8142",
            "10.200.1.7:0",
            "platform.platform.address",
            errors.Reason.OUT_OF_RANGE,
        ),
        (
            "grace_s = 6",
            'grace_s = "6"',
            "terms.bounds.grace_s",
            errors.Reason.WRONG_TYPE,
        ),
        (
            'perth-a = "perth"',
            "perth-a = 5",
            "network.zones.perth-a",
            errors.Reason.WRONG_TYPE,
        ),
        ("[self]", "[self", "", errors.Reason.SYNTAX),
    ],
)
def test_error_of_an_invalid_file_has_the_path_of_its_key(
    old: str, new: str, path: str, reason: errors.Reason
):
    result = settings_lib.parse(_FILE.replace(old, new), "local.toml")
    assert result.reason is reason
    assert result.path == path
    assert "local.toml" in str(result)


@pytest.mark.parametrize(
    "value",
    ["[" * 100_000, "{a=" * 100_000, "9" * 5000, "0x" + "f" * 5000, "1e999"],
    ids=lambda value: value[:6],
)
def test_odd_value_is_an_error_or_ignored(value: str):
    result = settings_lib.parse(f"x = {value}\n{_FILE}", "local.toml")
    if isinstance(result, errors.SettingsError):
        assert result.reason is errors.Reason.SYNTAX
    else:
        assert result.machine.node == "sidecar-1"
    changed = _FILE.replace("grace_s = 6", f"grace_s = {value}")
    result = settings_lib.parse(changed, "local.toml")
    assert isinstance(result, errors.SettingsError)
    assert "local.toml" in str(result)


class _Node:
    """Records the settings that it is updated with."""

    def __init__(self) -> None:
        self.updates = []

    def update(self, settings) -> None:
        """Record settings."""
        self.updates.append(settings)


def test_reload_applies_a_valid_file_and_ignores_an_invalid_one(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
):
    path = tmp_path / "local.toml"
    monkeypatch.setenv(settings_lib.PATH_VARIABLE, str(path))
    node = _Node()
    path.write_text(_FILE)
    before = settings_lib.file_signature()
    program._reload(node)
    path.write_text(_FILE.replace("[self]", "[self"))
    program._reload(node)
    assert len(node.updates) == 1
    assert settings_lib.file_signature() != before
    path.unlink()
    assert settings_lib.file_signature() == (0, 0)


def _start(environment: dict[str, str]) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "trefoilwind.cmd.platform_node"],
        env={"PATH": "", **environment},
        capture_output=True,
        text=True,
        check=False,
    )


def test_program_reports_invalid_settings_in_one_line(tmp_path: pathlib.Path):
    bad = tmp_path / "bad.toml"
    bad.write_text(_FILE.replace('zone = "perth-a"', "zone = 5"))
    for environment in (
        {},
        {settings_lib.PATH_VARIABLE: str(tmp_path / "missing.toml")},
        {settings_lib.PATH_VARIABLE: str(bad)},
    ):
        done = _start(environment)
        assert done.returncode == 2
        assert len(done.stderr.splitlines()) == 1
    assert "bad.toml" in done.stderr
    assert "self.zone" in done.stderr
