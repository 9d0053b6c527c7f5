"""The controller role: replicated catalogue, target membership and audit trail."""

from __future__ import annotations
