"""Messages as msgpack: one array of class name and fields for each message.

Serialization is `msgpack` and `cattrs`; this module only ties them to the table of message
classes and turns every fault of foreign bytes into `ProtocolError`. A field takes only values of
its own type: a conversion, such as `int("9" * 30)` or `bytes(2**40)`, would let a peer bring in
values that msgpack cannot carry on, or fill the memory.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, Final, TypeVar

import msgpack
from cattrs.preconf.msgpack import make_converter
from cattrs.strategies import configure_tagged_union

from lentilcourse import error_texts
from lentilcourse.errors import ProtocolError, UnencodableError
from lentilcourse.messages.base import MESSAGE_CLASSES

T = TypeVar("T")

MAX_MESSAGE_BYTES: Final = 64 * 1024 * 1024

_converter = make_converter(detailed_validation=False)
"""Names the first fault of a message only: the code that collects all of them would be generated
for each class at the start of each process."""


def _only(cls: type[T]) -> Callable[[Any, Any], T]:
    """Return a hook that takes values of `cls` as they are and refuses all others."""

    def check(value: Any, _: Any) -> T:
        if not isinstance(value, cls):
            raise TypeError(f"{type(value).__name__} in place of {cls.__name__}")
        return value

    return check


def _number(value: Any, _: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or math.isnan(value):
        raise TypeError(f"{value!r} in place of a number")
    return float(value)


for _cls in (bool, int, str, bytes):
    _converter.register_structure_hook(_cls, _only(_cls))
_converter.register_structure_hook(float, _number)


def register_union(union: Any, tag_name: str) -> None:
    """Tell the classes of a union apart by a field of that name."""
    configure_tagged_union(union, _converter, tag_name=tag_name)


def encode_message(msg: object) -> bytes:
    """Return the wire form of a message; raises `UnencodableError`."""
    return _pack([type(msg).__name__, _converter.unstructure(msg)])


def decode_message(body: object) -> object:
    """Return the message of an unpacked wire form; raises `ProtocolError`."""
    if not isinstance(body, list) or len(body) != 2 or not isinstance(body[0], str):
        raise ProtocolError(error_texts.MESSAGE_INVALID.format(cause="not a name and fields"))
    cls = MESSAGE_CLASSES.get(body[0])
    if cls is None:
        raise ProtocolError(error_texts.MESSAGE_UNEXPECTED.format(name=body[0][:64]))
    return structure(body[1], cls)


def structure(fields: object, cls: type[T]) -> T:
    """Return an object of `cls` from plain fields; raises `ProtocolError`."""
    try:
        return _converter.structure(fields, cls)
    except Exception as exc:
        text = error_texts.MESSAGE_INVALID.format(cause=f"{cls.__name__}: {exc}")
        raise ProtocolError(text) from exc


def pack_record(record: object) -> bytes:
    """Return any typed record as msgpack, for files; raises `UnencodableError`."""
    return _pack(_converter.unstructure(record))


def _pack(fields: object) -> bytes:
    try:
        packed: bytes = msgpack.packb(fields, use_bin_type=True)
    except Exception as exc:
        raise UnencodableError(error_texts.UNENCODABLE.format(cause=exc)) from exc
    return packed


def check_encodable(record: object) -> None:
    """Raise `UnencodableError` for a record that cannot be written to the log or sent."""
    pack_record(record)


def unpack_record(packed: bytes, cls: type[T]) -> T:
    """Return the record of `pack_record`; raises `ProtocolError`."""
    try:
        fields = msgpack.unpackb(packed, raw=False)
    except Exception as exc:
        raise ProtocolError(error_texts.MESSAGE_INVALID.format(cause=exc)) from exc
    return structure(fields, cls)


def new_unpacker(max_bytes: int) -> Any:
    """Return an incremental unpacker that refuses a message above `max_bytes`."""
    return msgpack.Unpacker(raw=False, max_buffer_size=max_bytes)


def read_message(unpacker: Any) -> object | None:
    """Return the next message that was fed whole, None if there is none yet.

    Raises `ProtocolError` for bytes that are no message.
    """
    try:
        packed = unpacker.unpack()
    except msgpack.OutOfData:
        return None
    except Exception as exc:
        raise ProtocolError(error_texts.MESSAGE_INVALID.format(cause=exc)) from exc
    return decode_message(packed)
