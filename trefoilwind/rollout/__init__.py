"""Staged rollouts: evaluates new versions and derives their call shares."""
