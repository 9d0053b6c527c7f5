"""Role balancer: carries packets and requests to the agents; keeps no flow state."""

from __future__ import annotations
