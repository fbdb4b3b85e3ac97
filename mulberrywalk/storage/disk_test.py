"""Tests the data folder with torn writes, damage and lost files."""

import pytest

from ..consensus import message, node
from . import disk, frame


def member(name):
    return message.Member(message.ReplicaId(name), f'{name}:1', 'dc', True)


def entries(first, last, term=1):
    return node.SaveEntries(
        tuple(
            message.LogEntry(
                index, term, message.EntryKind.COMMAND, b'%d' % index
            )
            for index in range(first, last + 1)
        )
    )


@pytest.fixture
def folder(tmp_path):
    founders = message.Membership((member('a'), member('b')))
    disk.create_identity(tmp_path, founders, 'a')
    return tmp_path


def single(paths):
    assert len(paths) == 1, paths
    return paths[0]


def open_disk(folder):
    return disk.Disk(folder, disk.load(folder, 'a'))


def segments(folder):
    return sorted(folder.glob('log-*.wal'))


def test_load_returns_what_was_written(folder):
    opened = open_disk(folder)
    opened.write([node.SaveVote(3, message.ReplicaId('b')), entries(1, 5)])
    loaded = disk.load(folder, 'a')
    assert loaded.vote == node.SaveVote(3, 'b')
    assert loaded.log.last_index() == 5


def test_load_restores_the_commit_index(folder):
    opened = open_disk(folder)
    opened.write([entries(1, 5)], commit_index=2)
    opened.write([entries(6, 9)], commit_index=7)
    assert disk.load(folder, 'a').commit_index == 7


def test_load_discards_the_commit_index_of_a_torn_write(folder):
    opened = open_disk(folder)
    opened.write([entries(1, 5)], commit_index=2)
    opened.write([entries(6, 9)], commit_index=7)
    path = segments(folder)[-1]
    path.write_bytes(path.read_bytes()[:-1])
    loaded = disk.load(folder, 'a')
    assert loaded.commit_index == 2
    assert loaded.log.last_index() == 5


def test_load_applies_overwritten_entries(folder):
    opened = open_disk(folder)
    opened.write([entries(1, 5)])
    opened.write([entries(3, 4, term=2)])
    loaded = disk.load(folder, 'a').log
    assert loaded.last_index() == 4
    assert loaded.term_at(3) == 2


def test_load_reads_segments_in_order_after_a_log_truncation(
    folder, monkeypatch
):
    monkeypatch.setattr(disk, 'SEGMENT_BYTES', 1)
    opened = open_disk(folder)
    opened.write([entries(1, 50)])
    opened.rotate(51)
    opened.write([entries(10, 11, term=2)])
    opened.rotate(12)
    opened.write([entries(12, 12, term=2)])
    loaded = disk.load(folder, 'a').log
    assert loaded.last_index() == 12
    assert loaded.term_at(10) == 2


@pytest.mark.parametrize('lost_bytes', [1, 7, 20])
def test_load_truncates_a_torn_write(folder, lost_bytes):
    opened = open_disk(folder)
    opened.write([entries(1, 5)])
    opened.write([entries(6, 9)])
    path = segments(folder)[-1]
    path.write_bytes(path.read_bytes()[:-lost_bytes])
    assert disk.load(folder, 'a').log.last_index() == 5
    reopened = open_disk(folder)
    reopened.write([entries(6, 7)])
    assert disk.load(folder, 'a').log.last_index() == 7


