"""Typed access to the platform's JSON bodies; each fault names the field."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

from lentilcourse.errors import LentilcourseError
from lentilcourse.json_text import read_json

MAX_NUMBER: Final = 2**63 - 1


class MalformedCallError(LentilcourseError):
    """A body that can't be read, or a field with a wrong type or value."""


def read_object(body: bytes) -> Mapping[str, Any]:
    """Return the object of a JSON body; raises `MalformedCallError`."""
    try:
        value = read_json(body)
    except ValueError as exc:
        raise MalformedCallError(f"body is no JSON: {exc}") from exc
    return as_object(value, "body")


def as_object(value: object, name: str) -> Mapping[str, Any]:
    """Return a value that must be an object."""
    if not isinstance(value, dict):
        raise MalformedCallError(f"{name}: must be an object")
    return value


def objects(parent: Mapping[str, Any], name: str) -> list[Mapping[str, Any]]:
    """Return a field that must be a list of objects."""
    value = parent.get(name)
    if not isinstance(value, list):
        raise MalformedCallError(f"{name}: must be a list")
    return [as_object(each, name) for each in value]


def text(parent: Mapping[str, Any], name: str) -> str:
    """Return a field that must be a text with at least one character."""
    value = parent.get(name)
    if not isinstance(value, str) or not value:
        raise MalformedCallError(f"{name}: must be a text")
    return value


def whole(parent: Mapping[str, Any], name: str, least: int, default: int | None = None) -> int:
    """Return a field that must be a whole number of at least `least`."""
    value = parent.get(name, default)
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= MAX_NUMBER:
        raise MalformedCallError(f"{name}: must be a whole number from {least}")
    return value


def number(parent: Mapping[str, Any], name: str, default: float) -> float:
    """Return a field that must be a number of at least 0."""
    value = parent.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < MAX_NUMBER:
        raise MalformedCallError(f"{name}: must be a number from 0")
    return float(value)
