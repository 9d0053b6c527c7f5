"""Replicates idempotency-key records from their home agent to the backup agent.

Before a request is delivered, the home asks the backup to record its key and waits for the
acknowledgement; without it the request is refused as not run. Outcomes are replicated
asynchronously. When buckets move, their records are transferred to the new holders. An outcome or a
release may be lost when its stream breaks, or may arrive after an older record sent by such a
transfer, so an agent that waits for an outcome asks the owner of the record.

A backup acknowledges no key to an agent that, by a newer state, is not the key's home any more: the
new home may have taken the backup's records already.
"""

from __future__ import annotations

import threading
from functools import singledispatchmethod
from typing import Final

import attrs

from lentilcourse.agent.idempotency import KeyRecord, KeyRecords
from lentilcourse.agent.key_history import (
    Confirmation,
    KeyHistory,
    KeyVerdict,
    ServiceView,
    agent_of,
    run_name,
)
from lentilcourse.agent.peers import AgentPeer, AgentPeers
from lentilcourse.buckets import EMPTY_TABLE, BucketTable, bucket_of, build_table
from lentilcourse.clocks import wall_clock_ms
from lentilcourse.ids import new_id
from lentilcourse.logs import get_logger
from lentilcourse.messages.requests import (
    ClaimAcknowledged,
    KeysComplete,
    KeyState,
    ReleaseKey,
    RequestStart,
)
from lentilcourse.model import State

CLAIM_TIMEOUT_S: Final = 0.5
"""Time for a backup to acknowledge a key: many round trips, and a quarter of the silence after
which a stream is closed."""

_log = get_logger(__name__)


@attrs.frozen(kw_only=True)
class KeyClaim:
    """Outcome of a request's attempt to use its key.

    Attributes:
        verdict: `KeyVerdict.NEW`, or the reason why the key must not be used here.
        record: the record of the key, None if it must not be used.
        first: whether the request has created the record and is to run.
    """

    verdict: KeyVerdict
    record: KeyRecord | None = None
    first: bool = False


