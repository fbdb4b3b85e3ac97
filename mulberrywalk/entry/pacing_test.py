"""The share of fillers falls fast, rises slowly, and does not swing."""

from . import pacing


def reading(latency_ms):
    return [pacing.LatencyReading(latency_target_ms=100, latency_ms=latency_ms)]


def test_share_falls_to_nothing_above_the_target():
    assert pacing.Pacer().decide(reading(120), now=0) == 0


def test_share_falls_by_half_near_the_target():
    assert pacing.Pacer().decide(reading(80), now=0) == 50


def test_share_stays_between_the_marks():
    pacer = pacing.Pacer(share=40)
    assert {pacer.decide(reading(60), now) for now in range(0, 9000, 500)} == {
        40
    }


def test_share_rises_only_after_a_calm_time():
    pacer = pacing.Pacer(share=0)
    shares = [pacer.decide(reading(10), now) for now in (0, 500, 1000, 1500)]
    assert shares == [0, 0, 0, 15]


def test_without_serving_tasks_the_share_is_whole():
    assert pacing.Pacer().decide([], now=0) == pacing.FULL_PERCENT
