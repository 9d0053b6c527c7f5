"""Identities that are unique without agreement."""

from __future__ import annotations

import uuid


def new_id() -> str:
    """Return a random identity (RFC 9562, version 4)."""
    return str(uuid.uuid4())
