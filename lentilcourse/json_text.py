"""Reads JSON that another program or a person wrote.

Accepts I-JSON (RFC 7493), which is what every codec of the system can carry on: UTF-8, no half of
a surrogate pair, no name twice in an object, no `NaN` or `Infinity`. The standard library's reader
takes all of these.
"""

from __future__ import annotations

import json
from typing import Any, NoReturn


def read_json(raw: bytes) -> Any:
    """Return the value of a JSON text; raises `ValueError` for bytes that are not I-JSON."""
    try:
        value = json.loads(
            raw.decode("utf-8"),
            parse_constant=_refuse_constant,
            object_pairs_hook=_object_of_pairs,
        )
        if b"\\u" in raw:
            json.dumps(value, ensure_ascii=False).encode("utf-8")
    except RecursionError as exc:
        raise ValueError("too many levels") from exc
    return value


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not JSON")


def _object_of_pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    value = dict(pairs)
    if len(value) != len(pairs):
        raise ValueError("a name stands twice in an object")
    return value
