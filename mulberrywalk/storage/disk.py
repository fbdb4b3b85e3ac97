"""The data folder of one replica: identity, write-ahead log and snapshot.

All functions block on disk access and are meant to run in a worker thread.
The files are identity.json, log-<sequence>-<first index>.wal and
snapshot.bin. Each frame of a log segment holds one synced batch: if a crash
leaves only some blocks of a batch on disk, in any order, the whole batch is
discarded as a torn write.
"""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
import os
import pathlib
import re
import secrets
from collections.abc import Iterator
from typing import TypeAlias

import msgspec

from ..consensus import log as replica_log
from ..consensus import message, node
from . import frame

SEGMENT_BYTES = 8_388_608
_FILE_MODE = 0o644
_IDENTITY_FILE = 'identity.json'
_SNAPSHOT_FILE = 'snapshot.bin'
_SEQUENCE_DIGITS = 10
_INDEX_DIGITS = 16
_SEGMENT_PATTERN = re.compile(r'log-(\d{10})-(\d{16})\.wal')


class StorageError(Exception):
    """The data folder cannot be used; the message names the file and reason."""


class DiskRefusalError(StorageError, OSError):
    """The disk refuses an operation, which may succeed when it is repeated."""


class Identity(msgspec.Struct, frozen=True):
    """The identity of a replica, which lasts as long as its disk.

    founders is the initial membership of the cluster, empty for a replica that
    joins later.
    """

    identity: message.ReplicaId
    founders: message.Membership


class VoteRecord(msgspec.Struct, frozen=True, tag=True):
    """Term and vote, saved before any message that depends on them is sent."""

    term: int
    vote: message.ReplicaId | None


class EntriesRecord(msgspec.Struct, frozen=True, tag=True):
    """Entries that replace all earlier ones from the index of the first on."""

    entries: tuple[message.LogEntry, ...]


class CommitRecord(msgspec.Struct, frozen=True, tag=True):
    """The index up to which entries were known to be committed."""

    index: int


Record: TypeAlias = VoteRecord | EntriesRecord | CommitRecord

_decoder = msgspec.msgpack.Decoder(list[Record])


@dataclasses.dataclass(slots=True)
class LoadedState:
    """The contents of a data folder when the replica starts."""

    identity: Identity
    vote: node.SaveVote
    log: replica_log.Log
    snapshot: message.Snapshot | None
    commit_index: int = 0


def create_identity(
    folder: pathlib.Path, founders: message.Membership, name: str
) -> Identity:
    """Write the identity of a founding voter to an empty folder.

    Raises StorageError if the folder already has an identity.
    """
    if (folder / _IDENTITY_FILE).exists():
        raise StorageError(f'{folder} already holds a replica')
    identity = Identity(message.ReplicaId(name), founders)
    _save_identity(folder, identity)
    return identity


def load_identity(folder: pathlib.Path, name: str) -> Identity:
    """Return the folder's identity, creating one in an empty folder.

    A new identity has a random suffix, so that a replica whose disk was lost
    never votes again under its previous identity.
    """
    path = folder / _IDENTITY_FILE
    if path.exists():
        return msgspec.json.decode(path.read_bytes(), type=Identity)
    suffix = secrets.token_hex(4)
    identity = Identity(
        message.ReplicaId(f'{name}-{suffix}'), message.Membership(())
    )
    _save_identity(folder, identity)
    return identity


def load(folder: pathlib.Path, name: str) -> LoadedState:
    """Read identity, snapshot and log, and truncate a torn write at the end.

    Raises StorageError if a file is damaged in the middle: the replica must
    then restart with an empty folder and a new identity.
    """
    identity = load_identity(folder, name)
    snapshot = _load_snapshot(folder)
    log = replica_log.Log(0, 0, identity.founders)
    if snapshot is not None:
        log = replica_log.Log(
            snapshot.index, snapshot.term, snapshot.membership
        )
    vote = node.SaveVote(0, None)
    commit_index = 0
    segments = _list_segments(folder)
    for position, path in enumerate(segments):
        is_last = position == len(segments) - 1
        for record in _load_segment(path, is_last=is_last):
            if isinstance(record, VoteRecord):
                vote = node.SaveVote(record.term, record.vote)
            elif isinstance(record, CommitRecord):
                commit_index = max(commit_index, record.index)
            else:
                _replay(log, record.entries, path)
    return LoadedState(identity, vote, log, snapshot, commit_index)


