"""Stand-ins of the platform, callers and backend servers for demo and tests."""
