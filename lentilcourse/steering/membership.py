"""System view of a steering process: its copy of the replicated state and the agent directory."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

import attrs

from lentilcourse.directory import AgentNotice, AgentRecord, Directory
from lentilcourse.logs import get_logger
from lentilcourse.messages.state import Report
from lentilcourse.model import State
from lentilcourse.roles import ProcessContext
from lentilcourse.steering.peers import Peers
from lentilcourse.streams import KIND_PROCESS, Identity
from lentilcourse.subscription import (
    StateCopy,
    Subscription,
    named_controllers,
    seeded_controllers,
)

MAX_AGENT_LINES: Final = 3
"""Changed agents that get a line each."""
MAX_NAMES: Final = 16

_log = get_logger(__name__)


@attrs.frozen(kw_only=True)
class SystemView:
    """A steering process's view of the system, kept up to date by a subscription."""

    copy: StateCopy
    directory: Directory
    peers: Peers
    subscription: Subscription


class ViewChangeLog:
    """Logs each change in a process's view of the system."""

    def __init__(self) -> None:
        self._state = State()
        self._agents: dict[str, AgentRecord] = {}

    def on_state(self, state: State, now: float) -> None:
        """Log the changes of a new replicated state."""
        before, self._state = self._state, state
        if state.catalogue.number != before.catalogue.number:
            _log.info("catalogue_in_force", number=state.catalogue.number, version=state.version)
        for name, domain in state.domains.items():
            if domain != before.domains.get(name):
                _log.info(
                    "domain_state", domain=name, state=domain.state.value, version=state.version
                )

    def on_agents(self, records: tuple[AgentRecord, ...]) -> None:
        """Log the changes of the agent records; many at once share a line."""
        known, self._agents = self._agents, {record.name: record for record in records}
        changed = [record for record in records if record != known.get(record.name)]
        dropped = sorted(known.keys() - self._agents.keys())
        if len(changed) + len(dropped) > MAX_AGENT_LINES:
            _log.info(
                "agents_changed",
                known=len(changed),
                dropped=len(dropped),
                agents=len(self._agents),
                names=[*(record.name for record in changed), *dropped][:MAX_NAMES],
            )
            return
        for record in changed:
            _log.info("agent_known", agent=record.name, state=record.state, service=record.service)
        for name in dropped:
            _log.info("agent_dropped", agent=name, state=known[name].state)


def create_system_view(
    context: ProcessContext,
    open_flows: Callable[[], int],
    notice: Callable[[], AgentNotice | None] = lambda: None,
    on_change: Callable[[], None] = lambda: None,
) -> SystemView:
    """Create the system view of a process; the caller must start its subscription.

    `on_change` is called after each change of the state or the directory.
    """
    settings = context.settings
    copy = StateCopy()
    change_log = ViewChangeLog()

    def on_agents() -> None:
        change_log.on_agents(directory.records())
        on_change()

    def on_state(state: State, now: float) -> None:
        change_log.on_state(state, now)
        on_change()

    directory = Directory(on_change=on_agents)

    def report() -> Report:
        return Report(
            name=settings.process.name,
            role=settings.process.role,
            domain=settings.process.domain,
            version=copy.current.version,
            flows=open_flows(),
            admin_address=str(settings.process.admin_address),
        )

    copy.listen(on_state)
    uses_discovery = settings.discovery is not None
    subscription = Subscription(
        controllers=seeded_controllers(settings) if uses_discovery else named_controllers(settings),
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
    return SystemView(
        copy=copy,
        directory=directory,
        peers=Peers(directory=directory, copy=copy),
        subscription=subscription,
    )
