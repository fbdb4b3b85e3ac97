"""Amendment of the configuration by patches of a numbered version."""

from __future__ import annotations

from . import configuration, effect, event, outcome, state


def patch(
    tables: state.State, patched: event.ConfigurationPatched
) -> outcome.Outcome:
    """Accept a patch of the present version, or refuse it.

    A request id gets its first answer for as long as it is remembered.
    """
    digest = configuration.digest(patched.version, patched.changes)
    known = tables.patches.get(patched.request_id)
    if known is None:
        known = _decide_patch(tables, patched, digest)
        _remember(tables, patched.request_id, known)
    if known.digest != digest:
        return outcome.PatchRefused(
            outcome.RefusalReason.REQUEST_REUSED,
            f'request id {patched.request_id} was used for another patch',
            tables.configuration,
        )
    if known.refusal:
        return outcome.PatchRefused(
            outcome.RefusalReason(known.refusal),
            known.detail,
            tables.configuration,
        )
    return outcome.PatchAccepted(known.version)


def replace(
    tables: state.State, replaced: event.ConfigurationReplaced
) -> outcome.Outcome:
    """Put a routing in force if its version is the highest so far.

    One of a version that is not higher is acknowledged and changes nothing.
    """
    fault = configuration.find_routing_error(replaced.routing)
    if fault:
        return outcome.NotRun(outcome.RefusalReason.INVALID_ROUTING, fault)
    current = tables.configuration
    if replaced.routing.version <= current.routing.version:
        return outcome.PatchAccepted(current.routing.version)
    tables.configuration = configuration.Configuration(
        current.version + 1, current.document, replaced.routing
    )
    tables.queues = {one.name: one for one in replaced.routing.queues}
    tables.emit(effect.PublishConfiguration(current.version + 1))
    version = replaced.routing.version
    tables.emit(effect.Trace('configured', detail=f'routing {version}'))
    return outcome.PatchAccepted(version)


def _decide_patch(
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
