"""Customers of the mesh: keys, access and quotas."""
