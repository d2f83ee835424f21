"""Finds all type errors in decoded JSON values.

msgspec stops at the first error and omits the keys of mappings from its paths,
so a value that can't be converted is checked part by part.
"""

from collections.abc import Iterator
import difflib
import types
import typing
from typing import Any
from typing import NamedTuple

import msgspec

from buckthorn_core import findings

MAX_MISMATCHES = 200


class TypeMismatch(NamedTuple):
    """A part of a value that does not match its type."""

    path: findings.Path
    code: str
    message: str


def find(
    value: Any, target: Any, path: findings.Path = ()
) -> Iterator[TypeMismatch]:
    """Yields the parts of a value that do not match a type."""
    message = _conversion_error(value, target)
    if message is None:
        return
    target = _resolve(target, value)
    origin, args = typing.get_origin(target), typing.get_args(target)
    if _is_struct(target) and isinstance(value, dict):
        yield from _find_in_struct(value, target, path)
    elif origin is dict and isinstance(value, dict):
        for key, item in value.items():
            yield from find(item, args[1], (*path, key))
    elif origin is list and isinstance(value, list):
        for index, item in enumerate(value):
            yield from find(item, args[0], (*path, index))
    else:
        yield TypeMismatch(path, "wrong-type", _message(message, path))


def _find_in_struct(
    value: dict[str, Any], target: Any, path: findings.Path
) -> Iterator[TypeMismatch]:
    fields = {field.encode_name: field for field in _fields(target)}
    for key, item in value.items():
        if key in fields:
            yield from find(item, fields[key].type, (*path, key))
        else:
            yield TypeMismatch(
                (*path, key), "unknown-key", _unknown_key_message(key, fields)
            )
    for name, field in fields.items():
        if field.required and name not in value:
            yield TypeMismatch(
                path, "missing-key", f"the key {name!r} is missing"
            )


def _fields(target: Any) -> tuple[Any, ...]:
    return tuple(msgspec.structs.fields(target))


def _unknown_key_message(key: str, known: typing.Iterable[str]) -> str:
    names = sorted(known)
    close = difflib.get_close_matches(key, names, 1)
    if close:
        return f"there is no key {key!r}; did you mean {close[0]!r}?"
    return f"there is no key {key!r}; the keys are {', '.join(names)}"


def _conversion_error(value: Any, target: Any) -> str | None:
    try:
        msgspec.convert(value, target)
    except msgspec.ValidationError as exc:
        return str(exc)
    return None


def _message(text: str, path: findings.Path) -> str:
    reason = text.partition(" - at ")[0].replace("`", "")
    return f"{path[-1]}: {reason}" if path else reason


def _is_struct(target: Any) -> bool:
    return isinstance(target, type) and issubclass(target, msgspec.Struct)


def _resolve(target: Any, value: Any) -> Any:
    """Resolves a `NewType`, and a union to its struct type for an object."""
    while hasattr(target, "__supertype__"):
        target = target.__supertype__
    if typing.get_origin(target) not in (types.UnionType, typing.Union):
        return target
    for member in typing.get_args(target):
        resolved = _resolve(member, value)
        if _is_struct(resolved) and isinstance(value, dict):
            return resolved
    return target
