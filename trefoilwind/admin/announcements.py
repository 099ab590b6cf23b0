"""Parser of the announcements of backend servers in request bodies."""

from trefoilwind import errors
from trefoilwind import json_documents
from trefoilwind import settings as settings_lib
from trefoilwind.model import addresses
from trefoilwind.node import messages

MAX_SLOTS = 100_000
MAX_LABELS = 64
MAX_LABEL_CHARACTERS = 256


def parse(text: str) -> messages.Announcement | errors.SettingsError:
    """Return the announcement in a request body, or an error; never raises."""
    announcement = settings_lib.parse(text, messages.Announcement, "request")
    if isinstance(announcement, errors.Error):
        return announcement
    for path, is_valid in _checks(announcement):
        if not is_valid:
            return errors.SettingsError(
                errors.Reason.OUT_OF_RANGE,
                "admin.announce",
                "request",
                path=path,
            )
    return announcement


def _checks(found: messages.Announcement) -> tuple[tuple[str, bool], ...]:
    """Return pairs of a field's path and whether its value is valid."""
    is_name = json_documents.is_name
    labels_fit = len(found.labels) <= MAX_LABELS and all(
        is_name(label.key) and len(label.value) <= MAX_LABEL_CHARACTERS
        for label in found.labels
    )
    return (
        ("service", is_name(found.service) and "/" not in found.service),
        ("version", is_name(found.version)),
        ("port", 0 < found.port <= addresses.MAX_PORT),
        ("host", addresses.parse_ip_address(found.host) is not None),
        ("slots", 0 < found.slots <= MAX_SLOTS),
        ("labels", labels_fit),
    )
