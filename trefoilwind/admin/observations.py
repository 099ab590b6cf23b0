"""Counts what the entry of calls observed, for operators."""

from trefoilwind import environment as environment_lib
from trefoilwind.admin import metrics
from trefoilwind.proxy import calls


def count(
    environment: environment_lib.Environment, observation: calls.Observation
) -> None:
    """Count one attempt; may be called by any thread."""
    configuration = environment.blackboard.state.value.configuration
    target = configuration.target(observation.class_name)
    is_in_time = (
        target is not None and observation.latency_s <= target.latency_target_s
    )
    environment.metrics.attempt_ended(
        metrics.Attempt(
            class_name=observation.class_name,
            node_id=observation.node_id,
            move_id=observation.move_id,
            path_prefix=observation.path_prefix,
            version=observation.version,
            latency_s=observation.latency_s,
            failed=observation.failed,
            shed=observation.shed,
            in_time=is_in_time,
        )
    )
