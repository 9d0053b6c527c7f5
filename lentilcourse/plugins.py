"""Imports the modules that register plug-ins; the only place that lists them.

A process imports only the modules of the plug-ins that its settings name, since imports are
paid at each restart.
"""

from __future__ import annotations

import importlib
from typing import Final

from lentilcourse import error_texts
from lentilcourse.errors import RegistryError

PLUGIN_MODULES: Final = {
    "balancer": ("lentilcourse.balancer.policies", "lentilcourse.balancer.role"),
    "agent": ("lentilcourse.agent.delivery_udp", "lentilcourse.agent.role"),
    "controller": ("lentilcourse.controller.role",),
    "steering-balancer": ("lentilcourse.steering.balancer_role",),
    "steering-agent": ("lentilcourse.steering.agent_role",),
    "platform-packets": ("lentilcourse.platform.packets",),
    "platform-target": ("lentilcourse.platform.target_calls",),
    "platform-operator": ("lentilcourse.platform.operator_calls",),
}


def load_plugin(name: str) -> None:
    """Import the modules of one plug-in, so that it enters its registry."""
    modules = PLUGIN_MODULES.get(name)
    if modules is None:
        known = ", ".join(sorted(PLUGIN_MODULES))
        raise RegistryError(
            error_texts.PLUGIN_UNKNOWN.format(kind="plug-in", name=name, known=known)
        )
    for module in modules:
        importlib.import_module(module)
