"""The agent role: admits flows and requests for its target and keeps track of them."""

from __future__ import annotations
