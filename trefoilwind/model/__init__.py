"""Frozen data classes shared by all packages."""