def open_folder(folder: pathlib.Path, name: str) -> tuple[LoadedState, Disk]:
    """Load a data folder and open its write-ahead log.

    After an OSError it can be called again: load truncates what the earlier
    call has left in its segment.
    """
    loaded = load(folder, name)
    return loaded, Disk(folder, loaded)


class Disk:
    """The open write-ahead log of a data folder."""

    def __init__(self, folder: pathlib.Path, loaded: LoadedState) -> None:
        """Open a new segment; loaded holds the contents of the folder."""
        self._folder = folder
        self._vote = loaded.vote
        self._snapshot = loaded.snapshot
        self._descriptor = -1
        self._sequence = max(
            map(_sequence_number, _list_segments(folder)), default=0
        )
        self._segment_size = 0
        self._has_failed_write = False
        self._open_segment(loaded.log.last_index() + 1)

    def write(
        self,
        effects: list[node.SaveVote | node.SaveEntries],
        commit_index: int = 0,
    ) -> None:
        """Append the records of one batch and sync them to disk once.

        commit_index is the index known to be committed; a restarted replica
        applies entries up to it before it has contact with a leader. Raises
        DiskRefusalError if the write fails: no part of the batch may then be
        acknowledged, and the same batch has to be written again.
        """
        votes = [save for save in effects if isinstance(save, node.SaveVote)]
        if votes:
            self._vote = votes[-1]
        records = [_to_record(effect) for effect in effects]
        if commit_index:
            records.append(CommitRecord(commit_index))
        blob = frame.pack(msgspec.msgpack.encode(records))
        try:
            self._append(blob)
        except OSError as error:
            raise DiskRefusalError(f'write-ahead log: {error}') from error

    def rotate(self, next_index: int) -> None:
        """Start a new segment if the current one has reached SEGMENT_BYTES."""
        if self._segment_size >= SEGMENT_BYTES:
            self._open_segment(next_index)

    def save_snapshot(self, snapshot: message.Snapshot) -> None:
        """Replace the snapshot and delete the segments that it fully covers."""
        payload = frame.pack(msgspec.msgpack.encode(snapshot))
        _replace_file(self._folder / _SNAPSHOT_FILE, payload)
        self._snapshot = snapshot
        segments = _list_segments(self._folder)
        for path, following in itertools.pairwise(segments):
            if _first_index(following) <= snapshot.index + 1:
                path.unlink()
        _sync_folder(self._folder)

    def install_snapshot(self, snapshot: message.Snapshot) -> None:
        """Replace state and log with a snapshot received from the leader."""
        # A refused call may have left the file that is opened below.
        old_segments = [
            path
            for path in _list_segments(self._folder)
            if _sequence_number(path) <= self._sequence
        ]
        payload = frame.pack(msgspec.msgpack.encode(snapshot))
        _replace_file(self._folder / _SNAPSHOT_FILE, payload)
        self._snapshot = snapshot
        # The vote is written to the new segment before the old segments, which
        # also hold it, are deleted.
        self._open_segment(snapshot.index + 1)
        for path in old_segments:
            path.unlink()
        _sync_folder(self._folder)

    def snapshot(self) -> message.Snapshot | None:
        """Return the latest snapshot on disk, or None."""
        return self._snapshot

    def close(self) -> None:
        """Close the current segment."""
        os.close(self._descriptor)

    def _append(self, blob: bytes) -> None:
        # What a failed write has left is removed, or the segment would be
        # damaged in front of this batch. All bytes of the batch are written
        # again, because a failed sync may have dropped any of them.
        if self._has_failed_write:
            os.ftruncate(self._descriptor, self._segment_size)
        self._has_failed_write = True
        _write_all(self._descriptor, blob)
        self._has_failed_write = False
        self._segment_size += len(blob)

    def _open_segment(self, next_index: int) -> None:
        """Replace the current segment, which is kept if an OSError is raised.

        A repeated call with the same index opens the same file.
        """
        number = str(self._sequence + 1).zfill(_SEQUENCE_DIGITS)
        first = str(next_index).zfill(_INDEX_DIGITS)
        path = self._folder / f'log-{number}-{first}.wal'
        # Each segment starts with the vote, so that older segments can be
        # deleted.
        vote = frame.pack(msgspec.msgpack.encode([_to_record(self._vote)]))
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND
        with contextlib.ExitStack() as stack:
            descriptor = os.open(path, flags, _FILE_MODE)
            stack.callback(os.close, descriptor)
            _sync_folder(self._folder)
            _write_all(descriptor, vote)
            stack.pop_all()
        previous = self._descriptor
        self._descriptor = descriptor
        self._segment_size = len(vote)
        self._has_failed_write = False
        self._sequence += 1
        if previous >= 0:
            os.close(previous)


