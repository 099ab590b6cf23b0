"""Spreading of log records and messages between nodes."""
