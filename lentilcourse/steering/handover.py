"""Hands what an agent knows of its target's flows to the process that follows it.

Only the target knows its flows, and it can only be asked by giving it a packet, which is wrong
wherever the flow is not held. An agent that starts beside a running target would have to answer
every search with "unsure", and after one round of restarts all targets would get packets of flows
that they do not hold.

So an agent that stops as planned leaves the list of its flows with a few other agents (keepers),
and its successor recalls it. All packets of a target pass its agent, hence nothing is opened
between the two processes: if the list was complete, the successor knows every flow of the target,
also if the target has started again meanwhile. A keeper that stops passes on what it keeps. A list
is given to one process only: a later one would not find the flows of that process in it.

Keepers come in an order that every agent derives from the owner's address, so the successor finds
them, and nothing is done at other agents. The methods require the lock of the agent's flows.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import attrs

from lentilcourse.clocks import MS_PER_S
from lentilcourse.logs import get_logger
from lentilcourse.steering.candidates import flow_candidates
from lentilcourse.steering.datagrams import Kind, Send
from lentilcourse.steering.flow_lists import (
    UNKNOWN_RUN,
    FlowList,
    ListPart,
    ListRecall,
    PartKept,
    decode_kept,
    decode_part,
    decode_recall,
    encode_kept,
    encode_part,
    encode_recall,
    split_list,
)
from lentilcourse.steering.peers import Peers, hash_key

PeerAddress = tuple[str, int]

KEEPERS: Final = 3
"""Agents that keep a list: they may be restarted in the same round."""
MAX_ASKED_KEEPERS: Final = 8
"""Agents that are tried as keepers, and asked by the successor."""
RESEND_INTERVAL_S: Final = 0.04
"""Time without an acknowledgement after which a part or a recall is sent again: many round trips
between failure domains."""
RECALL_TIMEOUT_S: Final = 0.5
"""Time after the first recall after which no list is expected any more."""
START_TIMEOUT_S: Final = 2.5
"""Time after the start of the process after which it recalls nothing any more."""
KEEP_LIFE_S: Final = 10.0
"""Time for which a list is kept: longer than a planned restart. A keeper that no recall reaches
might otherwise give its list to a later process."""
MAX_KEPT_LISTS: Final = 64

_log = get_logger(__name__)


@attrs.define(kw_only=True)
class KeptList:
    """A list of another agent, whole or in parts.

    Attributes:
        stopped_ms: time at which the list was made; a newer list replaces an older one.
        parts: number of parts.
        received: parts received, by number.
        kept_at: time of the last part (monotonic seconds).
        taken_by_ms: start of the process that has recalled the list, 0 for none.
    """

    stopped_ms: int
    parts: int
    received: dict[int, ListPart] = attrs.field(factory=dict)
    kept_at: float
    taken_by_ms: int = 0

    @property
    def whole(self) -> bool:
        """Whether all parts are here."""
        return len(self.received) == self.parts

    def in_order(self) -> list[ListPart]:
        """Return the parts in order."""
        return [self.received[number] for number in sorted(self.received)]


class FlowListKeeper:
    """Lists that this agent keeps for others."""

    def __init__(self) -> None:
        self._lists: dict[PeerAddress, KeptList] = {}

    def keep(self, part: ListPart, now: float) -> bool:
        """Keep a part; returns whether it is kept, so that the sender need not look further."""
        content = part.content
        kept = self._lists.get(content.owner)
        if kept is not None and kept.stopped_ms > content.stopped_ms:
            return True
        if kept is None or kept.stopped_ms < content.stopped_ms:
            self.expire(now)
            if kept is None and len(self._lists) >= MAX_KEPT_LISTS:
                return False
            kept = KeptList(stopped_ms=content.stopped_ms, parts=part.parts, kept_at=now)
            self._lists[content.owner] = kept
        kept.received[part.part] = part
        kept.kept_at = now
        return True

    def recall(self, recall: ListRecall, now: float) -> list[ListPart]:
        """Return the parts of a list for a process that follows the one that made it."""
        kept = self._lists.get(recall.owner)
        if kept is None or not kept.whole or now - kept.kept_at > KEEP_LIFE_S:
            return []
        if kept.stopped_ms >= recall.started_ms or kept.taken_by_ms not in (0, recall.started_ms):
            return []
        kept.taken_by_ms = recall.started_ms
        return kept.in_order()

    def untaken(self, now: float) -> list[ListPart]:
        """Return the parts of all whole lists that nobody has recalled."""
        self.expire(now)
        lists = [each for each in self._lists.values() if each.whole and not each.taken_by_ms]
        return [part for kept in lists for part in kept.in_order()]

    def expire(self, now: float) -> None:
        """Forget lists that are too old."""
        for owner in [
            owner for owner, kept in self._lists.items() if now - kept.kept_at > KEEP_LIFE_S
        ]:
            del self._lists[owner]


@attrs.define(kw_only=True)
class _Delivery:
    """A list on its way to keepers: what each of them has not acknowledged yet."""

    parts: list[ListPart]
    candidates: list[PeerAddress]
    missing: dict[PeerAddress, set[int]] = attrs.field(factory=dict)

    def done(self) -> bool:
        """Return whether enough keepers have the whole list, or all there are."""
        whole = sum(not parts for parts in self.missing.values())
        return whole >= min(KEEPERS, len(self.candidates))

    def add_keepers(self, count: int) -> None:
        """Try further candidates."""
        untried = [each for each in self.candidates if each not in self.missing]
        for address in untried[:count]:
            self.missing[address] = {part.part for part in self.parts}


class Handover:
    """Recall at the start of an agent, keeping for others, and delivery at its stop.

    Attributes:
        recalled: the list of the process before; None while it is not known, or if there is none.
    """

    def __init__(
        self,
        *,
        own_address: PeerAddress,
        peers: Peers,
        to_peer: Send,
        on_recalled: Callable[[FlowList, float], None],
        started_ms: int,
        now: float,
    ) -> None:
        self.recalled: FlowList | None = None
        self._own_address = own_address
        self._peers = peers
        self._to_peer = to_peer
        self._on_recalled = on_recalled
        self._started_ms = started_ms
        self._started_at = now
        self._keeper = FlowListKeeper()
        self._recall_ends = now + START_TIMEOUT_S
        self._recall_sent_at = float("-inf")
        self._unanswered: set[PeerAddress] | None = None
        self._arriving: dict[int, KeptList] = {}
        self._deliveries: dict[tuple[PeerAddress, int], _Delivery] = {}
        self._sent_at = float("-inf")
        self._stopping = False

    # Recall.

    def recalling(self, now: float) -> bool:
        """Return whether a list of the process before may still come."""
        if self.recalled is not None or now >= self._recall_ends:
            return False
        return self._unanswered is None or bool(self._unanswered)

    def continue_recall(self, now: float) -> None:
        """Ask the keepers that have not answered, if it is time to."""
        if self.recalling(now):
            self._finish_recall(now)
        if not self.recalling(now) or now - self._recall_sent_at < RESEND_INTERVAL_S:
            return
        if self._unanswered is None:
            keepers = self._keepers_of(self._own_address)
            if not keepers:
                if self._peers.table().known:
                    self._recall_ends = now
                return
            self._unanswered = set(keepers)
            self._recall_ends = min(self._recall_ends, now + RECALL_TIMEOUT_S)
        self._recall_sent_at = now
        recall = ListRecall(owner=self._own_address, started_ms=self._started_ms)
        for address in self._unanswered:
            self._to_peer(encode_recall(recall), address)

    def _on_recalled_part(self, part: ListPart, now: float) -> None:
        content = part.content
        if content.owner != self._own_address or not self.recalling(now):
            return
        arriving = self._arriving.get(content.stopped_ms)
        if part.parts and arriving is None:
            arriving = KeptList(stopped_ms=content.stopped_ms, parts=part.parts, kept_at=now)
            self._arriving[content.stopped_ms] = arriving
        if arriving is not None and part.parts:
            arriving.received[part.part] = part
        if self._unanswered is not None and (arriving is None or arriving.whole):
            self._unanswered.discard(part.sender)
        self._finish_recall(now)

    def _finish_recall(self, now: float) -> None:
        """Use the newest list once all keepers have answered, or had the time to."""
        whole = [each for each in self._arriving.values() if each.whole]
        if not whole:
            return
        newest = max(whole, key=lambda each: each.stopped_ms)
        if self._unanswered and now - newest.kept_at < RESEND_INTERVAL_S:
            return
        parts = newest.in_order()
        flows = tuple(flow for part in parts for flow in part.content.flows)
        self.recalled = attrs.evolve(parts[0].content, flows=flows)
        _log.info(
            "flows_recalled",
            flows=len(flows),
            complete=self.recalled.complete,
            waited_ms=int((now - self._started_at) * MS_PER_S),
        )
        self._on_recalled(self.recalled, now)

    # Datagrams.

    def on_datagram(self, kind: Kind, datagram: bytes, now: float) -> None:
        """Handle a datagram of one of the kinds of this module; raises `PacketError`."""
        if kind is Kind.KEEP:
            self._on_keep(decode_part(datagram), now)
        elif kind is Kind.RECALL:
            self._on_recall(decode_recall(datagram), now)
        elif kind is Kind.RECALLED:
            self._on_recalled_part(decode_part(datagram), now)
        else:
            self._on_kept(decode_kept(datagram))

    def _on_recall(self, recall: ListRecall, now: float) -> None:
        parts = self._keeper.recall(recall, now)
        if not parts:
            nothing = FlowList(
                owner=recall.owner, stopped_ms=0, target_run=UNKNOWN_RUN, complete=False
            )
            parts = [ListPart(content=nothing, sender=self._own_address)]
        for part in parts:
            reply = attrs.evolve(part, sender=self._own_address)
            self._to_peer(encode_part(Kind.RECALLED, reply), recall.owner)

    def _on_keep(self, part: ListPart, now: float) -> None:
        """Keep a part unless this agent stops too; the sender then finds another keeper."""
        if self._stopping or not part.parts or not self._keeper.keep(part, now):
            return
        kept = PartKept(
            owner=part.content.owner,
            stopped_ms=part.content.stopped_ms,
            part=part.part,
            keeper=self._own_address,
        )
        self._to_peer(encode_kept(kept), part.sender)

    def _on_kept(self, kept: PartKept) -> None:
        delivery = self._deliveries.get((kept.owner, kept.stopped_ms))
        if delivery is not None and kept.keeper in delivery.missing:
            delivery.missing[kept.keeper].discard(kept.part)

    # Delivery at the stop.

    def deliver(self, own_list: FlowList, now: float) -> None:
        """Begin to give the list of this agent, and the lists that it keeps, to keepers."""
        self._stopping = True
        parts = split_list(own_list, self._own_address)
        for part in self._keeper.untaken(now):
            parts.append(attrs.evolve(part, sender=self._own_address))
        for part in parts:
            key = part.content.owner, part.content.stopped_ms
            delivery = self._deliveries.get(key)
            if delivery is None:
                candidates = self._keepers_of(part.content.owner)
                delivery = self._deliveries[key] = _Delivery(parts=[], candidates=candidates)
            delivery.parts.append(part)
        for delivery in self._deliveries.values():
            delivery.add_keepers(KEEPERS)
        self._send_missing(now)

    def continue_delivery(self, now: float) -> bool:
        """Send again what is not acknowledged; returns whether all lists have their keepers."""
        if all(delivery.done() for delivery in self._deliveries.values()):
            return True
        if now - self._sent_at >= RESEND_INTERVAL_S:
            for delivery in self._deliveries.values():
                if not delivery.done():
                    delivery.add_keepers(1)
            self._send_missing(now)
        return False

    def _send_missing(self, now: float) -> None:
        self._sent_at = now
        for delivery in self._deliveries.values():
            if delivery.done():
                continue
            for address, missing in delivery.missing.items():
                for part in delivery.parts:
                    if part.part in missing:
                        self._to_peer(encode_part(Kind.KEEP, part), address)

    def _keepers_of(self, owner: PeerAddress) -> list[PeerAddress]:
        """Return the agents that may keep the list of an owner, in order."""
        excluded = (owner, self._own_address)
        peers = [peer for peer in self._peers.table().known if peer.address not in excluded]
        ordered = flow_candidates(hash_key(owner), peers, MAX_ASKED_KEEPERS)
        return [peer.address for peer in ordered]