class KeyReplication:
    """Replication of the key records that this agent holds as home or backup."""

    def __init__(
        self,
        *,
        name: str,
        agent_run: str,
        records: KeyRecords,
        peers: AgentPeers,
        claim_timeout_s: float = CLAIM_TIMEOUT_S,
    ) -> None:
        self._name = name
        self._agent_run = agent_run
        self._records = records
        self._peers = peers
        self._claim_timeout_s = claim_timeout_s
        self._lock = threading.Lock()
        self.own_run = run_name(name, agent_run)
        self._history = KeyHistory(name=name, run=self.own_run)
        self._table: BucketTable = EMPTY_TABLE
        self._live_peers: frozenset[str] = frozenset()
        self._runs: dict[str, str] = {}
        self._version = 0
        self._claims: dict[str, threading.Event] = {}

    def on_state(self, old: State, new: State, now: float) -> None:
        """Apply the bucket table of a new state and transfer records to new holders of a bucket."""
        own = new.targets.get(self._name)
        if own is None:
            return
        others = [each for each in new.service_targets(own.service) if each.name != self._name]
        restarted = own.agent_restarts > 0 or own.agent_run != self._agent_run
        with self._lock:
            self._live_peers = frozenset(each.name for each in others if not each.lost)
            self._runs = {each.name: run_name(each.name, each.agent_run) for each in others}
            previous, self._table = self._table, build_table(new, own.service)
            self._version = new.version
            self._history.on_view(
                ServiceView(
                    version=new.version,
                    table=self._table,
                    runs=self._runs,
                    lost=frozenset(each.name for each in others if each.lost),
                ),
                restarted=restarted,
                versions_skipped=new.version > old.version + 1,
                now=now,
                wall_ms=wall_clock_ms(),
            )
        for peer in self._live_peers:
            self._transfer_records(peer, previous, now)

    def greet(self, peer: AgentPeer, now: float) -> None:
        """Send a peer all the records that it should hold, over a newly opened stream."""
        complete, table = self._completion_message(now)
        for state in self._states_for(peer.target.name, table, EMPTY_TABLE):
            peer.send_first(state)
        peer.send_first(complete)

    def open_record(self, req: RequestStart, now: float) -> KeyClaim:
        """Find or create the record of a request's key, unless the key must not be used here.

        No bucket moves between the decision and the new record, so the record is sent along.
        """
        key = req.idempotency_key
        with self._lock:
            if self._records.find(req.entry_id, key) is None:
                verdict = self._history.judge(bucket_of(key.encode()), key, now, wall_clock_ms())
                if verdict is not KeyVerdict.NEW:
                    return KeyClaim(verdict=verdict)
            record, first = self._records.claim(req, self.own_run)
        return KeyClaim(verdict=KeyVerdict.NEW, record=record, first=first)

    def owner_runs(self, record: KeyRecord, now: float) -> bool:
        """Return whether the owner of a record may still run, so its outcome may still arrive.

        A restarted agent has lost the requests of its previous run.
        """
        with self._lock:
            return self._history.may_run(record.owner, now)

    def claim(self, req: RequestStart, record: KeyRecord) -> bool:
        """Record a key at the backup; returns False if it is not acknowledged in time."""
        with self._lock:
            backup, version = self._backup(req.idempotency_key), self._version
        if backup is None:
            return True
        claim_id = new_id()
        acknowledged = threading.Event()
        self._claims[claim_id] = acknowledged
        msg = self._key_state(req.entry_id, req.idempotency_key, record, claim_id)
        try:
            self._peers.send(backup, attrs.evolve(msg, version=version))
            return acknowledged.wait(timeout=self._claim_timeout_s)
        finally:
            self._claims.pop(claim_id, None)

    def publish(self, req: RequestStart, record: KeyRecord) -> None:
        """Send the outcome of a request to the other current holders of its key."""
        for holder in self._other_holders(req.idempotency_key):
            self._peers.send(holder, self._key_state(req.entry_id, req.idempotency_key, record, ""))

    def release(self, req: RequestStart) -> None:
        """Tell the other holders of a key that its request certainly did not run."""
        for holder in self._other_holders(req.idempotency_key):
            self._peers.send(holder, self._release_message(req.entry_id, req.idempotency_key))

    def ask_owner(self, req: RequestStart, record: KeyRecord) -> None:
        """Ask the owner of a record for the outcome, whose message may have been lost."""
        owner = agent_of(record.owner)
        self._peers.send(owner, self._key_state(req.entry_id, req.idempotency_key, record, ""))

    @singledispatchmethod
    def on_message(self, msg: object, peer: str, now: float) -> None:
        """Handle a message from another agent."""

    @on_message.register
    def _on_key_state(self, msg: KeyState, peer: str, now: float) -> None:
        if msg.owner == self.own_run and not msg.ended and not self._records.evicted:
            self._reply_with_outcome(msg, peer)
            return
        with self._lock:
            refused = bool(msg.claim_id) and self._is_former_home(peer, msg)
            if not refused:
                self._records.merge(msg)
        if refused:
            _log.info("key_claim_refused", peer=peer, version=msg.version, newer=self._version)
        elif msg.claim_id:
            self._peers.send(peer, ClaimAcknowledged(claim_id=msg.claim_id))

    def _is_former_home(self, peer: str, msg: KeyState) -> bool:
        """Return whether a newer state than the peer's names another home of a key."""
        home = self._table.home(bucket_of(msg.key.encode()))
        return 0 < msg.version < self._version and home != peer

    def _reply_with_outcome(self, msg: KeyState, peer: str) -> None:
        """Reply to a peer that lacks the outcome of a request owned by this run of the agent.

        The peer's record may be older than a release made here, so it is never merged.
        """
        record = self._records.find(msg.entry_id, msg.key)
        if record is None:
            self._peers.send(peer, self._release_message(msg.entry_id, msg.key))
        elif record.ended.is_set():
            self._peers.send(peer, self._key_state(msg.entry_id, msg.key, record, ""))

    @on_message.register
    def _on_acknowledged(self, msg: ClaimAcknowledged, peer: str, now: float) -> None:
        waiting = self._claims.get(msg.claim_id)
        if waiting is not None:
            waiting.set()

    @on_message.register
    def _on_release(self, msg: ReleaseKey, peer: str, now: float) -> None:
        self._records.forget(msg)

    @on_message.register
    def _on_complete(self, msg: KeysComplete, peer: str, now: float) -> None:
        partial = None if msg.partial is None else {each.bucket: each for each in msg.partial}
        confirmation = Confirmation(version=msg.version, partial=partial, lost_ms=msg.lost_ms)
        with self._lock:
            run = msg.run or self._runs.get(peer, "")
            self._history.confirm(run, confirmation, now, wall_clock_ms())

    def on_peer_lost(self, name: str) -> None:
        """Discard a peer's completion message when its incoming stream ends."""
        with self._lock:
            self._history.revoke(name)

    def _transfer_records(self, peer: str, previous: BucketTable, now: float) -> None:
        complete, table = self._completion_message(now)
        for state in self._states_for(peer, table, previous):
            self._peers.send(peer, state)
        self._peers.send(peer, complete)

    def _completion_message(self, now: float) -> tuple[KeysComplete, BucketTable]:
        """Return the message that ends a transfer, and the table that it was made for.

        It must be made before the records are collected, so that it covers no later version.
        """
        with self._lock:
            complete = KeysComplete(
                version=self._version,
                lost_ms=self._history.lost_ms(now),
                run=self.own_run,
                partial=self._history.partial(now),
            )
            return complete, self._table

    def _states_for(self, peer: str, table: BucketTable, previous: BucketTable) -> list[KeyState]:
        """Return the records that a peer holds in a table but not in the previous one."""
        found: list[KeyState] = []
        for (entry_id, key), record in self._records.items():
            bucket = bucket_of(key.encode())
            holds = peer in table.candidates[bucket][:2]
            if holds and peer not in previous.candidates[bucket][:2]:
                found.append(self._key_state(entry_id, key, record, ""))
        return found

    def _other_holders(self, key: str) -> list[str]:
        candidates = self._table.candidates[bucket_of(key.encode())][:2]
        return [name for name in candidates if name != self._name]

    def _backup(self, key: str) -> str | None:
        candidates = self._table.candidates[bucket_of(key.encode())]
        return candidates[1] if len(candidates) > 1 else None

    def _release_message(self, entry_id: int, key: str) -> ReleaseKey:
        return ReleaseKey(entry_id=entry_id, key=key, owner=self.own_run)

    def _key_state(self, entry_id: int, key: str, record: KeyRecord, claim_id: str) -> KeyState:
        return KeyState(
            entry_id=entry_id,
            key=key,
            fingerprint=record.fingerprint,
            owner=record.owner,
            ended=record.ended.is_set(),
            start=record.start,
            body=record.body,
            refusal=record.refusal,
            claim_id=claim_id,
        )
