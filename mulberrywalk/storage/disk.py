"""The data folder of one replica: identity, write-ahead log, snapshot.

All functions block on the disk and run in a worker thread of the program.
Files: identity.json, log-<sequence>-<first index>.wal,
snapshot.bin. One frame of a log segment is one synced batch, so that a batch
whose blocks reached the disk in another order is torn as a whole.
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
_IDENTITY = 'identity.json'
_SNAPSHOT = 'snapshot.bin'
_SEQUENCE_DIGITS = 10
_INDEX_DIGITS = 16
_SEGMENT = re.compile(r'log-(\d{10})-(\d{16})\.wal')


class StorageError(Exception):
    """The data folder cannot be used; the message says which file and why."""


class Identity(msgspec.Struct, frozen=True):
    """The identity of a replica, kept for as long as its disk."""

    identity: message.ReplicaId
    founders: message.Membership


class VoteRecord(msgspec.Struct, frozen=True, tag=True):
    """Term and vote, written before they are acted upon."""

    term: int
    vote: message.ReplicaId | None


class EntriesRecord(msgspec.Struct, frozen=True, tag=True):
    """Entries that replace all from the index of the first."""

    entries: tuple[message.LogEntry, ...]


class CommitRecord(msgspec.Struct, frozen=True, tag=True):
    """An index up to which entries were known to be committed."""

    index: int


Record: TypeAlias = VoteRecord | EntriesRecord | CommitRecord

_decoder = msgspec.msgpack.Decoder(list[Record])


@dataclasses.dataclass(slots=True)
class LoadedState:
    """What a data folder held at the start."""

    identity: Identity
    vote: node.SaveVote
    log: replica_log.Log
    snapshot: message.Snapshot | None
    commit_index: int = 0


def create_identity(
    folder: pathlib.Path, founders: message.Membership, name: str
) -> Identity:
    """Write the identity of a founding voter into an empty folder.

    Raises StorageError when the folder has an identity already.
    """
    if (folder / _IDENTITY).exists():
        raise StorageError(f'{folder} already holds a replica')
    identity = Identity(message.ReplicaId(name), founders)
    _save_identity(folder, identity)
    return identity


def load_identity(folder: pathlib.Path, name: str) -> Identity:
    """Return the folder's identity; an empty folder gets a new one.

    The new identity has a random suffix: a replica whose disk was lost never
    votes again under the identity that it had before.
    """
    path = folder / _IDENTITY
    if path.exists():
        return msgspec.json.decode(path.read_bytes(), type=Identity)
    suffix = secrets.token_hex(4)
    identity = Identity(
        message.ReplicaId(f'{name}-{suffix}'), message.Membership(())
    )
    _save_identity(folder, identity)
    return identity


def load(folder: pathlib.Path, name: str) -> LoadedState:
    """Read identity, snapshot and log; cut a torn end of the log.

    Raises StorageError on damage in the middle of a file: the replica must
    then come back with an empty folder and a new identity.
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
    segments = _segments(folder)
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


class Disk:
    """The open write-ahead log of a data folder."""

    def __init__(self, folder: pathlib.Path, loaded: LoadedState) -> None:
        """Open a new segment; loaded is what the folder held."""
        self._folder = folder
        self._vote = loaded.vote
        self._snapshot = loaded.snapshot
        self._descriptor = -1
        self._sequence = max(map(_sequence, _segments(folder)), default=0)
        self._written = 0
        self._open_segment(loaded.log.last_index() + 1)

    def write(
        self,
        effects: list[node.SaveVote | node.SaveEntries],
        commit_index: int = 0,
    ) -> None:
        """Append the records of one batch and sync once.

        commit_index is the index that is known to be committed; a replica that
        starts again applies up to it before it has heard of a leader. Raises
        StorageError when the disk refuses: nothing of the batch may then be
        acknowledged.
        """
        votes = [one for one in effects if isinstance(one, node.SaveVote)]
        if votes:
            self._vote = votes[-1]
        records = [_record(effect) for effect in effects]
        if commit_index:
            records.append(CommitRecord(commit_index))
        blob = frame.pack(msgspec.msgpack.encode(records))
        try:
            _write_all(self._descriptor, blob)
        except OSError as error:
            raise StorageError(f'write-ahead log: {error}') from error
        self._written += len(blob)

    def rotate(self, next_index: int) -> None:
        """Start a new segment once the present one has grown large."""
        if self._written >= SEGMENT_BYTES:
            self._open_segment(next_index)

    def save_snapshot(self, snapshot: message.Snapshot) -> None:
        """Replace the snapshot and delete the segments that it covers."""
        payload = frame.pack(msgspec.msgpack.encode(snapshot))
        _replace(self._folder / _SNAPSHOT, payload)
        self._snapshot = snapshot
        segments = _segments(self._folder)
        for path, following in itertools.pairwise(segments):
            if _first_index(following) <= snapshot.index + 1:
                path.unlink()
        _sync_folder(self._folder)

    def install_snapshot(self, snapshot: message.Snapshot) -> None:
        """Replace state and log by a snapshot received from the leader."""
        old = _segments(self._folder)
        payload = frame.pack(msgspec.msgpack.encode(snapshot))
        _replace(self._folder / _SNAPSHOT, payload)
        self._snapshot = snapshot
        # The vote is written to the new segment before the old ones go.
        self._open_segment(snapshot.index + 1)
        for path in old:
            path.unlink()
        _sync_folder(self._folder)

    def snapshot(self) -> message.Snapshot | None:
        """Return the latest snapshot on the disk."""
        return self._snapshot

    def close(self) -> None:
        """Close the present segment."""
        os.close(self._descriptor)

    def _open_segment(self, next_index: int) -> None:
        if self._descriptor >= 0:
            os.close(self._descriptor)
        self._sequence += 1
        number = str(self._sequence).zfill(_SEQUENCE_DIGITS)
        first = str(next_index).zfill(_INDEX_DIGITS)
        path = self._folder / f'log-{number}-{first}.wal'
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._descriptor = os.open(path, flags, _FILE_MODE)
        self._written = os.fstat(self._descriptor).st_size
        _sync_folder(self._folder)
        # Each segment repeats the vote, so that older ones may be deleted.
        self.write([self._vote])


