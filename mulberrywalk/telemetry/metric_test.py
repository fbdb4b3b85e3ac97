"""Tests the text exposition of metrics."""

from . import metric


def test_exposition_renders_counters_gauges_and_percentiles():
    exposition = metric.Exposition(metric.NoMetrics())
    exposition.incr('submitted')
    exposition.incr('submitted', 2)
    exposition.gauge('waiting', 7)
    for milliseconds in range(1, 101):
        exposition.timing('wait', milliseconds)
    rendered = exposition.render().splitlines()
    assert 'submitted_total 3' in rendered
    assert 'waiting 7' in rendered
    assert 'wait_ms{percentile="50"} 50' in rendered
    assert 'wait_ms_count 100' in rendered
