"""Event-loop path of calls: caller server, peer streams, backend server."""
