"""Tests the resource usage that a process reports."""

from . import cost


def test_read_returns_traffic_and_process_usage():
    meter = cost.Meter()
    meter.count_sent(10)
    meter.count_sent(5)
    meter.count_received(7)
    usage = meter.read()
    assert (usage.sent_bytes, usage.received_bytes) == (15, 7)
    assert usage.memory_bytes > 1_000_000
    assert usage.processor_ms > 0
