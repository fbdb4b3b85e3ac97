"""Patches of the configuration."""

from . import cell_test, event, outcome


def test_stale_patch_is_refused_and_resent_one_repeated():
    cell = cell_test.Cell()
    patches = (('p1', 1), ('p2', 1), ('p1', 1), ('p3', 2))
    told = [
        cell.apply(
            event.ConfigurationPatched, name, version, {'max_failures': 5}
        )[0].outcome
        for name, version in patches
    ]
    assert told[0] == told[2] == outcome.PatchAccepted(2)
    assert told[1].reason is outcome.RefusalReason.STALE_VERSION
    assert told[3] == outcome.PatchAccepted(3)


def test_invalid_patch_names_the_field():
    cell = cell_test.Cell()
    told = cell.apply(
        event.ConfigurationPatched, 'p1', 1, {'max_failures': 'many'}
    )[0].outcome
    assert 'max_failures' in told.detail
    assert cell.tables.configuration.version == 1
