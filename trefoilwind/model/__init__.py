"""Frozen data classes shared by all parts."""
