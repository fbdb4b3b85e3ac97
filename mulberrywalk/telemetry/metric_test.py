"""Metrics are kept and shown as text."""

from . import metric


def test_exposition_shows_counters_gauges_and_percentiles():
    kept = metric.Exposition(metric.NoMetrics())
    kept.incr('submitted')
    kept.incr('submitted', 2)
    kept.gauge('waiting', 7)
    for milliseconds in range(1, 101):
        kept.timing('wait', milliseconds)
    shown = kept.render().splitlines()
    assert 'submitted_total 3' in shown
    assert 'waiting 7' in shown
    assert 'wait_ms{percentile="50"} 50' in shown
    assert 'wait_ms_count 100' in shown
