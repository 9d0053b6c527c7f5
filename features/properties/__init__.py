"""Properties checked by hypothesis, by name; each module enters its own."""

from __future__ import annotations

import importlib

PROPERTIES = {}

MODULES = (
    "packets",
    "catalogue",
    "flows",
    "admission",
    "requests",
    "key_replication",
    "consensus",
    "streams",
    "steering",
    "steering_load",
    "placement",
    "placement_load",
    "directory",
    "platform",
    "formation",
    "founding",
    "logging",
    "regression",
    "soak",
    "broken_input",
    "orders",
    "handover",
)


def prop(name):
    """Enter a property under a name."""

    def enter(check):
        PROPERTIES[name] = check
        return check

    return enter


def find(name):
    """Return a property."""
    for module in MODULES:
        importlib.import_module(f"properties.{module}")
    return PROPERTIES[name]
