"""Records of refused submissions, which tell copies of a request from retries.

A delayed copy of a refused request must not run after its caller was told that
the job was refused. A refusal that names a time to retry is final only for the
requests that were answered with it: after that time, another request of the
caller is decided anew. Entries mark each request for this purpose.
"""

from __future__ import annotations

import itertools

from . import effect, event, outcome, state, team_rate

_RETRY_AFTER_MS = 1000
# Requests of one id that are remembered. A caller that waits as it is asked to
# sends at most one in a second.
_MAX_REQUESTS = 32


def repeat(
    tables: state.State, submitted: event.JobSubmitted
) -> outcome.NotRun | None:
    """Return the refusal that a submission gets again, or None if it gets none.

    Requests that are refused before the time to retry are remembered as well.
    """
    if tables.teams:
        prune(tables)
    specification = submitted.specification
    name = (specification.team, specification.request_id)
    earlier = tables.refusals.get(name)
    if earlier is None:
        return None
    if earlier.digest != submitted.digest:
        return outcome.NotRun(
            outcome.RefusalReason.REQUEST_REUSED,
            'the request id was used for another body, which was refused',
        )
    reason = outcome.RefusalReason(earlier.reason)
    if not earlier.retry_at:
        return outcome.NotRun(reason, earlier.detail)
    is_copy = not submitted.request or submitted.request in {
        known.request for known in earlier.requests
    }
    if not is_copy:
        if tables.time >= earlier.retry_at:
            return None
        earlier = _add_request(tables, earlier, submitted.request)
        _store(tables, name, earlier)
    return outcome.NotRun(
        reason, earlier.detail, max(1, earlier.retry_at - tables.time)
    )


def record(
    tables: state.State,
    submitted: event.JobSubmitted,
    refusal: outcome.NotRun,
) -> outcome.Outcome:
    """Remember a refusal and return the answer to the caller."""
    prune(tables)
    specification = submitted.specification
    name = (specification.team, specification.request_id)
    earlier = tables.refusals.pop(name, None)
    if len(tables.refusals) >= state.MAX_REFUSAL_RECORDS:
        # Without a record, a delayed duplicate of the request could still
        # run, so the answer must not be a final refusal.
        return outcome.Unavailable(
            refusal.reason,
            refusal.detail,
            refusal.retry_after_ms or _RETRY_AFTER_MS,
        )
    made = state.Refusal(
        submitted.digest, refusal.reason.value, refusal.detail, tables.time
    )
    if team_rate.find_team(tables, specification.team) is not None:
        _trace(tables, submitted, refusal)
        made.retry_at = refusal.retry_after_ms and (
            tables.time + refusal.retry_after_ms
        )
        made.requests = earlier.requests if earlier else ()
        made = _add_request(tables, made, submitted.request)
    tables.refusals[name] = made
    return refusal


def drop(tables: state.State, submitted: event.JobSubmitted) -> None:
    """Forget the refusal of a job that is accepted after a retry.

    A delayed copy of the refused request then gets the accepted job.
    """
    specification = submitted.specification
    name = (specification.team, specification.request_id)
    tables.refusals.pop(name, None)


def prune(tables: state.State) -> None:
    """Delete refusals that are too old for a duplicate still to arrive."""
    oldest_kept = tables.time - state.REFUSAL_RETENTION_MS
    while tables.refusals:
        name = next(iter(tables.refusals))
        if tables.refusals[name].at >= oldest_kept:
            return
        tables.refusals.pop(name)


def _add_request(
    tables: state.State, refusal: state.Refusal, request: str
) -> state.Refusal:
    """Return a refusal that is final for one more request.

    Beyond the limit the requests cannot be told apart, and all are refused for
    as long as a copy of this one may still arrive.
    """
    oldest_kept = tables.time - state.REFUSAL_RETENTION_MS
    kept = tuple(
        itertools.dropwhile(
            lambda known: known.at < oldest_kept, refusal.requests
        )
    )
    retry_at = refusal.retry_at
    if len(kept) >= _MAX_REQUESTS:
        retry_at = tables.time + state.REFUSAL_RETENTION_MS
    elif request:
        kept = (*kept, state.RefusedRequest(request, tables.time))
    return state.Refusal(
        refusal.digest,
        refusal.reason,
        refusal.detail,
        tables.time,
        retry_at,
        kept,
    )


def _store(
    tables: state.State, name: tuple[str, str], refusal: state.Refusal
) -> None:
    """Store a refusal behind all others, which are older."""
    tables.refusals.pop(name, None)
    tables.refusals[name] = refusal


def _trace(
    tables: state.State,
    submitted: event.JobSubmitted,
    refusal: outcome.NotRun,
) -> None:
    fields = {
        'reason': refusal.reason.value,
        'retry_after_ms': refusal.retry_after_ms,
    }
    detail = f'{effect.format_detail(fields)}: {refusal.detail}'
    tables.emit(
        effect.Trace('refused', job=submitted.specification.job, detail=detail)
    )
