"""Keeps the agents that may hold flows in the replicated state.

The directory forgets everything when all processes end; the registrations do not. A process
that knows both can tell whether an agent is missing from what it hears, which decides whether
a flow that nobody claims may be given up.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

from lentilcourse.actions import Action, ForgetAgent, RegisterAgent
from lentilcourse.directory import STATE_IDLE, AgentRecord
from lentilcourse.model import State

FORGET_AFTER_S: Final = 60.0
"""Silence after which an agent is forgotten: its target's flows have outlived their use."""

MAX_ACTIONS: Final = 16
"""Registrations that are proposed at once: a quarter of the tasks that may propose."""


class Registrations:
    """Decides, at the leader, which registrations are due."""

    def __init__(self) -> None:
        self._silent_since: dict[str, float] = {}

    def reset(self) -> None:
        """Count the silence of every agent anew, as a new leader does."""
        self._silent_since.clear()

    def due(
        self,
        state: State,
        records: Collection[AgentRecord],
        gone: Collection[str],
        now: float,
    ) -> list[Action]:
        """Return the changes that the agents heard (`records`) and ended (`gone`) call for.

        An agent is registered once it has a target: before that it can hold no flow. At most
        `MAX_ACTIONS` are returned; the rest is due at the next call.
        """
        actions: list[Action] = []
        for record in records:
            if record.name not in state.agents and record.state != STATE_IDLE:
                actions.append(RegisterAgent(name=record.name))
        heard = {record.name for record in records}
        for name in heard:
            self._silent_since.pop(name, None)
        for name in state.agents.keys() - heard:
            silent_since = self._silent_since.setdefault(name, now)
            if name in gone or now - silent_since > FORGET_AFTER_S:
                actions.append(ForgetAgent(name=name))
        return actions[:MAX_ACTIONS]
