"""Role controller: the replicated catalogue, membership of targets and the audit trail."""

from __future__ import annotations
