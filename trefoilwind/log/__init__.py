"""Access to the platform's append-only log, and the fold of its records."""
