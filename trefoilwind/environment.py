"""Environment shared by the parts of a node; stages fill it in order."""

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
    """What every part of a node is given.

    Attributes:
        settings: The node's settings.
        clock: Source of time.
        random: Source of random numbers; not for use by call threads.
        blackboard: Snapshots that controllers share.
        events: The process's time line.
        incarnation: Wall milliseconds at the start of the process.
        metrics: Counts for operators.
        record_results: What became of records that operators asked for.
        peer_address: Where the node accepts peer streams, once it listens.
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
        """Id of this node."""
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
        seed: Seed of the random numbers; None for one from the system.
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
