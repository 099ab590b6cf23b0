"""Delays between connection attempts."""

import random


def full_jitter_s(
    attempt: int, base_s: float, cap_s: float, rng: random.Random
) -> float:
    """Return a delay in seconds, uniform up to an exponential bound.

    Args:
        attempt: Index of the failed attempt, from 0.
        base_s: Bound after the first failure, in seconds.
        cap_s: Largest bound, in seconds.
        rng: Source of random numbers.
    """
    bound_s = min(cap_s, base_s * 2 ** min(attempt, 32))
    return rng.uniform(0.0, bound_s)
