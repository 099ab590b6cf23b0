"""Text of the preview of a request."""

from collections.abc import Mapping
from typing import Any


def render(document: Mapping[str, Any]) -> str:
    """Return a document of `gateway/placement_preview.py` as lines of text."""
    lines = [f"configuration {document['configuration']}"]
    route = document.get("route")
    if route is not None:
        lines.append(
            f"route {route['name']}: prefix {route['path_prefix']},"
            f" rank {route['rank']}"
        )
    customer = document.get("customer")
    if customer is not None:
        limit = "none"
        if customer["rate_per_s"]:
            limit = f"{customer['rate_per_s']:g}/s burst {customer['burst']:g}"
        lines.append(
            f"customer {customer['name']}: rank {customer['rank']},"
            f" limit {limit}, allowed regions"
            f" {_names(customer['allowed_regions'] or None, 'all')}"
        )
    quota = document.get("quota")
    if quota is not None:
        state = "there is one" if quota["has_token"] else "none now"
        lines.append(f"token at this node: {state}")
    if "service" in document:
        version = document["version"]
        lines.append(
            f"rank {document['rank']}, allowed regions"
            f" {_names(document['allowed_regions'], 'all')}"
        )
        lines.append(
            f"service {document['service']}"
            f" (share {route['shares'][document['service']]:g}), version"
            f" {version['name'] or 'any'} (share {version['share']:g})"
        )
    lines.append(f"evacuated: {_names(document['evacuated'], 'none')}")
    lines += [
        f"excluded, {reason}: {count}"
        for reason, count in document.get("excluded", {}).items()
    ]
    lines += [_candidate(each) for each in document.get("candidates", ())]
    lines.append(_end(document))
    return "\n".join(lines)


def _candidate(row: Mapping[str, Any]) -> str:
    parts = " + ".join(
        f"{name} {1000 * seconds:.1f}"
        for name, seconds in row["parts_s"].items()
    )
    return (
        f"candidate {row['node']} ({row['distance']}):"
        f" {1000 * row['cost_s']:.1f} ms = {parts};"
        f" {row['occupied']:g} of {row['slots']} slots occupied;"
        f" age of load {_age(row['load_age_s'])},"
        f" of service time {_age(row['service_time_age_s'])}"
    )


def _end(document: Mapping[str, Any]) -> str:
    chosen = document.get("chosen")
    if chosen is not None:
        wait_ms = 1000 * chosen["wait_s"]
        return f"chosen {chosen['node']}, expected wait {wait_ms:.1f} ms"
    refusal = document["refusal"]
    text = f"refused with {refusal['status']}: {refusal['reason']}"
    if "retry_after_s" in refusal:
        first, last = refusal["retry_after_s"]
        text += f", Retry-After {first:g} to {last:g} s"
    return text


def _names(names: list[str] | None, otherwise: str) -> str:
    if names is None:
        return otherwise
    return ", ".join(names) or "none"


def _age(seconds: float | None) -> str:
    return "unknown" if seconds is None else f"{seconds:.1f} s"
