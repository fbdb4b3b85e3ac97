"""Tests the order and filters of timeline lines and the log's rate limit."""

import os

import loguru
import pytest

from . import clock, journal


def record(event_journal, what, **ids):
    event_journal.record(what, **ids)
    return event_journal.find(journal.Filter())[-1]


def test_timestamp_is_larger_than_observed_one(monkeypatch):
    monkeypatch.setattr(clock, 'wall_ms', lambda: 1000)
    ahead, behind = clock.HybridClock(), clock.HybridClock()
    monkeypatch.setattr(clock, 'wall_ms', lambda: 5000)
    timestamp = ahead.read()
    monkeypatch.setattr(clock, 'wall_ms', lambda: 10)
    behind.observe(timestamp)
    assert behind.read() > timestamp


def test_find_selects_by_job_task_and_target():
    event_journal = journal.Journal(journal.Origin('p', 'dc'))
    first = record(event_journal, 'placed', job='j1', task='j1.0', target='t1')
    record(event_journal, 'placed', job='j2', task='j2.0', target='t1')
    assert event_journal.find(journal.Filter(job='j1')) == [first]
    assert event_journal.find(journal.Filter(task='j1.0')) == [first]
    assert not event_journal.find(journal.Filter(target='t9'))
    assert not event_journal.find(journal.Filter(until=1))


def test_merge_sorts_and_removes_duplicates():
    event_journal = journal.Journal(journal.Origin('p', 'dc'))
    first = record(event_journal, 'a')
    second = record(event_journal, 'b')
    assert journal.merge([second, first, second]) == [first, second]


def test_warnings_are_rate_limited_regardless_of_detail(monkeypatch):
    monkeypatch.setattr(clock, 'monotonic_ms', lambda: 5000)
    written = []
    sink = loguru.logger.add(
        lambda line: written.append(line.record), format='{message}'
    )
    event_journal = journal.Journal(journal.Origin('p', 'dc'))
    for number in range(1000):
        event_journal.warn('heartbeat refused', f'of i-{number}')
    monkeypatch.setattr(clock, 'monotonic_ms', lambda: 6000)
    event_journal.warn('heartbeat refused', 'of i-1000')
    loguru.logger.remove(sink)
    assert len(written) == 201
    assert written[-1]['message'] == 'heartbeat refused: of i-1000'
    assert written[-1]['extra']['left_out'] == 800


@pytest.mark.parametrize(
    ('is_json', 'line'),
    [
        (True, b'{"level":"WARNING","message":"2 log lines lost"}'),
        (False, b'2 log lines lost'),
    ],
)
def test_lines_that_a_full_pipe_loses_are_counted(monkeypatch, is_json, line):
    reader, writer = os.pipe()
    with os.fdopen(reader, 'rb') as pipe, os.fdopen(writer, 'wb') as stdout:
        monkeypatch.setattr(journal.sys, 'stdout', stdout)
        output = journal.NonBlockingOutput(is_json=is_json)
        while not output.count_lost():
            output(f'{"x" * 4095}\n')
        output('lost\n')
        assert output.count_lost() == 2
        os.read(pipe.fileno(), 1_000_000)
        output('kept\n')
        assert os.read(pipe.fileno(), 1_000_000).splitlines() == [line, b'kept']
        assert not output.count_lost()
