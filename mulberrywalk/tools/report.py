"""Load reports, written as JSON and as an HTML page.

The four measures are waiting time, completed work, utilization and the cost
of control.
"""

from __future__ import annotations

import pathlib
import statistics

import msgspec
from hdrh import histogram
from plotly import graph_objects, io

from ..telemetry import cost
from . import replay

ProcessCosts = dict[str, cost.Cost]

_MAX_WAIT_MS = 86_400_000
_PRECISION_DIGITS = 3
_PERCENT = 100
_PPM_PER_PERCENT = 10_000
_MEDIAN_PERCENTILE = 50
_TAIL_PERCENTILE = 99
_BYTES_PER_MB = 1_000_000


class WorkloadReport(msgspec.Struct, frozen=True):
    """Results of one workload; waits in milliseconds."""

    label: str
    submitted: int
    refused: int
    completed: int
    cancelled: int
    retried: int
    wait_p50: float
    wait_p99: float
    wait_max: float


class ControlCost(msgspec.Struct, frozen=True):
    """Resources that one process of the system used during a run.

    memory_mb is the peak since the process started. bytes_per_s counts
    control messages, sent and received.
    """

    process: str
    processor_ms: int
    processor_ms_per_start: float
    memory_mb: float
    bytes_per_s: float


class RunReport(msgspec.Struct, frozen=True):
    """Results of one run.

    packed_percent is the mean processor utilization while tasks waited.
    """

    name: str
    works: tuple[WorkloadReport, ...]
    packed_percent: float
    starts: int
    control: tuple[ControlCost, ...] = ()


class Report(msgspec.Struct, frozen=True):
    """Runs to compare, with the command and the seed that produced them."""

    command: str
    seed: int
    runs: tuple[RunReport, ...]


def summarize(name: str, metrics: replay.RunMetrics) -> RunReport:
    """Return the report of one run."""
    works = tuple(
        summarize_workload(label, metrics)
        for label in sorted(metrics.submitted)
    )
    utilization_percent = (
        statistics.fmean(metrics.utilization_ppm) / _PPM_PER_PERCENT
        if metrics.utilization_ppm
        else 0
    )
    return RunReport(name, works, round(utilization_percent, 1), metrics.starts)


def summarize_workload(
    label: str, metrics: replay.RunMetrics
) -> WorkloadReport:
    """Return the results of one workload."""
    wait_histogram = histogram.HdrHistogram(1, _MAX_WAIT_MS, _PRECISION_DIGITS)
    for wait in metrics.waits[label]:
        # The lowest value of the histogram is 1 ms, so 0 ms counts as 1 ms.
        wait_histogram.record_value(max(1, wait))
    return WorkloadReport(
        label,
        metrics.submitted[label],
        metrics.refused[label],
        metrics.completed[label],
        metrics.cancelled[label],
        metrics.retried[label],
        wait_histogram.get_value_at_percentile(_MEDIAN_PERCENTILE),
        wait_histogram.get_value_at_percentile(_TAIL_PERCENTILE),
        wait_histogram.get_max_value(),
    )


def compare_costs(
    before: ProcessCosts, after: ProcessCosts, starts: int, seconds: float
) -> tuple[ControlCost, ...]:
    """Return the resources that each process used between two readings.

    seconds is the time between them. Processes that are missing from either
    reading, or that restarted in between, are left out.
    """
    return tuple(
        _process_cost(name, before[name], after[name], starts, seconds)
        for name in sorted(before.keys() & after.keys())
        if after[name].processor_ms >= before[name].processor_ms
    )


def _process_cost(
    name: str, before: cost.Cost, after: cost.Cost, starts: int, seconds: float
) -> ControlCost:
    spent_ms = after.processor_ms - before.processor_ms
    sent = after.sent_bytes - before.sent_bytes
    received = after.received_bytes - before.received_bytes
    return ControlCost(
        name,
        spent_ms,
        round(spent_ms / max(1, starts), _PRECISION_DIGITS),
        round(after.memory_bytes / _BYTES_PER_MB, 1),
        round((sent + received) / seconds, 1),
    )


def write(report: Report, folder: pathlib.Path) -> None:
    """Write report.json and report.html; creates the folder if needed."""
    folder.mkdir(parents=True, exist_ok=True)
    encoded = msgspec.json.format(msgspec.json.encode(report))
    (folder / 'report.json').write_bytes(encoded)
    page = '\n'.join(
        (
            '<!doctype html><meta charset="utf-8">',
            '<title>mulberrywalk load</title>',
            f'<h1>Load, seed {report.seed}</h1><pre>{report.command}</pre>',
            io.to_html(plot_waits(report), full_html=False),
            io.to_html(
                plot_completion(report), full_html=False, include_plotlyjs=False
            ),
        )
    )
    (folder / 'report.html').write_text(page)


def plot_waits(report: Report) -> graph_objects.Figure:
    """Plot the waiting time at p99 by workload and run."""
    figure = graph_objects.Figure()
    for run in report.runs:
        labels = [workload.label for workload in run.works]
        waits = [workload.wait_p99 for workload in run.works]
        figure.add_bar(name=run.name, x=labels, y=waits)
    figure.update_yaxes(type='log', title='waiting time at p99, ms')
    return figure


def plot_completion(report: Report) -> graph_objects.Figure:
    """Plot the completed percentage of submitted tasks by workload and run."""
    figure = graph_objects.Figure()
    for run in report.runs:
        labels = [workload.label for workload in run.works]
        completed_percent = [
            _PERCENT * workload.completed / max(1, workload.submitted)
            for workload in run.works
        ]
        figure.add_bar(name=run.name, x=labels, y=completed_percent)
    figure.update_yaxes(title='completed, % of submitted')
    return figure
