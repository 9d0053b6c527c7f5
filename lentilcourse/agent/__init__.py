"""Role agent: decides beside the target what it takes, and keeps its flows and requests."""

from __future__ import annotations
