"""The table of message classes, and the messages that every stream has.

One class a message. `codec` puts them on the wire under their class name; to add a message,
add a class with the `message` decorator and handle it with `singledispatch` at the receiver.
A process knows the messages of the modules that it imports.
"""

from __future__ import annotations

from typing import Final, TypeVar

import attrs

M = TypeVar("M")

MESSAGE_CLASSES: Final[dict[str, type]] = {}


def message(cls: type[M]) -> type[M]:
    """Enter a class in the table of messages."""
    MESSAGE_CLASSES[cls.__name__] = cls
    return cls


@message
@attrs.frozen(kw_only=True)
class Challenge:
    """First message of the accepting side: a nonce to prove a key over."""

    nonce: bytes


@message
@attrs.frozen(kw_only=True)
class Hello:
    """Who connects; `kind` is "process" or "operator"."""

    name: str
    kind: str
    nonce: bytes
    proof: bytes


@message
@attrs.frozen(kw_only=True)
class Welcome:
    """The accepting side proves the same key."""

    name: str
    proof: bytes


@message
@attrs.frozen(kw_only=True)
class Failure:
    """A request could not be served; `code` is an error class name, `text` says why."""

    code: str
    text: str


@message
@attrs.frozen(kw_only=True)
class Heartbeat:
    """Sent on an idle stream; carries nothing."""


@message
@attrs.frozen(kw_only=True)
class Done:
    """A request without a result was carried out."""


@attrs.frozen(kw_only=True)
class Header:
    """One HTTP header field."""

    name: bytes
    value: bytes