def test_load_rejects_damage_in_the_middle(folder):
    opened = open_disk(folder)
    opened.write([entries(1, 5)])
    opened.write([entries(6, 9)])
    path = segments(folder)[-1]
    damaged = bytearray(path.read_bytes())
    damaged[len(damaged) // 2] ^= 1
    path.write_bytes(bytes(damaged))
    with pytest.raises(disk.StorageError, match='damaged at byte'):
        disk.load(folder, 'a')


def test_save_snapshot_deletes_covered_segments(folder, monkeypatch):
    monkeypatch.setattr(disk, 'SEGMENT_BYTES', 1)
    opened = open_disk(folder)
    opened.write([node.SaveVote(4, None), entries(1, 5)])
    opened.rotate(6)
    opened.write([entries(6, 8)])
    founders = disk.load(folder, 'a').identity.founders
    opened.save_snapshot(message.Snapshot(5, 1, founders, b'state'))
    loaded = disk.load(folder, 'a')
    assert loaded.snapshot.payload == b'state'
    assert loaded.log.snapshot_index == 5
    assert loaded.log.last_index() == 8
    assert loaded.vote == node.SaveVote(4, None)
    assert len(segments(folder)) == 1


def test_installed_snapshot_is_loaded_after_a_restart(folder):
    opened = open_disk(folder)
    opened.write([node.SaveVote(4, None), entries(1, 5)])
    founders = disk.load(folder, 'a').identity.founders
    opened.install_snapshot(message.Snapshot(90, 3, founders, b'state'))
    opened.write([entries(91, 92, term=4)])
    loaded = disk.load(folder, 'a')
    assert loaded.log.last_index() == 92
    assert loaded.vote.term == 4


def test_load_identity_creates_one_in_an_empty_folder(tmp_path):
    first = disk.load_identity(tmp_path / 'x', 'a')
    second = disk.load_identity(tmp_path / 'y', 'a')
    assert first.identity not in {'a', second.identity}
    assert disk.load_identity(tmp_path / 'x', 'a') == first


def test_create_identity_rejects_a_used_folder(folder):
    with pytest.raises(disk.StorageError, match='already'):
        disk.create_identity(folder, message.EMPTY_MEMBERSHIP, 'a')


def test_load_syncs_data_written_before_a_kill(folder, monkeypatch):
    opened = open_disk(folder)
    # Simulates a process killed between a write and its sync.
    with monkeypatch.context() as patched:
        patched.setattr(disk.os, 'fdatasync', lambda descriptor: None)
        opened.write([entries(1, 2)])
    segment = single(segments(folder))
    synced = []
    fsync = disk.os.fsync

    def record_fsync(descriptor):
        synced.append(disk.os.readlink(f'/proc/self/fd/{descriptor}'))
        fsync(descriptor)

    monkeypatch.setattr(disk.os, 'fsync', record_fsync)
    assert disk.load(folder, 'a').log.last_index() == 2
    assert str(segment) in synced


class RefusingDisk:
    """Makes one system call fail some number of times, then work again."""

    def __init__(self, monkeypatch, name):
        self.refusals = 0
        self._call = getattr(disk.os, name)
        monkeypatch.setattr(disk.os, name, self._refuse_or_call)

    def _refuse_or_call(self, *arguments):
        if self.refusals:
            self.refusals -= 1
            raise OSError(5, 'Input/output error')
        return self._call(*arguments)


def test_refused_sync_leaves_no_damage_when_it_is_repeated(folder, monkeypatch):
    opened = open_disk(folder)
    opened.write([entries(1, 5)])
    syncs = RefusingDisk(monkeypatch, 'fdatasync')
    syncs.refusals = 2
    for _ in range(2):
        with pytest.raises(disk.DiskRefusalError):
            opened.write([entries(6, 9)])
    opened.write([entries(6, 9)])
    opened.write([entries(10, 12)])
    frames = frame.unpack(segments(folder)[-1].read_bytes())
    # One frame each of the vote and the three batches.
    assert len(frames.payloads) == 4
    assert disk.load(folder, 'a').log.last_index() == 12


def test_partial_write_leaves_no_damage_when_it_is_repeated(
    folder, monkeypatch
):
    opened = open_disk(folder)
    write = disk.os.write

    def write_part(descriptor, blob):
        write(descriptor, blob[: len(blob) // 2])
        raise OSError(28, 'No space left on device')

    with monkeypatch.context() as patched:
        patched.setattr(disk.os, 'write', write_part)
        for _ in range(2):
            with pytest.raises(disk.DiskRefusalError):
                opened.write([entries(1, 9)])
    opened.write([entries(1, 9)])
    opened.write([entries(10, 12)])
    assert disk.load(folder, 'a').log.last_index() == 12


@pytest.mark.parametrize('name', ['open', 'fsync', 'fdatasync', 'write'])
@pytest.mark.parametrize('refusals', [1, 2])
def test_refused_rotation_keeps_the_current_segment(
    folder, monkeypatch, name, refusals
):
    monkeypatch.setattr(disk, 'SEGMENT_BYTES', 1)
    opened = open_disk(folder)
    opened.write([node.SaveVote(4, None), entries(1, 5)])
    refusing = RefusingDisk(monkeypatch, name)
    refusing.refusals = refusals
    for _ in range(refusals):
        with pytest.raises(OSError, match='Input/output error'):
            opened.rotate(6)
    # The process may be killed here, and a started one sees these files.
    assert disk.load(folder, 'a').log.last_index() == 5
    opened.write([entries(6, 6)])
    opened.rotate(7)
    opened.write([entries(7, 8)])
    loaded = disk.load(folder, 'a')
    assert loaded.log.last_index() == 8
    assert loaded.vote.term == 4


@pytest.mark.parametrize('name', ['open', 'fsync', 'fdatasync', 'write'])
@pytest.mark.parametrize('refusals', [1, 2])
def test_refused_snapshots_are_complete_when_they_are_repeated(
    folder, monkeypatch, name, refusals
):
    opened = open_disk(folder)
    opened.write([node.SaveVote(4, None), entries(1, 5)])
    founders = disk.load(folder, 'a').identity.founders
    received = message.Snapshot(90, 3, founders, b'state')
    refusing = RefusingDisk(monkeypatch, name)
    refusing.refusals = refusals
    for _ in range(refusals):
        with pytest.raises(OSError, match='Input/output error'):
            opened.install_snapshot(received)
    opened.install_snapshot(received)
    opened.write([entries(91, 92, term=4)])
    loaded = disk.load(folder, 'a')
    assert loaded.log.last_index() == 92
    assert loaded.vote.term == 4


def test_refused_removal_of_segments_keeps_the_one_in_use(folder, monkeypatch):
    opened = open_disk(folder)
    opened.write([node.SaveVote(4, None), entries(1, 5)])
    founders = disk.load(folder, 'a').identity.founders
    received = message.Snapshot(90, 3, founders, b'state')
    refusing = RefusingDisk(monkeypatch, 'unlink')
    refusing.refusals = 1
    with pytest.raises(OSError, match='Input/output error'):
        opened.install_snapshot(received)
    opened.install_snapshot(received)
    opened.write([entries(91, 92, term=4)])
    assert disk.load(folder, 'a').log.last_index() == 92


@pytest.mark.parametrize('name', ['open', 'fsync', 'fdatasync', 'write'])
def test_refused_opening_is_repeated(folder, monkeypatch, name):
    opened = open_disk(folder)
    opened.write([node.SaveVote(4, None), entries(1, 5)])
    refusing = RefusingDisk(monkeypatch, name)
    for _ in range(3):
        refusing.refusals = 1
        with pytest.raises(OSError, match='Input/output error'):
            disk.open_folder(folder, 'a')
    loaded, reopened = disk.open_folder(folder, 'a')
    reopened.write([entries(6, 7)])
    assert loaded.log.last_index() == 5
    assert disk.load(folder, 'a').log.last_index() == 7
