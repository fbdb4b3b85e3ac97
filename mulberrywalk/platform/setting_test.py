"""Settings that change while a process runs, and may be odd."""

import json
import os
from types import MappingProxyType

import anyio
import pytest

from ..entry import upstream as links
from ..telemetry import cost, journal
from . import entry, setting

SETTINGS = MappingProxyType(
    {
        'nodeName': 'n',
        'ip': '10.0.0.9',
        'zone': 'z',
        'internalPorts': [7000, 7001],
        'seeds': ['10.0.0.1:80', '10.0.0.2:80'],
        'advice': '10.0.0.1:90',
    }
)
DEEP = b'[' * 100_000 + b']' * 100_000
ODD = (
    b'',
    b'{',
    b'\xff\xfe',
    b'[]',
    b''.join((json.dumps(dict(SETTINGS))[:-1].encode(), b', "o":', DEEP, b'}')),
    json.dumps({**SETTINGS, 'internalPorts': [10**40, 1]}).encode(),
    json.dumps({**SETTINGS, 'internalPorts': [70_000, 70_001]}).encode(),
    json.dumps({**SETTINGS, 'seeds': [7]}).encode(),
    json.dumps({**SETTINGS, 'bounds': {'graceS': 'x'}}).encode(),
)


class Parts:
    """What the entry is composed with."""

    def __init__(self):
        self.event_log = journal.Journal(journal.Origin('e', 'd'))
        self.leader = links.Upstream(('10.0.0.1:7000',), self.event_log, METER)


METER = cost.Meter()


@pytest.fixture
def path(tmp_path, monkeypatch):
    monkeypatch.setattr(entry, '_WATCH_S', 0.001)
    written = tmp_path / 'settings.json'
    written.write_text(json.dumps(dict(SETTINGS)))
    return written


def change(path, body):
    """Write the file, at a time of change of its own, or remove it."""
    if body is None:
        path.unlink()
        return
    stamp = path.stat().st_mtime_ns if path.exists() else 0
    path.write_bytes(body)
    os.utime(path, ns=(stamp + 10**9, stamp + 10**9))


def watch(path, *changes):
    """Return the known addresses after the changes; None removes the file."""
    parts = Parts()

    async def run():
        async with anyio.create_task_group() as group:
            group.start_soon(entry.watch_settings, path, parts)
            await anyio.sleep(0.02)
            for body in changes:
                change(path, body)
                await anyio.sleep(0.02)
            group.cancel_scope.cancel()

    anyio.run(run)
    return parts.leader.addresses.all()


@pytest.mark.parametrize('body', ODD)
def test_odd_settings_are_passed_over_and_later_ones_read(path, body):
    fresh = {**SETTINGS, 'seeds': ['10.0.0.3:80']}
    known = watch(path, body, json.dumps(fresh).encode())
    assert known == ['10.0.0.3:7000', '10.0.0.1:7000']


def test_settings_that_are_away_for_a_moment_end_nothing(path):
    fresh = {**SETTINGS, 'seeds': ['10.0.0.3:80']}
    known = watch(path, None, json.dumps(fresh).encode())
    assert known == ['10.0.0.3:7000', '10.0.0.1:7000']


def test_seed_that_is_no_address_is_passed_over_and_its_neighbours_read(path):
    odd = ['', 'x', '10.0.0.4:99999999', '10.0.0.5:80', ':80', '[:1']
    fresh = {**SETTINGS, 'seeds': odd}
    known = watch(path, json.dumps(fresh).encode())
    assert known == ['10.0.0.5:7000', '10.0.0.1:7000']


@pytest.mark.parametrize('body', ODD)
def test_odd_settings_raise_one_error(path, body):
    path.write_bytes(body)
    with pytest.raises(setting.SettingsError):
        setting.read(path)
