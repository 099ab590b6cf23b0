"""The path of a call from a caller to a backend server."""
