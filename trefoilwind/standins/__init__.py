"""Stand-ins for the platform, callers and backend servers in demo and tests."""
