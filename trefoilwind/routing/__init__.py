"""Load balancing, concurrency limits, retries and idempotency keys."""
