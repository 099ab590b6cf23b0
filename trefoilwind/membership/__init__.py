"""Announcements of backend servers and their leases."""
