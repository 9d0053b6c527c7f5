"""Commands of the operators' command line; each module registers its own."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

from lentilcourse.kernel.registry import Registry

COMMANDS: Final[Registry[Callable[..., Any]]] = Registry(kind="command")
