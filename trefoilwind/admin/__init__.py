"""Administration API, status, metrics and timeline of a node."""
