"""Keeps a registration in the replicated state for each agent that may hold flows.

The directory is held in memory only and is lost when all processes end; registrations persist.
By comparing both, a process can tell whether the directory is missing an agent, which decides
whether a flow that no agent claims may be abandoned.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

from lentilcourse.actions import Action, ForgetAgent, RegisterAgent
from lentilcourse.directory import STATE_IDLE, AgentRecord
from lentilcourse.model import State

FORGET_AFTER_S: Final = 60.0
"""Silence after which an agent is unregistered: by then the flows of its target are obsolete."""

MAX_ACTIONS_PER_CALL: Final = 16
"""Most changes returned by one call: a quarter of the tasks that may propose at once."""


class Registrations:
    """Determines, at the leader, which agents to register or unregister."""

    def __init__(self) -> None:
        self._silent_since: dict[str, float] = {}

    def reset(self) -> None:
        """Restart the silence period of every agent, as after a change of leader."""
        self._silent_since.clear()

    def due(
        self,
        state: State,
        records: Collection[AgentRecord],
        gone: Collection[str],
        now: float,
    ) -> list[Action]:
        """Return the changes due, given the agents in the directory and those shut down.

        `records` holds the agents in the directory, `gone` the names of those shut down. An agent
        is registered while it has a target, since it holds no flow before, nor after the target
        has left as planned. At most `MAX_ACTIONS_PER_CALL` changes are returned; later calls
        return the rest.
        """
        actions: list[Action] = []
        for record in records:
            if record.name not in state.agents and record.state != STATE_IDLE:
                actions.append(RegisterAgent(name=record.name))
            elif record.name in state.agents and record.vacant:
                actions.append(ForgetAgent(name=record.name))
        present = {record.name for record in records}
        for name in present:
            self._silent_since.pop(name, None)
        for name in state.agents.keys() - present:
            silent_since = self._silent_since.setdefault(name, now)
            if name in gone or now - silent_since > FORGET_AFTER_S:
                actions.append(ForgetAgent(name=name))
        return actions[:MAX_ACTIONS_PER_CALL]
