"""Tests the slewed clock under jumps of the wall clock, and hybrid clocks."""

import pytest

from . import clock


class FakeClocks:
    """The wall and monotonic clocks, advanced by tests, in milliseconds."""

    def __init__(self):
        self.monotonic = 5000
        self.wall = 1_000_000

    def advance_ms(self, milliseconds):
        self.monotonic += milliseconds
        self.wall += milliseconds


@pytest.fixture
def fake_clocks(monkeypatch):
    fake = FakeClocks()
    monkeypatch.setattr(clock, 'monotonic_ms', lambda: fake.monotonic)
    monkeypatch.setattr(clock, 'wall_ms', lambda: fake.wall)
    return fake


def test_slewed_clock_follows_the_wall_clock(fake_clocks):
    slewed = clock.SlewedClock()
    fake_clocks.advance_ms(700)
    assert slewed.read() == fake_clocks.wall


def test_slewed_clock_does_not_count_a_long_pause_twice(fake_clocks):
    slewed = clock.SlewedClock()
    fake_clocks.advance_ms(40_000)
    slewed.advance(fake_clocks.wall)
    fake_clocks.advance_ms(10)
    assert slewed.read() == fake_clocks.wall


@pytest.mark.parametrize('jump', [2400, -2400])
def test_slewed_clock_approaches_a_jump_slowly(fake_clocks, jump):
    slewed = clock.SlewedClock()
    before = slewed.read()
    fake_clocks.wall += jump
    fake_clocks.advance_ms(1000)
    assert abs(slewed.read() - before - 1000) <= 100


def test_slewed_clock_never_runs_backwards(fake_clocks):
    slewed = clock.SlewedClock()
    slewed.advance(fake_clocks.wall + 5000)
    readings = []
    for _ in range(100):
        fake_clocks.advance_ms(100)
        readings.append(slewed.read())
    assert readings == sorted(readings)


@pytest.mark.parametrize('timestamp', [2**62, 2**64 - 1, 10**40])
def test_hybrid_clock_ignores_timestamp_too_far_ahead(timestamp):
    hybrid = clock.HybridClock()
    hybrid.observe(timestamp)
    assert abs(clock.wall_of(hybrid.read()) - clock.wall_ms()) < 1000


def test_hybrid_clock_follows_timestamp_hours_ahead():
    hybrid, ahead = clock.HybridClock(), clock.wall_ms() + 3_600_000
    hybrid.observe(ahead << 16)
    assert hybrid.read() > ahead << 16
