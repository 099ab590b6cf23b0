"""Choice of the nodes that read the log for a data centre."""

import xxhash

from trefoilwind import environment as environment_lib


def rendezvous(key: str, nodes: tuple[str, ...], count: int) -> tuple[str, ...]:
    """Return the `count` nodes that rank highest for a key.

    Args:
        key: What the nodes are chosen for.
        nodes: Ids of the candidates.
        count: Largest number of nodes to return.
    """
    ranked = sorted(
        nodes,
        key=lambda node: xxhash.xxh3_64_intdigest(f"{key}\0{node}".encode()),
        reverse=True,
    )
    return tuple(ranked[:count])


def is_reader(environment: environment_lib.Environment) -> bool:
    """Return True if this node should read the log."""
    data_centre = environment.settings.data_centre
    nodes = environment.blackboard.members.value.in_data_centre(data_centre)
    chosen = rendezvous(
        f"log-reader/{data_centre}",
        nodes,
        environment.settings.log.readers_per_data_centre,
    )
    return environment.node_id in chosen
