"""The clock of events runs on without the jumps of the wall clock."""

import pytest

from . import clock


class Hands:
    """Both clocks of a machine, moved by hand, in milliseconds."""

    def __init__(self):
        self.monotonic = 5000
        self.wall = 1_000_000

    def pass_ms(self, milliseconds):
        self.monotonic += milliseconds
        self.wall += milliseconds


@pytest.fixture
def hands(monkeypatch):
    moved = Hands()
    monkeypatch.setattr(clock, 'monotonic_ms', lambda: moved.monotonic)
    monkeypatch.setattr(clock, 'wall_ms', lambda: moved.wall)
    return moved


def test_slewed_clock_follows_the_wall_clock(hands):
    slewed = clock.SlewedClock()
    hands.pass_ms(700)
    assert slewed.read() == hands.wall


def test_slewed_clock_does_not_count_a_long_pause_twice(hands):
    slewed = clock.SlewedClock()
    hands.pass_ms(40_000)
    slewed.advance(hands.wall)
    hands.pass_ms(10)
    assert slewed.read() == hands.wall


@pytest.mark.parametrize('jump', [2400, -2400])
def test_slewed_clock_approaches_a_jump_slowly(hands, jump):
    slewed = clock.SlewedClock()
    before = slewed.read()
    hands.wall += jump
    hands.pass_ms(1000)
    assert abs(slewed.read() - before - 1000) <= 100


def test_slewed_clock_never_runs_back(hands):
    slewed = clock.SlewedClock()
    slewed.advance(hands.wall + 5000)
    readings = []
    for _ in range(100):
        hands.pass_ms(100)
        readings.append(slewed.read())
    assert readings == sorted(readings)


@pytest.mark.parametrize('stamp', [2**62, 2**64 - 1, 10**40])
def test_stamp_of_another_age_does_not_carry_the_clock_away(stamp):
    hybrid = clock.HybridClock()
    hybrid.observe(stamp)
    assert abs(clock.wall_of(hybrid.read()) - clock.wall_ms()) < 1000


def test_stamp_that_is_hours_ahead_is_followed():
    hybrid, ahead = clock.HybridClock(), clock.wall_ms() + 3_600_000
    hybrid.observe(ahead << 16)
    assert hybrid.read() > ahead << 16
