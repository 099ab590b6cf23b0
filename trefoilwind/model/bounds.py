"""Bounds on values that other writers send; pure functions.

Values within them can be encoded again by each encoding that this project
uses, compared, added and used as a part of a key.
"""

# Largest integer that every JSON reader keeps exact; sums of a few of them fit
# into the 64 bits of the messages between nodes.
MAX_COUNT = 2**53 - 1
# Latest wall clock in milliseconds since 1970, in the year 2109. A later one
# would supersede all that are written after it.
MAX_TIME_MS = 2**42
# Largest number of calls that a backend server runs at once: an address has no
# more ports, and a connection carries one call at a time.
MAX_SLOTS = 65535
# Largest name in bytes; with its prefix it fits into a key of the store, whose
# length is one byte.
MAX_NAME_BYTES = 200
# Largest number of customers' keys in a configuration.
MAX_KEYS = 100_000
# Longest key of a customer in bytes.
MAX_KEY_BYTES = 512


def is_name(text: str) -> bool:
    """Return True if a string can be a name, also in a key or on one line."""
    return text.isprintable() and 0 < len(text.encode()) <= MAX_NAME_BYTES


def is_count(value: int) -> bool:
    """Return True if an integer can be a counter or a size."""
    return 0 <= value <= MAX_COUNT


def is_time_ms(value: int) -> bool:
    """Return True if an integer can be a wall clock in milliseconds."""
    return 0 <= value <= MAX_TIME_MS


def is_key(text: str) -> bool:
    """Return True if a request can carry a text as its key."""
    is_short = 0 < len(text.encode()) <= MAX_KEY_BYTES
    return is_short and text.isprintable() and " " not in text
