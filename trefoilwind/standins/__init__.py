"""Small stand-ins of the platform for the demo and tests."""
