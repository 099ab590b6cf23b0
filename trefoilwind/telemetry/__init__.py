"""Counters of a node and their export as metrics."""
