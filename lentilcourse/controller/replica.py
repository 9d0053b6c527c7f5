"""One replica of the replicated log.

The algorithm is Raft (D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus
Algorithm", 2014; pre-vote and single-server membership changes from Ongaro's dissertation,
2014). Where it differs from the sources:

- The replica ID is stored in the data folder. A replica that lost its data folder gets a new ID
  and cannot vote or acknowledge entries under the old one.
- A replica with a damaged log neither votes nor starts elections until it holds every entry up
  to the leader's commit index, and the entry at that index is of the leader's own term.
- A leader that has not heard from a quorum for one election timeout steps down.

The methods take the current time and do not depend on a transport; `replication` calls them over
streams, with one task per peer. The time is `clocks.boot_time_s`: a leader that was suspended must
not take its lease of leadership for fresh.

A change may name the time after which it must not enter the log any more, because its caller has
turned elsewhere by then. The leader checks that right before it appends the change. What it
appends afterwards comes later in the log, and once it is deposed it commits nothing, so no change
takes effect after one that its caller had acknowledged later. The other controllers convert the
time to the leader's clock, whose time comes with each append request. It was read before it was
sent, so the converted time is never later than the true one.
"""

from __future__ import annotations

import random
import threading
from concurrent.futures import Future
from typing import Final, TypeAlias

from lentilcourse import error_texts
from lentilcourse.actions import Change, Outcome, change_size
from lentilcourse.clocks import MS_PER_S
from lentilcourse.codec import check_encodable
from lentilcourse.controller.log_store import LogStore, Snapshot, Vote
from lentilcourse.controller.machine import CatalogueMachine
from lentilcourse.controller.progress import (
    NEVER,
    LeaderClock,
    LeaderDeadline,
    PeerProgress,
    PeerView,
    Proposal,
    Role,
)
from lentilcourse.controller.quorum import changed_membership, committed_index, quorum_size
from lentilcourse.errors import (
    ChangeRefusedError,
    NotLeaderError,
    OrderExpiredError,
    StorageError,
    WrongReplicaError,
)
from lentilcourse.logs import get_logger
from lentilcourse.messages.consensus import (
    AppendReply,
    AppendRequest,
    InstallRequest,
    LogEntry,
    Member,
    Membership,
    VoteReply,
    VoteRequest,
)

MAX_BATCH_ENTRIES: Final = 256
MAX_BATCH_BYTES: Final = 1024 * 1024
"""Document bytes at which a batch is closed: a peer must process each append request within the
RPC timeout."""
HEARTBEATS_PER_TIMEOUT: Final = 6
PRE_VOTE_DELAY_RATIO: Final = 0.25
"""Minimum delay between pre-votes as a fraction of the election timeout: several round trips."""
FIRST_PRE_VOTE_RATIO: Final = 0.1
"""Longest delay of the first pre-vote after the start as a fraction of the election timeout."""
SPLIT_VOTE_RATIO: Final = 0.5
"""Minimum time that a candidate waits for votes as a fraction of the election timeout."""
MAX_LOG_BYTES: Final = 4 * 1024 * 1024
"""Log size that triggers a snapshot: the log, its copy and the snapshot must fit a small disk."""

PeerRequest: TypeAlias = VoteRequest | AppendRequest | InstallRequest

_log = get_logger(__name__)


