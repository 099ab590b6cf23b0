"""Counting of the attempts that the entry node observed, for operators."""

from trefoilwind import environment as environment_lib
from trefoilwind.proxy import calls


def count(
    environment: environment_lib.Environment, observation: calls.Observation
) -> None:
    """Count one attempt; safe to call from any thread."""
    configuration = environment.blackboard.state.value.configuration
    target = configuration.target(observation.class_name)
    is_in_time = (
        target is not None and observation.latency_s <= target.latency_target_s
    )
    environment.metrics.attempt_ended(observation, is_in_time)
