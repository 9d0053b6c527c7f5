"""Counters of an agent's packet path."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True)
class FlowCounts:
    """Packets and flow events since the agent started."""

    received: int = 0
    delivered: int = 0
    answered: int = 0
    forwarded: int = 0
    probes: int = 0
    unbuffered: int = 0
    malformed: int = 0
    failed: int = 0
    wrong_service: int = 0
    domain_out: int = 0
    unknown_flow: int = 0
    no_owner: int = 0
    behind: int = 0
    recovering: int = 0
    accepted: int = 0
    declined: int = 0
    ended_idle: int = 0
    ended_closed: int = 0
    ended_domain_out: int = 0
    ended_target_gone: int = 0
    ended_entry_gone: int = 0
    recovered: int = 0
    owner_conflicts: int = 0
