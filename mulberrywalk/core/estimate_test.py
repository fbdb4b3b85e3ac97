"""Estimates move towards the measured durations of their queue."""

import pytest

from . import cell_test, estimate, job, objective, snapshot

TYPICAL_MS = 640


@pytest.fixture
def tables():
    cell = cell_test.Cell(targets=1)
    for _ in range(50):
        estimate.add_sample(cell.tables, 'q', 't0', TYPICAL_MS)
    return cell.tables


def test_estimate_is_unchanged_while_no_duration_is_known(tables):
    assert estimate.typical_duration_ms(tables, 'other') == 0
    assert estimate.corrected_ms(250, 0) == 250


def test_inaccurate_estimate_moves_towards_the_typical_duration(tables):
    typical = estimate.typical_duration_ms(tables, 'q')
    assert typical == TYPICAL_MS
    assert TYPICAL_MS // 2 < estimate.corrected_ms(250, typical) < TYPICAL_MS
    assert TYPICAL_MS < estimate.corrected_ms(1600, typical) < 2 * TYPICAL_MS


def test_durations_survive_a_snapshot(tables):
    restored = snapshot.decode(snapshot.encode(tables))
    assert restored.durations == tables.durations


def test_underestimated_work_keeps_its_value_for_longer():
    needs = cell_test.step(4, estimate_ms=100)
    specification = cell_test.specify(
        1, job.Kind.WORKFLOW, steps=(needs,), objective_ms=250
    )
    uncorrected = objective.objective_ms(specification)
    corrected = objective.objective_ms(specification, TYPICAL_MS)
    assert corrected > uncorrected + TYPICAL_MS // 2
