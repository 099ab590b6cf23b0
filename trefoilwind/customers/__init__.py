"""Customers of the mesh: keys and access."""
