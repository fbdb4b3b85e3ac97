"""The time line is causal and can be filtered."""

import loguru

from . import clock, journal


def record(lines, what, **ids):
    lines.record(what, **ids)
    return lines.find(journal.Filter())[-1]


def test_stamp_follows_a_received_one(monkeypatch):
    monkeypatch.setattr(clock, 'wall_ms', lambda: 1000)
    ahead, behind = clock.HybridClock(), clock.HybridClock()
    monkeypatch.setattr(clock, 'wall_ms', lambda: 5000)
    stamp = ahead.read()
    monkeypatch.setattr(clock, 'wall_ms', lambda: 10)
    behind.observe(stamp)
    assert behind.read() > stamp


def test_find_selects_by_job_task_and_target():
    lines = journal.Journal(journal.Origin('p', 'dc'))
    first = record(lines, 'placed', job='j1', task='j1.0', target='t1')
    record(lines, 'placed', job='j2', task='j2.0', target='t1')
    assert lines.find(journal.Filter(job='j1')) == [first]
    assert lines.find(journal.Filter(task='j1.0')) == [first]
    assert not lines.find(journal.Filter(target='t9'))
    assert not lines.find(journal.Filter(until=1))


def test_merge_orders_and_drops_repetitions():
    lines = journal.Journal(journal.Origin('p', 'dc'))
    first = record(lines, 'a')
    second = record(lines, 'b')
    assert journal.merge([second, first, second]) == [first, second]


def test_warnings_of_one_kind_are_bounded_whatever_their_details(monkeypatch):
    monkeypatch.setattr(clock, 'monotonic_ms', lambda: 5000)
    written = []
    sink = loguru.logger.add(
        lambda line: written.append(line.record), format='{message}'
    )
    lines = journal.Journal(journal.Origin('p', 'dc'))
    for number in range(1000):
        lines.warn('heartbeat refused', f'of i-{number}')
    monkeypatch.setattr(clock, 'monotonic_ms', lambda: 6000)
    lines.warn('heartbeat refused', 'of i-1000')
    loguru.logger.remove(sink)
    assert len(written) == 201
    assert written[-1]['message'] == 'heartbeat refused: of i-1000'
    assert written[-1]['extra']['left_out'] == 800
