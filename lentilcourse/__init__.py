"""A layer-4 load balancer that keeps flows alive through change and refuses honestly."""

from __future__ import annotations
