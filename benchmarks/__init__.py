"""Measurements; each module prints one table."""
