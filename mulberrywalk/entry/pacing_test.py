"""Tests that the share falls fast, rises slowly and does not oscillate."""

from . import pacing


def readings_of(latency_ms):
    return [pacing.LatencyReading(latency_target_ms=100, latency_ms=latency_ms)]


def test_share_falls_to_zero_above_the_latency_target():
    assert pacing.Pacer().decide(readings_of(120), now=0) == 0


def test_share_is_halved_near_the_latency_target():
    assert pacing.Pacer().decide(readings_of(80), now=0) == 50


def test_share_is_unchanged_between_the_thresholds():
    pacer = pacing.Pacer(share=40)
    assert {
        pacer.decide(readings_of(60), now) for now in range(0, 9000, 500)
    } == {40}


def test_share_rises_only_after_a_period_of_low_latency():
    pacer = pacing.Pacer(share=0)
    shares = [
        pacer.decide(readings_of(10), now) for now in (0, 500, 1000, 1500)
    ]
    assert shares == [0, 0, 0, 15]


def test_share_is_full_without_serving_tasks():
    assert pacing.Pacer().decide([], now=0) == pacing.FULL_PERCENT
