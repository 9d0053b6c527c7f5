"""The registry of process roles; each role package enters its start function here."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, TypeAlias

import attrs

from lentilcourse.admin import AdminServer
from lentilcourse.kernel.lifecycle import Lifecycle
from lentilcourse.kernel.registry import Registry
from lentilcourse.metrics import Metrics
from lentilcourse.options import Settings


@attrs.frozen(kw_only=True)
class ProcessContext:
    """What the kernel gives to a role.

    Attributes:
        settings: checked settings of the process.
        lifecycle: tasks, drain steps and closers.
        metrics: instruments of the process.
        admin: local HTTP server to which the role adds routes.
    """

    settings: Settings
    lifecycle: Lifecycle
    metrics: Metrics
    admin: AdminServer


RoleStart: TypeAlias = Callable[[ProcessContext], None]

ROLE_PLUGINS: Final[Registry[RoleStart]] = Registry(kind="role")