def _to_record(effect: node.SaveVote | node.SaveEntries) -> Record:
    if isinstance(effect, node.SaveVote):
        return VoteRecord(effect.term, effect.vote)
    return EntriesRecord(effect.entries)


def _list_segments(folder: pathlib.Path) -> list[pathlib.Path]:
    return sorted(
        path
        for path in folder.iterdir()
        if _SEGMENT_PATTERN.fullmatch(path.name)
    )


def _sequence_number(path: pathlib.Path) -> int:
    return int(path.name.split('-')[1])


def _first_index(path: pathlib.Path) -> int:
    return int(path.stem.split('-')[2])


def _load_segment(path: pathlib.Path, *, is_last: bool) -> list[Record]:
    blob = path.read_bytes()
    frames = frame.unpack(blob)
    has_bad_frame = frames.intact_length < len(blob)
    if has_bad_frame and (frames.is_damaged or not is_last):
        raise StorageError(
            f'{path} is damaged at byte {frames.intact_length}: move the data '
            'folder away and start with an empty one'
        )
    if has_bad_frame:
        _truncate_file(path, frames.intact_length)
    if is_last:
        # A process killed between write and sync leaves data that can be read
        # but may not be on disk yet. It is treated as durable from here on, so
        # it is synced first.
        _sync_file(path)
    batches = [_decoder.decode(payload) for payload in frames.payloads]
    return list(itertools.chain.from_iterable(batches))


def _truncate_file(path: pathlib.Path, length: int) -> None:
    with _open_file(path, os.O_WRONLY) as descriptor:
        os.ftruncate(descriptor, length)
        os.fsync(descriptor)


def _sync_file(path: pathlib.Path) -> None:
    with _open_file(path, os.O_WRONLY) as descriptor:
        os.fsync(descriptor)


def _replay(
    log: replica_log.Log,
    entries: tuple[message.LogEntry, ...],
    path: pathlib.Path,
) -> None:
    new_entries = [
        stored for stored in entries if stored.index > log.snapshot_index
    ]
    if not new_entries:
        return
    if new_entries[0].index > log.last_index() + 1:
        missing = log.last_index() + 1
        raise StorageError(f'{path}: entry {missing} is missing from the log')
    log.truncate(new_entries[0].index)
    for entry in new_entries:
        log.append(entry)


def _load_snapshot(folder: pathlib.Path) -> message.Snapshot | None:
    path = folder / _SNAPSHOT_FILE
    if not path.exists():
        return None
    payloads = frame.unpack(path.read_bytes()).payloads
    if not payloads:
        raise StorageError(
            f'{path} is damaged: move the data folder away and start with an '
            'empty one'
        )
    return msgspec.msgpack.decode(payloads[0], type=message.Snapshot)


def _save_identity(folder: pathlib.Path, identity: Identity) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    _replace_file(folder / _IDENTITY_FILE, msgspec.json.encode(identity))


def _replace_file(path: pathlib.Path, payload: bytes) -> None:
    # Written to a temporary file and renamed, so that a crash leaves either
    # the old or the new file.
    temporary = path.with_suffix('.new')
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
    try:
        with _open_file(temporary, flags) as descriptor:
            _write_all(descriptor, payload)
    except OSError as error:
        raise DiskRefusalError(f'{path}: {error}') from error
    temporary.replace(path)
    _sync_folder(path.parent)


def _write_all(descriptor: int, blob: bytes) -> None:
    remaining = memoryview(blob)
    while remaining:
        remaining = remaining[os.write(descriptor, remaining) :]
    os.fdatasync(descriptor)


def _sync_folder(folder: pathlib.Path) -> None:
    with _open_file(folder, os.O_RDONLY) as descriptor:
        os.fsync(descriptor)


@contextlib.contextmanager
def _open_file(path: pathlib.Path, flags: int) -> Iterator[int]:
    descriptor = os.open(path, flags, _FILE_MODE)
    with contextlib.ExitStack() as stack:
        stack.callback(os.close, descriptor)
        yield descriptor
