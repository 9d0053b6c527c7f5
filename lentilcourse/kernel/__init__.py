"""The kernel: plug-in registry, tasks and lifecycle. It knows no plug-in by name."""

from __future__ import annotations
