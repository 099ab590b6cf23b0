"""Measurements; each module prints a table and ends by itself."""