class Replica:
    """One member of the Raft group; all methods are thread-safe.

    Attributes:
        changed: condition notified when the role, log, commit index or applied state changes.
        role: current role.
        leader_id: replica ID of the leader of the current term, "" while unknown.
        commit_index: index of the last entry known to be committed.
    """

    def __init__(
        self,
        *,
        store: LogStore,
        machine: CatalogueMachine,
        election_timeout_s: float,
        snapshot_records: int,
        group_commit: bool,
        rng: random.Random,
        now: float,
    ) -> None:
        self.changed = threading.Condition(threading.RLock())
        self.role = Role.FOLLOWER
        self.leader_id = ""
        self._store = store
        self._machine = machine
        self._election_timeout_s = election_timeout_s
        self._snapshot_records = snapshot_records
        self._group_commit = group_commit
        self._rng = rng
        self._peers: dict[str, PeerProgress] = {}
        self._granted_votes: set[str] = set()
        self._last_leader_contact = float("-inf")
        self._leader_quorum_age_s = 0.0
        self._leader_clock: LeaderClock | None = None
        self._confirmed_at = float("-inf")
        self._leader_since = float("-inf")
        self._proposals: list[Proposal] = []
        self._proposals_lock = threading.Lock()
        self.proposals_waiting = threading.Event()
        self._taken_at = float("-inf")
        self._pending_results: dict[int, tuple[int, Future[Outcome | None]]] = {}
        self.commit_index = store.snapshot.last_index
        self._applied_index = store.snapshot.last_index
        if store.snapshot.image:
            machine.restore(store.snapshot.image)
        self._election_due = now + election_timeout_s * FIRST_PRE_VOTE_RATIO * rng.random()

    # Views.

    @property
    def replica_id(self) -> str:
        """ID of this replica, stored in its data folder."""
        return self._store.replica_id

    @property
    def term(self) -> int:
        """Current term."""
        return self._store.vote.term

    @property
    def last_index(self) -> int:
        """Index of the last entry of the log."""
        return self._store.last_index

    @property
    def damaged(self) -> bool:
        """Whether synced log entries were lost and not yet recovered from a leader."""
        return self._store.damaged

    @property
    def machine(self) -> CatalogueMachine:
        """The state machine; hold `changed` while reading it."""
        return self._machine

    def membership(self) -> Membership:
        """Return the latest membership in the log, committed or not."""
        with self.changed:
            return self._store.membership()

    def leader(self) -> Member | None:
        """Return the leader of the current term, if it is known."""
        with self.changed:
            return self._store.membership().find(self.leader_id) if self.leader_id else None

    def freshness_s(self, now: float) -> float:
        """Return the seconds since a quorum last confirmed the state that this replica serves."""
        with self.changed:
            if self.role is Role.LEADER:
                return max(0.0, now - self._quorum_contact(now))
            confirmed = self._last_leader_contact - self._leader_quorum_age_s
            return max(0.0, now - max(confirmed, self._confirmed_at))

    # Timeouts.

    def tick(self, now: float) -> None:
        """Start a pre-vote when the election timer expires, or step down without a quorum."""
        with self.changed:
            if self.role is Role.LEADER:
                if now - self._quorum_contact(now) > self._election_timeout_s:
                    _log.warning("leader_lost_quorum", term=self.term)
                    self._become_follower(now)
                elif self._writer_is_stuck(now):
                    self.resign("log is not written", now)
                return
            if now >= self._election_due:
                self._start_pre_vote(now)

    def resign(self, cause: str, now: float) -> None:
        """Stop leading, so that a replica that can write its log is elected."""
        with self.changed:
            if self.role is not Role.LEADER:
                return
            _log.error("leader_resigned", term=self.term, cause=cause)
            self._become_follower(now)

    def _writer_is_stuck(self, now: float) -> bool:
        """Return whether proposals wait and none was taken for an election timeout."""
        with self._proposals_lock:
            if not self._proposals:
                return False
            waits_since = max(self._proposals[0].queued_at, self._taken_at)
        return now - waits_since > self._election_timeout_s

    # Bootstrap and proposals.

    def bootstrap(self, membership: Membership) -> None:
        """Append the initial membership to an empty log; raises `ChangeRefusedError` if in use."""
        with self.changed:
            if self._store.last_index > 0:
                if self._store.entries_from(1, 1) and self._store.membership() == membership:
                    return
                text = error_texts.ALREADY_BOOTSTRAPPED.format(replica_id=self.replica_id)
                raise ChangeRefusedError(text)
            self._store.append([LogEntry(index=1, term=0, membership=membership)])
            self.changed.notify_all()

    def propose(self, change: Change, now: float, expires: float = NEVER) -> Future[Outcome | None]:
        """Queue a change; the future completes when it is applied or fails when it is dropped.

        A change that is not in the log at `expires` is dropped. Raises `UnencodableError` for a
        change that no log can hold.
        """
        check_encodable(change)
        return self._enqueue(Proposal(change=change, queued_at=now, expires=expires))

    def propose_membership(
        self, verb: str, member: Member, now: float, expires: float = NEVER
    ) -> Future[Outcome | None]:
        """Queue a membership change of one member; raises `ChangeRefusedError` if it is unsafe."""
        with self.changed:
            self._require_leader()
            self._require_no_pending_membership_change()
            proposed = changed_membership(self._store.membership(), verb, member)
            self._require_safe_membership(verb, member, proposed, now)
            proposal = Proposal(membership=proposed, queued_at=now, expires=expires)
        return self._enqueue(proposal)

    def write_proposals(self, now: float) -> None:
        """Append queued proposals to the log with one sync; fail them if this is not the leader.

        The caller holds `changed` while it reads `now`, so that nothing else delays the append.
        """
        with self.changed:
            batch = self._dequeue_proposals()
            self._taken_at = now
            if self.role is not Role.LEADER:
                _fail_proposals(batch, NotLeaderError(error_texts.NOT_LEADER))
                return
            batch = _drop_expired(batch, now)
            entries = [
                self._log_entry(proposal, offset) for offset, proposal in enumerate(batch, 1)
            ]
            try:
                self._store.append(entries)
            except Exception as exc:
                _log.exception("log_write_failed")
                _fail_proposals(batch, StorageError(str(exc)))
                self.resign("log write failed", now)
                return
            for entry, proposal in zip(entries, batch, strict=True):
                self._pending_results[entry.index] = (entry.term, proposal.fut)
            self._update_peers(now)
            self._advance_commit(now)
            self.changed.notify_all()

    def leader_deadline(self, expires: float) -> LeaderDeadline | None:
        """Return the time `expires` by the clock of the leader, None if its clock is not known.

        Leaders of earlier builds do not tell their time.
        """
        with self.changed:
            if self._leader_clock is None or self._leader_clock.term != self.term:
                return None
            lead_s = self._leader_clock.lead_s
            return LeaderDeadline(term=self.term, expires_ms=int((expires + lead_s) * MS_PER_S))

    def wait_for_leadership_confirmation(self, since: float, timeout_s: float) -> bool:
        """Wait until a quorum has acknowledged this leader in requests sent at or after `since`.

        The applied state then includes every change that was acknowledged before `since`.
        Returns False if this replica is not the leader or the timeout expires.
        """
        with self.changed:
            for progress in self._peers.values():
                progress.last_sent = float("-inf")
            self.changed.notify_all()
            self.changed.wait_for(
                lambda: self.role is not Role.LEADER or self._confirmed_after(since),
                timeout=timeout_s,
            )
            return self.role is Role.LEADER and self._confirmed_after(since)

    def _confirmed_after(self, since: float) -> bool:
        committed_in_term = self._store.term_at(self.commit_index) == self.term
        sole_voter = len(self._store.membership().voters()) == 1
        return committed_in_term and (sole_voter or self._quorum_contact(since) >= since)

    def peer_views(self, now: float) -> tuple[PeerView, ...]:
        """Return the replication state of each member; empty if this is not the leader."""
        with self.changed:
            if self.role is not Role.LEADER:
                return ()
            members = self._store.membership().members
            return tuple(self._peer_view(member, now) for member in members)

    def _peer_view(self, member: Member, now: float) -> PeerView:
        progress = self._peers.get(member.replica_id)
        if progress is None:
            return PeerView(member=member, silence_s=0.0, caught_up=self._is_self(member))
        contact = max(progress.last_contact, progress.known_since)
        caught_up = progress.match_index >= self.commit_index
        return PeerView(member=member, silence_s=now - contact, caught_up=caught_up)

    def _is_self(self, member: Member) -> bool:
        return member.replica_id == self.replica_id

    # Requests from peers.

    def on_vote_request(self, req: VoteRequest, now: float) -> VoteReply:
        """Handle a vote or pre-vote request."""
        with self.changed:
            if not self._may_vote(req, now):
                return VoteReply(term=self.term, granted=False)
            if req.pre_vote:
                return VoteReply(term=self.term, granted=req.term > self.term)
            if req.term > self.term:
                self._adopt_term(req.term, now)
            vote = self._store.vote
            granted = req.term == vote.term and vote.candidate_id in ("", req.candidate_id)
            if granted:
                self._store.save_vote(Vote(term=req.term, candidate_id=req.candidate_id))
                self._election_due = now + self._election_delay()
            return VoteReply(term=self.term, granted=granted)

    def on_append_request(self, req: AppendRequest, now: float) -> AppendReply:
        """Append the leader's entries and reply once they are synced."""
        with self.changed:
            self._require_receiver(req.receiver_id)
            if not self._accept_leader(req.term, req.leader_id, now):
                return self._append_reply(False, 0)
            self._leader_quorum_age_s = req.quorum_age_ms / MS_PER_S
            self._leader_clock = _leader_clock(req, now)
            matches = self._store.term_at(req.previous_index) == req.previous_term
            if not matches and req.previous_index > self._store.snapshot.last_index:
                hint = min(self._store.last_index, req.previous_index - 1)
                return self._append_reply(False, hint)
            self._append_missing_entries(req.entries)
            match_index = req.previous_index + len(req.entries)
            self._commit_to(min(req.commit_index, match_index), now)
            self._clear_damage_if_recovered(req, match_index)
            self.changed.notify_all()
            return self._append_reply(True, match_index)

    def on_install_request(self, req: InstallRequest, now: float) -> AppendReply:
        """Install the leader's snapshot unless this replica has already committed past it."""
        with self.changed:
            self._require_receiver(req.receiver_id)
            if not self._accept_leader(req.term, req.leader_id, now):
                return self._append_reply(False, 0)
            if req.last_index > self.commit_index:
                self._store.install(
                    Snapshot(
                        last_index=req.last_index,
                        last_term=req.last_term,
                        membership=req.membership,
                        image=req.image,
                    )
                )
                self._machine.restore(req.image)
                self.commit_index = req.last_index
                self._applied_index = req.last_index
                self.changed.notify_all()
            return self._append_reply(True, req.last_index)

    # Requests to peers.

    def next_request(self, peer_id: str, now: float) -> PeerRequest | None:
        """Return the next request that is due for a peer, None if none is due."""
        with self.changed:
            progress = self._peers.get(peer_id)
            if progress is None:
                return None
            if self.role in (Role.PRE_CANDIDATE, Role.CANDIDATE):
                return self._next_vote_request(peer_id, progress)
            if self.role is not Role.LEADER:
                return None
            heartbeat_due = now - progress.last_sent >= self.heartbeat_interval_s
            is_current = progress.sent_commit_index == self.commit_index
            if progress.next_index > self._store.last_index and is_current and not heartbeat_due:
                return None
            progress.last_sent = now
            progress.sent_commit_index = self.commit_index
            return self._next_log_request(peer_id, progress, now)

    def on_vote_reply(self, peer_id: str, req: VoteRequest, reply: VoteReply, now: float) -> None:
        """Handle a reply to a vote or pre-vote request."""
        with self.changed:
            if reply.term > self.term and not (req.pre_vote and reply.granted):
                self._adopt_term(reply.term, now)
                return
            expected_role = Role.PRE_CANDIDATE if req.pre_vote else Role.CANDIDATE
            expected_term = self.term + 1 if req.pre_vote else self.term
            if not reply.granted or self.role is not expected_role or req.term != expected_term:
                return
            self._granted_votes.add(peer_id)
            self._count_votes(now)

    def on_append_reply(
        self,
        peer_id: str,
        req: AppendRequest | InstallRequest,
        reply: AppendReply,
        sent: float,
        now: float,
    ) -> None:
        """Update a peer's replication progress and advance the commit index."""
        with self.changed:
            if reply.term > self.term:
                self._adopt_term(reply.term, now)
                return
            progress = self._peers.get(peer_id)
            stale = self.role is not Role.LEADER or req.term != self.term
            if progress is None or stale or reply.term != self.term:
                return
            progress.last_contact = max(progress.last_contact, sent)
            if reply.success:
                progress.match_index = max(progress.match_index, reply.match_index)
                progress.next_index = max(progress.match_index + 1, progress.next_index)
                self._advance_commit(now)
            else:
                retry_index = min(progress.next_index - 1, reply.match_index + 1)
                progress.next_index = max(1, retry_index)
            self.changed.notify_all()

    def on_peer_lost(self, peer_id: str, now: float) -> None:
        """Reset a peer's progress after its stream failed, to resend unanswered requests."""
        with self.changed:
            progress = self._peers.get(peer_id)
            if progress is not None:
                progress.next_index = progress.match_index + 1
                progress.requested_vote_term = 0

    @property
    def heartbeat_interval_s(self) -> float:
        """Maximum time between two requests to a peer, in seconds."""
        return self._election_timeout_s / HEARTBEATS_PER_TIMEOUT

    # Proposals.

    def _enqueue(self, proposal: Proposal) -> Future[Outcome | None]:
        with self._proposals_lock:
            self._proposals.append(proposal)
        self.proposals_waiting.set()
        return proposal.fut

    def _dequeue_proposals(self) -> list[Proposal]:
        with self._proposals_lock:
            count = len(self._proposals) if self._group_commit else 1
            batch = self._proposals[:count]
            del self._proposals[:count]
            if not self._proposals:
                self.proposals_waiting.clear()
        return batch

    def _log_entry(self, proposal: Proposal, offset: int) -> LogEntry:
        return LogEntry(
            index=self._store.last_index + offset,
            term=self.term,
            change=proposal.change,
            membership=proposal.membership,
        )

    def _require_leader(self) -> None:
        if self.role is not Role.LEADER:
            raise NotLeaderError(error_texts.NOT_LEADER)

    def _require_no_pending_membership_change(self) -> None:
        committed_in_term = self._store.term_at(self.commit_index) == self.term
        if self._store.membership_index() > self.commit_index or not committed_in_term:
            raise ChangeRefusedError(error_texts.MEMBERSHIP_BUSY)

    def _require_safe_membership(
        self, verb: str, member: Member, proposed: Membership, now: float
    ) -> None:
        if verb in ("promote", "replace"):
            progress = self._peers.get(member.replica_id)
            if progress is None or progress.match_index < self.commit_index:
                raise ChangeRefusedError(error_texts.LEARNER_BEHIND.format(name=member.name))
        voters = proposed.voters()
        live = [voter for voter in voters if self._is_live(voter.replica_id, now)]
        if len(live) < quorum_size(len(voters)):
            raise ChangeRefusedError(error_texts.MEMBERSHIP_UNSAFE)

    def _is_live(self, replica_id: str, now: float) -> bool:
        if replica_id == self.replica_id:
            return True
        progress = self._peers.get(replica_id)
        return progress is not None and now - progress.last_contact <= self._election_timeout_s

    # Elections.

    def _election_delay(self) -> float:
        return self._election_timeout_s * (1.0 + self._rng.random())

    def _pre_vote_delay(self) -> float:
        """Return a randomized delay before the next pre-vote while no leader is known.

        It may be shorter than the election timeout: replicas in contact with a leader reject
        a pre-vote, so it cannot depose that leader.
        """
        return self._election_timeout_s * PRE_VOTE_DELAY_RATIO * (1.0 + self._rng.random())

    def _split_vote_delay(self) -> float:
        """Return a randomized time after which a candidate without a majority tries again."""
        return self._election_timeout_s * SPLIT_VOTE_RATIO * (1.0 + self._rng.random())

    def _may_campaign(self) -> bool:
        own = self._store.membership().find(self.replica_id)
        return own is not None and own.voter and not self._store.damaged

    def _start_pre_vote(self, now: float) -> None:
        self._election_due = now + self._pre_vote_delay()
        if not self._may_campaign():
            return
        self.role = Role.PRE_CANDIDATE
        self.leader_id = ""
        self._reset_vote_round(now)
        self._count_votes(now)

    def _start_election(self, now: float) -> None:
        self._store.save_vote(Vote(term=self.term + 1, candidate_id=self.replica_id))
        self.role = Role.CANDIDATE
        self._election_due = now + self._split_vote_delay()
        self._reset_vote_round(now)
        self._count_votes(now)

    def _reset_vote_round(self, now: float) -> None:
        self._granted_votes = {self.replica_id}
        self._update_peers(now)
        for progress in self._peers.values():
            progress.requested_vote_term = 0
        self.changed.notify_all()

    def _count_votes(self, now: float) -> None:
        voters = {member.replica_id for member in self._store.membership().voters()}
        if len(self._granted_votes & voters) < quorum_size(len(voters)):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._start_election(now)
        elif self.role is Role.CANDIDATE:
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        self.role = Role.LEADER
        self.leader_id = self.replica_id
        self._leader_since = now
        self._peers = {}
        self._update_peers(now)
        _log.info("leader_elected", term=self.term, replica=self.replica_id)
        self._enqueue(Proposal(queued_at=now))
        self.changed.notify_all()

    def _become_follower(self, now: float) -> None:
        self._confirmed_at = now - self.freshness_s(now)
        self.role = Role.FOLLOWER
        self.leader_id = ""
        self._last_leader_contact = float("-inf")
        self._election_due = now + self._election_delay()
        self.changed.notify_all()

    def _adopt_term(self, term: int, now: float) -> None:
        if term > self.term:
            self._store.save_vote(Vote(term=term))
        self._become_follower(now)

    def _may_vote(self, req: VoteRequest, now: float) -> bool:
        if req.receiver_id != self.replica_id or self._store.damaged:
            return False
        if not self._store.membership().members:
            return False
        if self.role is Role.LEADER or now - self._last_leader_contact < self._election_timeout_s:
            return False
        own = (self._store.last_term, self._store.last_index)
        return (req.last_term, req.last_index) >= own

    def _next_vote_request(self, peer_id: str, progress: PeerProgress) -> VoteRequest | None:
        pre_vote = self.role is Role.PRE_CANDIDATE
        term = self.term + 1 if pre_vote else self.term
        signed_term = -term if pre_vote else term
        member = self._store.membership().find(peer_id)
        if progress.requested_vote_term == signed_term or member is None or not member.voter:
            return None
        progress.requested_vote_term = signed_term
        return VoteRequest(
            term=term,
            candidate_id=self.replica_id,
            receiver_id=peer_id,
            last_index=self._store.last_index,
            last_term=self._store.last_term,
            pre_vote=pre_vote,
        )

    # Replication as the leader.

    def _update_peers(self, now: float) -> None:
        members = self._store.membership().members
        others = {each.replica_id for each in members} - {self.replica_id}
        for peer_id in others - self._peers.keys():
            self._peers[peer_id] = PeerProgress(
                next_index=self._store.last_index + 1, known_since=now
            )
        for peer_id in self._peers.keys() - others:
            del self._peers[peer_id]

    def _quorum_contact(self, now: float) -> float:
        voters = self._store.membership().voters()
        contacts = [self._last_contact_of(voter.replica_id, now) for voter in voters]
        contacts.sort(reverse=True)
        return contacts[quorum_size(len(contacts)) - 1] if contacts else now

    def _last_contact_of(self, replica_id: str, now: float) -> float:
        if replica_id == self.replica_id:
            return now
        progress = self._peers.get(replica_id)
        contact = progress.last_contact if progress else float("-inf")
        return max(contact, self._leader_since)

    def _next_log_request(
        self, peer_id: str, progress: PeerProgress, now: float
    ) -> AppendRequest | InstallRequest:
        previous = progress.next_index - 1
        previous_term = self._store.term_at(previous)
        if previous_term is None:
            return self._install_request(peer_id)
        entries = bounded_batch(self._store.entries_from(progress.next_index, MAX_BATCH_ENTRIES))
        return AppendRequest(
            term=self.term,
            leader_id=self.replica_id,
            receiver_id=peer_id,
            previous_index=previous,
            previous_term=previous_term,
            entries=entries,
            commit_index=self.commit_index,
            quorum_age_ms=int((now - self._quorum_contact(now)) * MS_PER_S),
            clock_ms=int(now * MS_PER_S),
        )

    def _install_request(self, peer_id: str) -> InstallRequest:
        snapshot = self._store.snapshot
        return InstallRequest(
            term=self.term,
            leader_id=self.replica_id,
            receiver_id=peer_id,
            last_index=snapshot.last_index,
            last_term=snapshot.last_term,
            membership=snapshot.membership,
            image=snapshot.image,
        )

    def _advance_commit(self, now: float) -> None:
        voters = self._store.membership().voters()
        matches = [self._match_index_of(voter.replica_id) for voter in voters]
        index = committed_index(matches)
        if index > self.commit_index and self._store.term_at(index) == self.term:
            self._commit_to(index, now)

    def _match_index_of(self, replica_id: str) -> int:
        if replica_id == self.replica_id:
            return self._store.last_index
        progress = self._peers.get(replica_id)
        return progress.match_index if progress else 0

    # Following a leader.

    def _require_receiver(self, receiver_id: str) -> None:
        """Reject a request for another replica ID, such as that of a lost data folder.

        A reply would make the leader count the lost replica as live.
        """
        if receiver_id != self.replica_id:
            raise WrongReplicaError(error_texts.WRONG_REPLICA.format(replica_id=receiver_id))

    def _accept_leader(self, term: int, leader_id: str, now: float) -> bool:
        if term < self.term:
            return False
        if term > self.term or self.role is not Role.FOLLOWER:
            self._adopt_term(term, now)
        self.leader_id = leader_id
        self._last_leader_contact = now
        self._election_due = now + self._election_delay()
        return True

    def _append_reply(self, success: bool, match_index: int) -> AppendReply:
        return AppendReply(term=self.term, success=success, match_index=match_index)

    def _append_missing_entries(self, entries: tuple[LogEntry, ...]) -> None:
        new = [entry for entry in entries if entry.index > self._store.snapshot.last_index]
        while new and self._store.term_at(new[0].index) == new[0].term:
            new.pop(0)
        if not new:
            return
        if new[0].index <= self._store.last_index:
            self._store.truncate_from(new[0].index)
        self._store.append(new)

    def _clear_damage_if_recovered(self, req: AppendRequest, match_index: int) -> None:
        caught_up = match_index >= req.commit_index
        committed_in_term = self._store.term_at(req.commit_index) == req.term
        if self._store.damaged and caught_up and committed_in_term:
            self._store.clear_damage()
            _log.info("damage_repaired", replica=self.replica_id)

    # Commit and apply.

    def _commit_to(self, index: int, now: float) -> None:
        if index <= self.commit_index:
            return
        self.commit_index = index
        for entry in self._store.entries_from(self._applied_index + 1, index - self._applied_index):
            self._apply_entry(entry)
        self._fail_skipped_proposals()
        self._compact_log_if_large()
        self._step_down_if_removed(now)
        self.changed.notify_all()

    def _apply_entry(self, entry: LogEntry) -> None:
        outcome = self._machine.apply(entry.change) if entry.change is not None else None
        self._applied_index = entry.index
        term, fut = self._pending_results.pop(entry.index, (0, None))
        if fut is None:
            return
        if term == entry.term:
            fut.set_result(outcome)
        else:
            fut.set_exception(NotLeaderError(error_texts.NOT_LEADER))

    def _fail_skipped_proposals(self) -> None:
        for index in [each for each in self._pending_results if each <= self._applied_index]:
            _, fut = self._pending_results.pop(index)
            fut.set_exception(NotLeaderError(error_texts.NOT_LEADER))

    def _compact_log_if_large(self) -> None:
        log_is_small = self._store.log_bytes < MAX_LOG_BYTES
        if self._store.record_count < self._snapshot_records and log_is_small:
            return
        self._store.install(
            Snapshot(
                last_index=self._applied_index,
                last_term=self._store.term_at(self._applied_index) or 0,
                membership=self._committed_membership(),
                image=self._machine.image(),
            )
        )

    def _committed_membership(self) -> Membership:
        start = self._store.snapshot.last_index + 1
        applied = self._store.entries_from(start, self._applied_index - start + 1)
        for entry in reversed(applied):
            if entry.membership is not None:
                return entry.membership
        return self._store.snapshot.membership

    def _step_down_if_removed(self, now: float) -> None:
        own = self._store.membership().find(self.replica_id)
        removed = own is None or not own.voter
        if self.role is Role.LEADER and removed:
            self._become_follower(now)


def _leader_clock(req: AppendRequest, now: float) -> LeaderClock | None:
    if not req.clock_ms:
        return None
    return LeaderClock(term=req.term, lead_s=req.clock_ms / MS_PER_S - now)


def bounded_batch(entries: tuple[LogEntry, ...]) -> tuple[LogEntry, ...]:
    """Return the leading entries that fit one append request; at least one if there are any."""
    size = 0
    for count, entry in enumerate(entries, 1):
        size += change_size(entry.change) if entry.change is not None else 0
        if size >= MAX_BATCH_BYTES:
            return entries[:count]
    return entries


def _drop_expired(batch: list[Proposal], now: float) -> list[Proposal]:
    """Return the proposals that may still enter the log; the others fail."""
    kept: list[Proposal] = []
    for proposal in batch:
        if now < proposal.expires:
            kept.append(proposal)
        else:
            proposal.fut.set_exception(OrderExpiredError(error_texts.ORDER_EXPIRED))
    return kept


def _fail_proposals(batch: list[Proposal], exc: Exception) -> None:
    for proposal in batch:
        proposal.fut.set_exception(exc)
