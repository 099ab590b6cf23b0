"""Counts of a node and their form for readers of metrics."""
