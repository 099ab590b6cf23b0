"""Frozen data classes to and from JSON documents."""

import enum
from typing import Any

import cattrs
from cattrs.preconf import json as cattrs_json


def _make_converter() -> cattrs.Converter:
    # Fields that a later node adds to a document are ignored.
    converter = cattrs_json.make_converter()
    converter.register_unstructure_hook(enum.Enum, lambda member: member.value)
    return converter


_converter = _make_converter()


def to_plain(value: Any) -> Any:
    """Return the maps, lists and scalars of a data class."""
    return _converter.unstructure(value)


def from_plain(plain: Any, cls: type) -> Any:
    """Return the data class that a document describes.

    Raises:
        ValueError: The document does not fit.
    """
    try:
        return _converter.structure(plain, cls)
    except (cattrs.BaseValidationError, LookupError, TypeError) as error:
        raise ValueError(f"{cls} expected") from error
