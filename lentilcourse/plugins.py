"""Imports the modules that register plug-ins; the only place that lists them."""

from __future__ import annotations

import importlib
from typing import Final

PLUGIN_MODULES: Final = (
    "lentilcourse.agent.delivery_udp",
    "lentilcourse.agent.role",
    "lentilcourse.balancer.policies",
    "lentilcourse.balancer.role",
    "lentilcourse.controller.role",
)


def load_plugins() -> None:
    """Import every plug-in module, so that each enters its registry."""
    for module in PLUGIN_MODULES:
        importlib.import_module(module)
