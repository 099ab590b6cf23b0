"""Structured logs: rate-limited lines of JSON, and programs that read them."""
