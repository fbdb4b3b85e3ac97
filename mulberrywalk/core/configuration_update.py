"""Updates of the configuration: patches and replacement of the routing."""

from __future__ import annotations

from . import backlog, configuration, effect, event, outcome, state, team_limit


def patch(
    tables: state.State, patched: event.ConfigurationPatched
) -> outcome.Outcome:
    """Apply a patch of the current version, or refuse it.

    A resent patch gets the first answer to its request id for as long as that
    is remembered.
    """
    digest = configuration.digest(patched.version, patched.changes)
    record = tables.patches.get(patched.request_id)
    if record is None:
        record = _apply_patch(tables, patched, digest)
        _remember(tables, patched.request_id, record)
    if record.digest != digest:
        return outcome.PatchRefused(
            outcome.RefusalReason.REQUEST_REUSED,
            f'request id {patched.request_id} was used for another patch',
            configuration.hide_keys(tables.configuration),
        )
    if record.refusal:
        return outcome.PatchRefused(
            outcome.RefusalReason(record.refusal),
            record.detail,
            configuration.hide_keys(tables.configuration),
        )
    return outcome.PatchAccepted(record.version)


def replace(
    tables: state.State, replaced: event.ConfigurationReplaced
) -> outcome.Outcome:
    """Apply a routing if its version is higher than the current one.

    A routing with the same or a lower version is acknowledged but has no
    effect.
    """
    error = configuration.find_routing_error(replaced.routing)
    if error:
        return outcome.NotRun(outcome.RefusalReason.INVALID_ROUTING, error)
    current = tables.configuration
    if replaced.routing.version <= current.routing.version:
        return outcome.PatchAccepted(current.routing.version)
    tables.configuration = configuration.Configuration(
        current.version + 1, current.document, replaced.routing
    )
    tables.queues = {queue.name: queue for queue in replaced.routing.queues}
    team_limit.reindex(tables)
    if bool(replaced.routing.teams) != bool(current.routing.teams):
        backlog.recount(tables)
    tables.emit(effect.PublishConfiguration(current.version + 1))
    version = replaced.routing.version
    tables.emit(effect.Trace('configured', detail=f'routing {version}'))
    return outcome.PatchAccepted(version)


def _apply_patch(
    tables: state.State,
    patched: event.ConfigurationPatched,
    digest: str,
) -> state.PatchRecord:
    current = tables.configuration
    if patched.version != current.version:
        return state.PatchRecord(
            digest,
            current.version,
            outcome.RefusalReason.STALE_VERSION.value,
            f'the patch amends version {patched.version}, '
            f'the current one is {current.version}',
        )
    document = configuration.patch(current.document, patched.changes)
    if isinstance(document, configuration.PatchRejected):
        return state.PatchRecord(
            digest,
            current.version,
            outcome.RefusalReason.INVALID_PATCH.value,
            document.reason,
        )
    version = current.version + 1
    tables.configuration = configuration.Configuration(
        version, document, current.routing
    )
    tables.emit(effect.PublishConfiguration(version))
    tables.emit(effect.Trace('configured', detail=f'version {version}'))
    return state.PatchRecord(digest, version)


def _remember(
    tables: state.State, request_id: str, record: state.PatchRecord
) -> None:
    tables.patches[request_id] = record
    if len(tables.patches) > state.MAX_PATCH_RECORDS:
        tables.patches.pop(next(iter(tables.patches)))
