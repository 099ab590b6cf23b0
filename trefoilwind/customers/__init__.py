"""Customers: what their callers may do, over all nodes."""
