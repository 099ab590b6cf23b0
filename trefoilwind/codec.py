"""Encoding of typed messages as msgpack.

A message is a frozen data class registered under a short tag. On the wire it
is the array [tag, fields]. Fields are encoded in the order of their definition,
so new fields need defaults and are added last.
"""

import dataclasses
import math
from typing import Any
from typing import TypeVar

import cattrs
from cattrs.preconf import msgpack as cattrs_msgpack
import msgpack

from trefoilwind import errors

_T = TypeVar("_T")

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
_PLAIN_SCALARS = frozenset({str, bool, bytes, int})

_classes_by_tag: dict[str, type] = {}
_tags_by_class: dict[type, str] = {}


def _exact_type_hook(expected: type):
    def structure(value: Any, _: Any) -> Any:
        if type(value) is not expected:
            raise TypeError(f"{expected.__name__} expected")
        return value

    return structure


def _structure_float(value: Any, _: Any) -> float:
    """Return a finite number; NaN and infinity would break comparisons."""
    if type(value) not in (float, int) or not math.isfinite(value):
        raise TypeError("finite number expected")
    return float(value)


def _make_converter() -> cattrs.Converter:
    converter = cattrs_msgpack.make_converter(detailed_validation=False)
    for scalar in (str, bool, bytes, int):
        converter.register_structure_hook(scalar, _exact_type_hook(scalar))
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook_factory(
        dataclasses.is_dataclass, _structure_fields(converter)
    )
    converter.register_unstructure_hook_factory(
        dataclasses.is_dataclass, _unstructure_fields(converter)
    )
    return converter


def _structure_fields(converter: cattrs.Converter):
    """Return a factory of hooks that build a data class from a list."""

    def factory(cls: type):
        fields = dataclasses.fields(cls)
        # Scalars are checked inline, as a function call for each of them would
        # take half of the decoding time.
        hooks = [
            (
                None
                if field.type in _PLAIN_SCALARS
                else converter.get_structure_hook(field.type),
                field.type,
            )
            for field in fields
        ]
        required = sum(
            field.default is dataclasses.MISSING
            and field.default_factory is dataclasses.MISSING
            for field in fields
        )

        def structure(values: Any, _: Any) -> Any:
            if type(values) is not list:
                raise TypeError("list expected")
            if not required <= len(values) <= len(hooks):
                raise ValueError("wrong number of fields")
            items = []
            for value, (hook, type_) in zip(values, hooks, strict=False):
                if hook is not None:
                    items.append(hook(value, type_))
                elif type(value) is type_:
                    items.append(value)
                else:
                    raise TypeError(f"{type_.__name__} expected")
            return cls(*items)

        return structure

    return factory


def _unstructure_fields(converter: cattrs.Converter):
    """Return a factory of hooks that turn a data class into a list."""

    def factory(cls: type):
        hooks = [
            (
                field.name,
                None
                if field.type in _PLAIN_SCALARS
                else converter.get_unstructure_hook(field.type),
            )
            for field in dataclasses.fields(cls)
        ]

        def unstructure(value: Any) -> list:
            return [
                hook(getattr(value, name)) if hook else getattr(value, name)
                for name, hook in hooks
            ]

        return unstructure

    return factory


_converter = _make_converter()


def message(tag: str):
    """Return a class decorator that registers a frozen data class.

    Args:
        tag: Short name that identifies the class on the wire; unique.
    """

    def register(cls: type[_T]) -> type[_T]:
        if tag in _classes_by_tag:
            raise ValueError(f"tag {tag} is registered twice")
        _classes_by_tag[tag] = cls
        _tags_by_class[cls] = tag
        return cls

    return register


def registry() -> tuple[tuple[str, type], ...]:
    """Return the tags and classes of all messages, sorted by tag."""
    return tuple(sorted(_classes_by_tag.items()))


def to_plain(value: Any) -> Any:
    """Return a data class as nested lists and scalars."""
    return _converter.unstructure(value)


def encode(value: Any) -> bytes:
    """Return a registered message as bytes."""
    tag = _tags_by_class[type(value)]
    return msgpack.packb((tag, _converter.unstructure(value)))


def decode(data: bytes, step: str, peer: str = "") -> Any | errors.StreamError:
    """Return the message in `data`, or an error value; never raises.

    Args:
        data: Bytes as made by `encode`.
        step: Step that an error reports.
        peer: Peer that an error reports.
    """
    try:
        if len(data) > MAX_MESSAGE_BYTES:
            raise ValueError("message exceeds the size limit")
        tag, fields = msgpack.unpackb(data)
        cls = _classes_by_tag[tag]
        return _converter.structure(fields, cls)
    except Exception as error:  # Any failure is due to malformed input.
        return errors.StreamError(
            errors.Reason.UNDECODABLE, step, peer, type(error).__name__
        )
