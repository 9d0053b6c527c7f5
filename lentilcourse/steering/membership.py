"""What every steering process keeps: its copy of the state and the directory of agents."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

from lentilcourse.directory import AgentNotice, Directory
from lentilcourse.messages.state import Report
from lentilcourse.roles import ProcessContext
from lentilcourse.steering.peers import Peers
from lentilcourse.streams import KIND_PROCESS, Identity
from lentilcourse.subscription import (
    StateCopy,
    Subscription,
    named_controllers,
    seeded_controllers,
)


@attrs.frozen(kw_only=True)
class Following:
    """A steering process's view of the system, kept by a subscription."""

    copy: StateCopy
    directory: Directory
    peers: Peers
    subscription: Subscription


def follow(
    context: ProcessContext,
    open_flows: Callable[[], int],
    notice: Callable[[], AgentNotice | None] = lambda: None,
) -> Following:
    """Return the view of a process; the subscription is not started yet."""
    settings = context.settings
    copy = StateCopy()
    directory = Directory()

    def report() -> Report:
        return Report(
            name=settings.process.name,
            role=settings.process.role,
            domain=settings.process.domain,
            version=copy.current.version,
            flows=open_flows(),
            admin_address=str(settings.process.admin_address),
        )

    seeded = settings.discovery is not None
    subscription = Subscription(
        controllers=seeded_controllers(settings) if seeded else named_controllers(settings),
        identity=Identity(name=settings.process.name, kind=KIND_PROCESS, key=settings.cluster_key),
        copy=copy,
        lifecycle=context.lifecycle,
        report=report,
        announce=lambda: None,
        rng=random.Random(),
        directory=directory,
        notice=notice,
    )
    context.metrics.gauge("lentilcourse.state.version", lambda: copy.current.version)
    context.metrics.gauge("lentilcourse.catalogue.number", lambda: copy.current.catalogue.number)
    return Following(
        copy=copy,
        directory=directory,
        peers=Peers(directory=directory, copy=copy),
        subscription=subscription,
    )
