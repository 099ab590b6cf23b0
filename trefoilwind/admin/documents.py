"""Conversion of frozen data classes to and from JSON documents."""

import enum
from typing import Any

import cattrs
from cattrs.preconf import json as cattrs_json


def _make_converter() -> cattrs.Converter:
    # Ignores unknown fields, which nodes of a later release may add.
    converter = cattrs_json.make_converter()
    converter.register_unstructure_hook(enum.Enum, lambda member: member.value)
    return converter


_converter = _make_converter()


def to_plain(value: Any) -> Any:
    """Return a data class as maps, lists and scalars."""
    return _converter.unstructure(value)


def from_plain(plain: Any, cls: type) -> Any:
    """Return a document as an instance of a data class.

    Raises:
        ValueError: The document does not match the class.
    """
    try:
        return _converter.structure(plain, cls)
    except (cattrs.BaseValidationError, LookupError, TypeError) as error:
        raise ValueError(f"{cls} expected") from error
