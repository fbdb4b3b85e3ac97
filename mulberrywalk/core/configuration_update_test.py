"""Tests of configuration patches."""

from . import cell_test, event, outcome


def test_stale_patch_is_refused_and_resent_patch_gets_the_same_answer():
    cell = cell_test.Cell()
    patches = (('p1', 1), ('p2', 1), ('p1', 1), ('p3', 2))
    answers = [
        cell.apply(
            event.ConfigurationPatched, request_id, version, {'max_failures': 5}
        )[0].outcome
        for request_id, version in patches
    ]
    assert answers[0] == answers[2] == outcome.PatchAccepted(2)
    assert answers[1].reason is outcome.RefusalReason.STALE_VERSION
    assert answers[3] == outcome.PatchAccepted(3)


def test_invalid_patch_names_the_field():
    cell = cell_test.Cell()
    refused = cell.apply(
        event.ConfigurationPatched, 'p1', 1, {'max_failures': 'many'}
    )[0].outcome
    assert 'max_failures' in refused.detail
    assert cell.tables.configuration.version == 1