def _record(effect: node.SaveVote | node.SaveEntries) -> Record:
    if isinstance(effect, node.SaveVote):
        return VoteRecord(effect.term, effect.vote)
    return EntriesRecord(effect.entries)


def _segments(folder: pathlib.Path) -> list[pathlib.Path]:
    return sorted(
        path for path in folder.iterdir() if _SEGMENT.fullmatch(path.name)
    )


def _sequence(path: pathlib.Path) -> int:
    return int(path.name.split('-')[1])


def _first_index(path: pathlib.Path) -> int:
    return int(path.stem.split('-')[2])


def _load_segment(path: pathlib.Path, *, is_last: bool) -> list[Record]:
    blob = path.read_bytes()
    frames = frame.unpack(blob)
    is_short = frames.intact_length < len(blob)
    if is_short and (frames.is_damaged or not is_last):
        raise StorageError(
            f'{path} is damaged at byte {frames.intact_length}: move the data '
            'folder away and start with an empty one'
        )
    if is_short:
        _cut(path, frames.intact_length)
    if is_last:
        # A process that was killed while it wrote has left what reads well
        # and is not on the disk yet; from here on it counts as written.
        _sync_file(path)
    batches = [_decoder.decode(payload) for payload in frames.payloads]
    return list(itertools.chain.from_iterable(batches))


def _cut(path: pathlib.Path, length: int) -> None:
    with _opened(path, os.O_WRONLY) as descriptor:
        os.ftruncate(descriptor, length)
        os.fsync(descriptor)


def _sync_file(path: pathlib.Path) -> None:
    with _opened(path, os.O_WRONLY) as descriptor:
        os.fsync(descriptor)


def _replay(
    log: replica_log.Log,
    entries: tuple[message.LogEntry, ...],
    path: pathlib.Path,
) -> None:
    fresh = [one for one in entries if one.index > log.snapshot_index]
    if not fresh:
        return
    if fresh[0].index > log.last_index() + 1:
        missing = log.last_index() + 1
        raise StorageError(f'{path} lacks entry {missing}')
    log.truncate(fresh[0].index)
    for entry in fresh:
        log.append(entry)


def _load_snapshot(folder: pathlib.Path) -> message.Snapshot | None:
    path = folder / _SNAPSHOT
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
    _replace(folder / _IDENTITY, msgspec.json.encode(identity))


def _replace(path: pathlib.Path, payload: bytes) -> None:
    # Written beside and renamed, so that a crash leaves the old or the new.
    temporary = path.with_suffix('.new')
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
    try:
        with _opened(temporary, flags) as descriptor:
            _write_all(descriptor, payload)
    except OSError as error:
        raise StorageError(f'{path}: {error}') from error
    temporary.replace(path)
    _sync_folder(path.parent)


def _write_all(descriptor: int, blob: bytes) -> None:
    rest = memoryview(blob)
    while rest:
        rest = rest[os.write(descriptor, rest) :]
    os.fdatasync(descriptor)


def _sync_folder(folder: pathlib.Path) -> None:
    with _opened(folder, os.O_RDONLY) as descriptor:
        os.fsync(descriptor)


@contextlib.contextmanager
def _opened(path: pathlib.Path, flags: int) -> Iterator[int]:
    descriptor = os.open(path, flags, _FILE_MODE)
    with contextlib.ExitStack() as stack:
        stack.callback(os.close, descriptor)
        yield descriptor
