"""Objects that all components of a node share."""

import dataclasses
import random

from trefoilwind import blackboard as blackboard_lib
from trefoilwind import clock as clock_lib
from trefoilwind import events as events_lib
from trefoilwind import settings as settings_lib
from trefoilwind.admin import metrics as metrics_lib
from trefoilwind.admin import record_results as record_results_lib
from trefoilwind.model import addresses


@dataclasses.dataclass
class Environment:
    """Shared objects, passed to every component of a node.

    Attributes:
        settings: The node's settings.
        clock: Source of time.
        random: Source of random numbers; call threads must not use it.
        blackboard: Snapshots that controllers share.
        events: Log of the process's events.
        incarnation: Wall milliseconds at the start of the process.
        metrics: Metrics for operators.
        record_results: Results of the records that operators submitted.
        peer_address: Address on which the node accepts peer streams. The port
            is final once the node listens.
    """

    settings: settings_lib.NodeSettings
    clock: clock_lib.Clock
    random: random.Random
    blackboard: blackboard_lib.Blackboard
    events: events_lib.EventLog
    incarnation: int
    metrics: metrics_lib.Metrics
    record_results: record_results_lib.RecordResults
    peer_address: addresses.Address = addresses.Address()

    @property
    def node_id(self) -> str:
        """Unique id of this node."""
        return self.settings.node_id


def make(
    settings: settings_lib.NodeSettings,
    clock: clock_lib.Clock,
    seed: int | None = None,
) -> Environment:
    """Return a fresh environment.

    Args:
        settings: The node's settings.
        clock: Source of time.
        seed: Seed of the random numbers; None for a random seed.
    """
    events = events_lib.EventLog(settings.node_id, clock)
    metrics = metrics_lib.Metrics(clock)
    metrics.watch(events)
    return Environment(
        settings=settings,
        clock=clock,
        random=random.Random(seed),
        blackboard=blackboard_lib.Blackboard(),
        events=events,
        incarnation=int(clock.wall() * 1000),
        metrics=metrics,
        record_results=record_results_lib.RecordResults(events.hybrid_clock),
        peer_address=settings.peer_address,
    )
