"""Whether a home knows every flow of its buckets.

After a bucket has moved here, each other agent of the service must say that it has registered
its flows at that version or a later one. Until then an unknown flow may be an old one: the
home probes for its owner instead of treating the flow as new. An agent that has just started
says nothing of the kind before the others have sent it what they recorded for it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from lentilcourse.agent.flow_view import FlowView
from lentilcourse.buckets import BUCKETS

PROBE_WAIT_S: Final = 0.4
START_WAIT_S: Final = 2.0
RECOVERY_WAIT_S: Final = 10.0
LOST_WAIT_S: Final = 2.5
PLANNED_STOP_WAIT_S: Final = 30.0
PROBE_LIFE_S: Final = 5.0


class Completeness:
    """Registrations that have been completed by other agents, and probes under way."""

    def __init__(self, *, connected: Callable[[str], bool]) -> None:
        self._connected = connected
        self._home_since = [0] * BUCKETS
        self._complete: dict[str, int] = {}
        self._sent_records: set[str] = set()
        self._lost_since: dict[str, float] = {}
        self._planned: set[str] = set()
        self._joined = float("-inf")
        self._probes: dict[bytes, float] = {}

    def on_view(self, old: FlowView, new: FlowView, now: float) -> None:
        """Note which buckets have moved here, and which peers are lost.

        Over versions that were passed by, a bucket may have been elsewhere for a time.
        """
        jumped = new.version > old.version + 1
        if old.own is None and new.own is not None:
            self._joined = now
        for bucket in range(BUCKETS):
            became_home = new.table.home(bucket) == new.name
            was_home = old.table.home(bucket) == new.name and old.own is not None
            if became_home and (jumped or not was_home):
                self._home_since[bucket] = new.version
        for name, peer in new.peers.items():
            if not peer.lost:
                self._lost_since.pop(name, None)
            elif name not in self._lost_since:
                self._lost_since[name] = now
        self._planned = {name for name, peer in new.peers.items() if peer.planned_stop}
        for name in old.peers.keys() - new.peers.keys():
            self._complete.pop(name, None)

    def confirm(self, peer: str, version: int) -> None:
        """Note that a peer has registered all its flows as of `version`."""
        self._complete[peer] = max(version, self._complete.get(peer, -1))

    def note_records_sent(self, peer: str) -> None:
        """Note that a peer has sent all that it recorded for this agent."""
        self._sent_records.add(peer)

    def has_sent_records(self, peer: str | None) -> bool:
        """Return whether a peer has sent all that it recorded for this agent."""
        return peer in self._sent_records

    def memory_is_whole(self, view: FlowView, now: float) -> bool:
        """Return whether this agent knows all flows that its target holds.

        Peers whose lease has expired are not waited for, and no peer for ever.
        """
        if now - self._joined >= RECOVERY_WAIT_S:
            return True
        return all(
            name in self._sent_records
            for name, peer in view.peers.items()
            if not peer.lost and name not in view.out
        )

    def revoke(self, peer: str) -> None:
        """Forget a peer's confirmation, because its stream has ended."""
        self._complete.pop(peer, None)

    def unconfirmed(self, view: FlowView, bucket: int, now: float) -> list[str]:
        """Return the peers that may own flows of a bucket that this home does not know.

        A peer that is ahead of this view may have registered its flows with a later home.
        """
        since = self._home_since[bucket]
        return [
            name
            for name in view.peers
            if name not in view.out
            and not since <= self._complete.get(name, -1) <= view.version
            and not self.presumed_dead(name, now)
        ]

    def presumed_dead(self, peer: str, now: float) -> bool:
        """Return whether a peer's flows are given up.

        Its lease must have expired for `LOST_WAIT_S`, or `PLANNED_STOP_WAIT_S` after a planned
        stop, and the own stream to it be gone too: an agent that is only cut off from the
        controllers keeps its flows.
        """
        lost_since = self._lost_since.get(peer)
        wait_s = PLANNED_STOP_WAIT_S if peer in self._planned else LOST_WAIT_S
        if lost_since is None or now - lost_since <= wait_s:
            return False
        return not self._connected(peer)

    def probe_answered_late(self, key: bytes, now: float) -> bool:
        """Return whether a flow was probed for and nobody owned up in time.

        The first call starts the probe. Shortly after the start of this agent its peers may
        still have to reconnect, and with them the records of flows that its target holds.
        """
        started = self._probes.setdefault(key, now)
        wait_s = START_WAIT_S if now - self._joined < START_WAIT_S else PROBE_WAIT_S
        return now - started >= wait_s

    def end_probe(self, key: bytes) -> None:
        """Forget a probe."""
        self._probes.pop(key, None)

    def expire(self, now: float) -> None:
        """Forget probes that nobody waits for."""
        for key in [key for key, start in self._probes.items() if now - start > PROBE_LIFE_S]:
            del self._probes[key]
