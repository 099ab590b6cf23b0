"""Node process: actors that run the controllers, and its servers."""
