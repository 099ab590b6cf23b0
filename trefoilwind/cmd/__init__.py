"""Thin entry points of the programs."""
