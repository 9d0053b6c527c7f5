"""Durable files: atomic replacement and an append-only file of checksummed records.

Writes return only after an fsync. A failed append is rolled back, so that a full disk leaves
the file unchanged.
"""

from __future__ import annotations

import os
import struct
import zlib
from pathlib import Path
from typing import Final

import attrs

from lentilcourse import error_texts
from lentilcourse.errors import StorageError

RECORD_HEADER: Final = struct.Struct(">II")
MAX_RECORD_BYTES: Final = 64 * 1024 * 1024


def write_atomically(path: Path, data: bytes) -> None:
    """Replace a file atomically by checksummed `data` and sync it; raises `StorageError`."""
    temporary_path = path.with_name(path.name + ".new")
    try:
        with open(temporary_path, "wb") as handle:
            handle.write(RECORD_HEADER.pack(len(data), zlib.crc32(data)))
            handle.write(data)
            handle.flush()
            os.fsync(handle.fileno())
        os.replace(temporary_path, path)
        sync_folder(path.parent)
    except OSError as exc:
        raise StorageError(f"{path.name}: {exc}") from exc


def read_checksummed(path: Path) -> bytes | None:
    """Return data written by `write_atomically`, None if the file does not exist.

    Raises `StorageError` if the file is damaged or cannot be read.
    """
    try:
        raw = path.read_bytes()
    except FileNotFoundError:
        return None
    except OSError as exc:
        raise StorageError(f"{path.name}: {exc}") from exc
    if len(raw) < RECORD_HEADER.size:
        raise StorageError(error_texts.LOG_DAMAGED.format(file=path.name, offset=0, cause="short"))
    length, checksum = RECORD_HEADER.unpack_from(raw)
    data = raw[RECORD_HEADER.size :]
    if len(data) != length or zlib.crc32(data) != checksum:
        text = error_texts.LOG_DAMAGED.format(file=path.name, offset=0, cause="checksum")
        raise StorageError(text)
    return data


def sync_folder(folder: Path) -> None:
    """Sync a folder, so that created, renamed and removed files in it survive a crash."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


@attrs.frozen(kw_only=True)
class ScannedRecords:
    """Result of scanning a record file.

    Attributes:
        payloads: payloads of the readable records, in order.
        offsets: byte offset of each readable record.
        end: byte offset after the last readable record.
        damage: why the scan stopped before the end of the file; empty if it reached the end.
    """

    payloads: tuple[bytes, ...]
    offsets: tuple[int, ...]
    end: int
    damage: str


def scan_records(raw: bytes) -> ScannedRecords:
    """Read records up to the first that is truncated or fails its checksum."""
    payloads: list[bytes] = []
    offsets: list[int] = []
    position = 0
    damage = ""
    while position < len(raw) and not damage:
        damage = _record_damage(raw, position)
        if not damage:
            length, _ = RECORD_HEADER.unpack_from(raw, position)
            start = position + RECORD_HEADER.size
            payloads.append(raw[start : start + length])
            offsets.append(position)
            position = start + length
    return ScannedRecords(
        payloads=tuple(payloads), offsets=tuple(offsets), end=position, damage=damage
    )


def _record_damage(raw: bytes, position: int) -> str:
    start = position + RECORD_HEADER.size
    if start > len(raw):
        return "torn header"
    length, checksum = RECORD_HEADER.unpack_from(raw, position)
    if length > MAX_RECORD_BYTES:
        return "length out of range"
    if start + length > len(raw):
        return "torn record"
    if zlib.crc32(raw[start : start + length]) != checksum:
        return "checksum"
    return ""


class RecordFile:
    """An append-only file of checksummed records, indexed by position.

    Attributes:
        damage: why the tail of the file could not be read at opening; empty if it could.
    """

    def __init__(self, *, path: Path) -> None:
        self._path = path
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o640)
        sync_folder(path.parent)
        scanned = scan_records(path.read_bytes())
        self.damage = scanned.damage
        self._payloads = scanned.payloads
        self._offsets = list(scanned.offsets)
        self._end = scanned.end

    @property
    def size(self) -> int:
        """Size of the valid records in bytes."""
        return self._end

    def take_payloads(self) -> tuple[bytes, ...]:
        """Return the payloads read at opening and release them; later calls return none."""
        payloads, self._payloads = self._payloads, ()
        return payloads

    def truncate_damage(self) -> None:
        """Copy the damaged file to `NAME.damaged` and truncate the unreadable tail."""
        if not self.damage:
            return
        copy_path = self._path.with_name(self._path.name + ".damaged")
        copy_path.write_bytes(self._path.read_bytes())
        self._truncate_to(self._end)

    def append(self, payloads: list[bytes]) -> None:
        """Append records with one sync.

        On failure the file is truncated to its former size and `StorageError` is raised.
        """
        blob = bytearray()
        offsets: list[int] = []
        for payload in payloads:
            offsets.append(self._end + len(blob))
            blob += RECORD_HEADER.pack(len(payload), zlib.crc32(payload))
            blob += payload
        try:
            self._write(bytes(blob))
            self._sync()
        except OSError as exc:
            self._truncate_to(self._end)
            raise StorageError(f"{self._path.name}: {exc}") from exc
        self._offsets.extend(offsets)
        self._end += len(blob)

    def truncate_from(self, position: int) -> None:
        """Remove the record at `position` and all after it."""
        if position >= len(self._offsets):
            return
        self._truncate_to(self._offsets[position])
        self._end = self._offsets[position]
        del self._offsets[position:]

    def replace_all(self, payloads: list[bytes]) -> None:
        """Replace all records atomically."""
        temporary_path = self._path.with_name(self._path.name + ".new")
        temporary_path.unlink(missing_ok=True)
        replacement = RecordFile(path=temporary_path)
        replacement.append(payloads)
        os.replace(temporary_path, self._path)
        sync_folder(self._path.parent)
        os.close(self._descriptor)
        self._descriptor = replacement._descriptor
        self._offsets = replacement._offsets
        self._end = replacement._end

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)

    def _write(self, blob: bytes) -> None:
        written = 0
        while written < len(blob):
            written += os.pwrite(self._descriptor, blob[written:], self._end + written)

    def _sync(self) -> None:
        os.fdatasync(self._descriptor)

    def _truncate_to(self, size: int) -> None:
        try:
            os.ftruncate(self._descriptor, size)
            self._sync()
        except OSError as exc:
            raise StorageError(f"{self._path.name}: {exc}") from exc
