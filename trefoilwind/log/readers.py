"""Selection of the nodes that read the log."""

from trefoilwind import environment as environment_lib
from trefoilwind.distribution import topology


def is_reader(environment: environment_lib.Environment) -> bool:
    """Return True if this node should read the log.

    In the log's region a few nodes of each data centre read it. In any other
    region a single node does, so that records cross the paid link only once.
    """
    settings = environment.settings
    members = environment.blackboard.members.value
    if settings.log.region in ("", settings.region):
        count = settings.log.readers_per_data_centre
        chosen = topology.relays(members, settings.data_centre, count)
    else:
        chosen = topology.gateways(members, settings.region, 1)
    return environment.node_id in chosen
