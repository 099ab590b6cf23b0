"""Routing by host and longest path prefix."""

import hypothesis
from hypothesis import strategies

from trefoilwind.model import mesh
from trefoilwind.routing import host_routes


def _route(prefix: str, host: str = "a.example") -> mesh.HostRoute:
    return mesh.HostRoute(
        f"{host}{prefix}",
        host,
        prefix,
        True,
        1.0,
        0.5,
        0,
        (mesh.Destination("s", 1.0),),
        2,
    )


def _table(*routes: mesh.HostRoute) -> host_routes.HostRouteTable:
    return host_routes.build(mesh.MeshConfiguration(7, routes))


def test_longest_prefix_wins():
    table = _table(_route("/a/"), _route("/a/b/"), _route("/"))
    assert table.match("a.example", "/a/b/c").path_prefix == "/a/b/"
    assert table.match("a.example", "/a/x").path_prefix == "/a/"
    assert table.match("a.example", "/x").path_prefix == "/"


def test_prefix_ends_at_a_slash():
    table = _table(_route("/a/"))
    assert table.match("a.example", "/a") is None
    assert table.match("a.example", "/ab/c") is None
    assert table.match("a.example", "/a/").path_prefix == "/a/"


def test_host_is_compared_without_port_and_case():
    table = _table(_route("/a/"))
    assert table.match("A.Example:8080", "/a/1") is not None
    assert table.match("b.example", "/a/1") is None


_SEGMENT = strategies.text(alphabet="ab", min_size=1, max_size=2)
_PREFIX = strategies.lists(_SEGMENT, max_size=3).map(
    lambda parts: "/" + "".join(f"{part}/" for part in parts)
)


@hypothesis.given(
    prefixes=strategies.sets(_PREFIX, min_size=1, max_size=6),
    path=strategies.text(alphabet="ab/", max_size=8).map(lambda t: f"/{t}"),
)
def test_match_agrees_with_a_scan(prefixes: set[str], path: str):
    table = _table(*map(_route, sorted(prefixes)))
    matching = [prefix for prefix in prefixes if path.startswith(prefix)]
    found = table.match("a.example", path)
    expected = max(matching, key=len, default=None)
    assert (found.path_prefix if found else None) == expected


@hypothesis.given(fraction=strategies.floats(0.0, 1.0, exclude_max=True))
def test_services_are_chosen_by_weight(fraction: float):
    destinations = (mesh.Destination("x", 90.0), mesh.Destination("y", 10.0))
    chosen = host_routes.service_at(destinations, fraction)
    if abs(fraction - 0.9) > 1e-9:
        assert chosen == ("x" if fraction < 0.9 else "y")
