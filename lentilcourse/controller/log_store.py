"""Durable state of one replica: replica ID, vote, snapshot and log.

The data folder holds the files `identity`, `vote`, `snapshot`, `log` and, after damage, the
marker `damaged`. A damaged log tail may include entries that were synced and acknowledged, so
the marker is written before the tail is truncated: the replica then neither votes nor starts
elections until it has recovered all committed entries from a leader (see `replica`).
"""

from __future__ import annotations

import secrets
from pathlib import Path
from typing import Final, TypeVar

import attrs

from lentilcourse import error_texts
from lentilcourse.codec import pack_record, unpack_record
from lentilcourse.controller.files import (
    RecordFile,
    read_checksummed,
    sync_folder,
    write_atomically,
)
from lentilcourse.errors import ProtocolError, StorageError
from lentilcourse.messages.consensus import LogEntry, Membership

Loaded = TypeVar("Loaded")

FORMAT_VERSION: Final = 1
REPLICA_ID_BYTES: Final = 6


NO_MEMBERS: Final = Membership(members=())


def latest_membership(entries: list[LogEntry]) -> LogEntry | None:
    """Return the last entry that holds a membership, None if there is none."""
    return next((each for each in reversed(entries) if each.membership is not None), None)


@attrs.frozen(kw_only=True)
class ReplicaIdentity:
    """Format version of one data folder, and the replica ID stored in it."""

    format_version: int
    replica_id: str


@attrs.frozen(kw_only=True)
class Vote:
    """Current term, and the replica ID of the candidate voted for in it ("" for none)."""

    term: int = 0
    candidate_id: str = ""


@attrs.frozen(kw_only=True)
class Snapshot:
    """Image of the state machine after all entries up to `last_index` were applied."""

    last_index: int = 0
    last_term: int = 0
    membership: Membership = attrs.field(factory=lambda: Membership(members=()))
    image: bytes = b""


class LogStore:
    """Durable log of one replica; entries after the snapshot are also held in memory.

    Attributes:
        replica_id: replica ID stored in the data folder.
        vote: current term and vote.
        snapshot: latest snapshot; empty before the first.
        damaged: whether synced entries were lost and not yet recovered from a leader.
    """

    def __init__(self, *, folder: Path, name: str) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._data_folder = folder
        self.replica_id = self._load_identity(name)
        self.vote = self._load_record(folder / "vote", Vote) or Vote()
        self.snapshot = self._load_record(folder / "snapshot", Snapshot) or Snapshot()
        self._log_file = RecordFile(path=folder / "log")
        self.damaged = (folder / "damaged").exists()
        self._entries = self._load_entries()
        self._membership_entry = latest_membership(self._entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.snapshot.last_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.snapshot.last_term

    @property
    def record_count(self) -> int:
        """Number of entries after the snapshot."""
        return len(self._entries)

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at `index`, None if it is compacted or not in the log."""
        if index == self.snapshot.last_index:
            return self.snapshot.last_term
        if not self.snapshot.last_index < index <= self.last_index:
            return None
        return self._entries[index - self.snapshot.last_index - 1].term

    def entries_from(self, index: int, limit: int) -> tuple[LogEntry, ...]:
        """Return up to `limit` entries, starting at `index`."""
        start = index - self.snapshot.last_index - 1
        return tuple(self._entries[start : start + limit])

    @property
    def log_bytes(self) -> int:
        """Size in bytes of the log file, which holds the entries after the snapshot."""
        return self._log_file.size

    def membership(self) -> Membership:
        """Return the latest membership in the log, committed or not."""
        entry = self._membership_entry
        return self.snapshot.membership if entry is None else (entry.membership or NO_MEMBERS)

    def membership_index(self) -> int:
        """Return the index of the latest membership entry, else the last index of the snapshot."""
        entry = self._membership_entry
        return self.snapshot.last_index if entry is None else entry.index

    def save_vote(self, vote: Vote) -> None:
        """Store term and vote durably; must return before any message relies on them."""
        write_atomically(self._data_folder / "vote", pack_record(vote))
        self.vote = vote

    def append(self, entries: list[LogEntry]) -> None:
        """Append entries to the log file with one sync."""
        if not entries:
            return
        self._log_file.append([pack_record(entry) for entry in entries])
        self._entries.extend(entries)
        self._membership_entry = latest_membership(entries) or self._membership_entry

    def truncate_from(self, index: int) -> None:
        """Remove the entry at `index` and all after it."""
        position = index - self.snapshot.last_index - 1
        self._log_file.truncate_from(position)
        del self._entries[position:]
        self._membership_entry = latest_membership(self._entries)

    def install(self, snapshot: Snapshot) -> None:
        """Replace the snapshot; keep the later entries if the log matches it at its last index."""
        matches = self.term_at(snapshot.last_index) == snapshot.last_term
        kept = self.entries_from(snapshot.last_index + 1, len(self._entries)) if matches else ()
        write_atomically(self._data_folder / "snapshot", pack_record(snapshot))
        self._log_file.replace_all([pack_record(entry) for entry in kept])
        self.snapshot = snapshot
        self._entries = list(kept)
        self._membership_entry = latest_membership(self._entries)

    def clear_damage(self) -> None:
        """Remove the damage marker; to be called once all committed entries are recovered."""
        (self._data_folder / "damaged").unlink(missing_ok=True)
        sync_folder(self._data_folder)
        self.damaged = False

    def close(self) -> None:
        """Close the log file."""
        self._log_file.close()

    def _load_identity(self, name: str) -> str:
        path = self._data_folder / "identity"
        identity = self._load_record(path, ReplicaIdentity)
        if identity is None:
            replica_id = f"{name}/{secrets.token_hex(REPLICA_ID_BYTES)}"
            identity = ReplicaIdentity(format_version=FORMAT_VERSION, replica_id=replica_id)
            write_atomically(path, pack_record(identity))
        if identity.format_version != FORMAT_VERSION:
            text = error_texts.DATA_FOREIGN.format(file=path.name, version=identity.format_version)
            raise StorageError(text)
        return identity.replica_id

    def _load_record(self, path: Path, cls: type[Loaded]) -> Loaded | None:
        data = read_checksummed(path)
        if data is None:
            return None
        try:
            return unpack_record(data, cls)
        except ProtocolError as exc:
            raise StorageError(f"{path.name}: {exc}") from exc

    def _load_entries(self) -> list[LogEntry]:
        if self._log_file.damage:
            self._set_damage_marker()
            self._log_file.truncate_damage()
        entries = [unpack_record(payload, LogEntry) for payload in self._log_file.take_payloads()]
        compacted = [entry for entry in entries if entry.index <= self.snapshot.last_index]
        kept = entries[len(compacted) :]
        if kept and kept[0].index != self.snapshot.last_index + 1:
            self._set_damage_marker()
            kept = []
        if compacted or len(kept) != len(entries):
            self._log_file.replace_all([pack_record(entry) for entry in kept])
        return kept

    def _set_damage_marker(self) -> None:
        write_atomically(self._data_folder / "damaged", b"")
        self.damaged = True
