"""Packets that tell a caller that its flow was refused or ended."""

from __future__ import annotations

from typing import Final

from lentilcourse.agent.admission import DECLINE_CAUSE, Decline
from lentilcourse.geneve import PLAIN_HEADER
from lentilcourse.messages.requests import Refusal
from lentilcourse.model import Entry
from lentilcourse.packets import (
    ICMP_CODE_HOST_UNREACHABLE,
    ICMP_CODE_PROHIBITED,
    PROTOCOL_TCP,
    build_refusal,
    build_reset,
)
from lentilcourse.refusals import (
    RAN_NO,
    REASON_OWNER_LIMIT,
    Cause,
    describe,
    owner_refusal,
    system_refusal,
)

LIMIT_NAMES: Final = (
    (Decline.OPEN_FLOWS, "open_flows"),
    (Decline.NEW_FLOWS, "new_flows_per_s"),
)


def refusal_of_declines(entry: Entry, declines: tuple[int, ...]) -> Refusal:
    """Return the refusal of a new flow that all candidates have declined.

    It names a limit set by the entry's owner only if every candidate declined because of it.
    """
    reasons = [Decline(code) for code in declines]
    for limit, name in LIMIT_NAMES:
        if reasons and all(reason is limit for reason in reasons):
            return owner_refusal(entry, name, getattr(entry.limits, name))
    causes = [DECLINE_CAUSE[reason] for reason in reasons if reason in DECLINE_CAUSE]
    return system_refusal(causes[-1] if causes else Cause.NO_TARGET, RAN_NO, entry.name)


def refusal_datagrams(packet: bytes, refusal: Refusal) -> list[bytes]:
    """Return the datagrams that refuse `packet`: an ICMP error and, for TCP, a reset."""
    owner_limit = refusal.reason == REASON_OWNER_LIMIT
    code = ICMP_CODE_PROHIBITED if owner_limit else ICMP_CODE_HOST_UNREACHABLE
    text = f"{describe(refusal)} [{refusal.refusal_id}]"
    datagrams = [PLAIN_HEADER + build_refusal(packet, code, text)]
    if packet[9] == PROTOCOL_TCP:
        datagrams.append(PLAIN_HEADER + build_reset(packet))
    return datagrams
