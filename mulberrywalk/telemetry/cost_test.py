"""The cost that a process reports of itself."""

from . import cost


def test_read_counts_what_was_sent_and_received():
    meter = cost.Meter()
    meter.count_sent(10)
    meter.count_sent(5)
    meter.count_received(7)
    read = meter.read()
    assert (read.sent_bytes, read.received_bytes) == (15, 7)
    assert read.memory_bytes > 1_000_000
    assert read.processor_ms > 0
