"""Administration API, status, metrics and the time line."""
