"""Choice of a backend server, limits, retries and idempotency."""
