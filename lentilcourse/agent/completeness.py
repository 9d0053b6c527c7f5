"""Tracks whether a home's directory lists every flow of its buckets.

After a bucket has been assigned to this home, each other agent of the service must confirm that
it has registered its flows as of that state version or a later one. Until then, a flow that is
not in the directory may be an established one, so the home probes for its owner instead of
treating it as new. An agent that has just started sends no confirmation before its peers have
sent it the records that they hold of its flows.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from lentilcourse.agent.flow_view import FlowView
from lentilcourse.buckets import BUCKETS

PROBE_TIMEOUT_S: Final = 0.4
PROBE_RETRY_S: Final = 0.05
"""Interval between two probes for a flow: many round trips between agents."""
STARTUP_PROBE_TIMEOUT_S: Final = 2.0
RECOVERY_TIMEOUT_S: Final = 10.0
LOST_PEER_GRACE_S: Final = 2.5
PLANNED_STOP_GRACE_S: Final = 30.0
PROBE_RETENTION_S: Final = 5.0


class Completeness:
    """Confirmations of registration from other agents, and probes in progress."""

    def __init__(self, *, connected: Callable[[str], bool]) -> None:
        self._connected = connected
        self._home_since_version = [0] * BUCKETS
        self._confirmed_versions: dict[str, int] = {}
        self._sent_records: set[str] = set()
        self._lost_since: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}
        self._planned_stops: set[str] = set()
        self._joined_at = float("-inf")
        self._probes: dict[bytes, float] = {}
        self._probed_at: dict[bytes, float] = {}

    def on_view(self, old: FlowView, new: FlowView, now: float) -> None:
        """Update which buckets were assigned to this home, and which peers are lost.

        If state versions were skipped, a bucket may have had another home in between, so all
        buckets of this home count as newly assigned.
        """
        skipped_versions = new.version > old.version + 1
        if old.own is None and new.own is not None:
            self._joined_at = now
        for bucket in range(BUCKETS):
            is_home = new.table.home(bucket) == new.name
            was_home = old.table.home(bucket) == new.name and old.own is not None
            if is_home and (skipped_versions or not was_home):
                self._home_since_version[bucket] = new.version
        for name, peer in new.peers.items():
            if not peer.lost:
                self._lost_since.pop(name, None)
            elif name not in self._lost_since:
                self._lost_since[name] = now
        self._planned_stops = {name for name, peer in new.peers.items() if peer.planned_stop}
        for name in old.peers.keys() - new.peers.keys():
            self._confirmed_versions.pop(name, None)
            self._heard_at.pop(name, None)

    def confirm(self, peer: str, version: int) -> None:
        """Record that a peer has registered all its flows as of state `version`."""
        self._confirmed_versions[peer] = max(version, self._confirmed_versions.get(peer, -1))

    def note_records_sent(self, peer: str) -> None:
        """Record that a peer has sent all records that it holds of this agent's flows."""
        self._sent_records.add(peer)

    def has_sent_records(self, peer: str | None) -> bool:
        """Return whether a peer has sent all records that it holds of this agent's flows."""
        return peer in self._sent_records

    def recovery_is_complete(self, view: FlowView, now: float) -> bool:
        """Return whether this agent knows all flows that its target holds.

        It waits for the records of its peers, at most `RECOVERY_TIMEOUT_S` after joining. It
        doesn't wait for peers whose lease has expired or whose failure domain is out.
        """
        if now - self._joined_at >= RECOVERY_TIMEOUT_S:
            return True
        return all(
            name in self._sent_records
            for name, peer in view.peers.items()
            if not peer.lost and name not in view.out
        )

    def revoke(self, peer: str) -> None:
        """Discard a peer's confirmation because its stream has ended."""
        self._confirmed_versions.pop(peer, None)

    def note_heard(self, peer: str, now: float) -> None:
        """Record that a message of a peer has arrived; each sends its load every 0.5 s."""
        self._heard_at[peer] = now

    def unconfirmed_peers(self, view: FlowView, bucket: int, now: float) -> list[str]:
        """Return the peers that may own flows of a bucket that this home has no record of.

        A confirmation for a version newer than this view doesn't count: the peer may have
        registered its flows with the bucket's home in that version.
        """
        since = self._home_since_version[bucket]
        return [
            name
            for name in view.peers
            if name not in view.out
            and not since <= self._confirmed_versions.get(name, -1) <= view.version
            and not self.presumed_dead(name, now)
        ]

    def presumed_dead(self, peer: str, now: float) -> bool:
        """Return whether a peer is treated as dead unless it answers a probe by datagram.

        Its lease must have expired and this agent's stream to it must be closed: an agent that is
        only cut off from the controllers keeps its flows. Since the lease expired and since the
        last message of the peer, `LOST_PEER_GRACE_S` must have passed, or `PLANNED_STOP_GRACE_S`
        after a planned stop: a peer may have joined again and stopped as planned in versions that
        this agent has not received yet, or all its connections may have gone silent.
        """
        lost_since = self._lost_since.get(peer)
        if lost_since is None or self._connected(peer):
            return False
        dead_since = max(lost_since, self._heard_at.get(peer, lost_since))
        grace_s = PLANNED_STOP_GRACE_S if peer in self._planned_stops else LOST_PEER_GRACE_S
        return now - dead_since > grace_s

    def probe_timed_out(self, key: bytes, now: float) -> bool:
        """Return whether a probe for a flow has timed out without an answer.

        The first call for a flow starts its probe. The timeout is longer shortly after this
        agent has started: peers may still have to reconnect before they can send the records of
        flows that its target holds.
        """
        started = self._probes.setdefault(key, now)
        timeout_s = (
            STARTUP_PROBE_TIMEOUT_S
            if now - self._joined_at < STARTUP_PROBE_TIMEOUT_S
            else PROBE_TIMEOUT_S
        )
        return now - started >= timeout_s

    def probe_due(self, key: bytes, now: float) -> bool:
        """Return whether a probe for a flow is due; if so, it counts as sent."""
        if now - self._probed_at.get(key, float("-inf")) < PROBE_RETRY_S:
            return False
        self._probed_at[key] = now
        return True

    def end_probe(self, key: bytes) -> None:
        """Remove the probe for a flow, if there is one."""
        self._probes.pop(key, None)
        self._probed_at.pop(key, None)

    def expire(self, now: float) -> None:
        """Remove probes that started more than `PROBE_RETENTION_S` ago."""
        for key in [key for key, start in self._probes.items() if now - start > PROBE_RETENTION_S]:
            self.end_probe(key)
