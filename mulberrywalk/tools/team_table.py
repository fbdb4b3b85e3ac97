"""The answer about teams as rows of a table for people."""

from __future__ import annotations

import time
from typing import Any

_NO_LIMIT = '-'
_MILLI = 1000
_BYTES_PER_GIB = 1_073_741_824
_PPM_PER_PERCENT = 10_000
_TIME_FORMAT = '%Y-%m-%d %H:%M:%S UTC'


def make_rows(answer: dict[str, Any]) -> list[dict[str, str]]:
    """Return one row for each team; amounts are held/limit."""
    return [_make_row(team) for team in answer['teams']]


def make_refusal_rows(answer: dict[str, Any]) -> list[dict[str, str]]:
    """Return one row for each team with refused jobs."""
    by_team = {
        _mark(team['team'], is_routed=team['is_routed']): team['refused']
        for team in answer['teams']
    }
    by_team |= {
        _mark(team, is_routed=False): refused
        for team, refused in answer['refused_elsewhere'].items()
    }
    return [
        {
            'team': name,
            **{reason: str(count) for reason, count in sorted(counts.items())},
        }
        for name, counts in by_team.items()
        if counts
    ]


def make_notes(answer: dict[str, Any]) -> list[str]:
    """Return what the table does not say by itself."""
    since = time.gmtime(answer['refused_since'] // _MILLI)
    shown = time.strftime(_TIME_FORMAT, since)
    notes = [
        f"refused: counted since this leader's term began, {shown}",
        '* not in the routing',
    ]
    omitted = answer['omitted']
    if omitted:
        notes.append(f'{omitted} more teams that are not in the routing')
    return notes


def _make_row(team: dict[str, Any]) -> dict[str, str]:
    held = team['held']
    limit = team['limit']
    return {
        'team': _mark(team['team'], is_routed=team['is_routed']),
        'cores': _format_pair(held['millicores'], limit['millicores'], _MILLI),
        'memory GiB': _format_pair(
            held['memory_bytes'], limit['memory_bytes'], _BYTES_PER_GIB
        ),
        'accel.': _format_pair(held['accelerators'], limit['accelerators'], 1),
        'share %': _format_number(team['share_ppm'], _PPM_PER_PERCENT),
        'fair %': _format_number(team['fair_share_ppm'], _PPM_PER_PERCENT),
        'weight': str(team['weight']),
        'running': str(team['running_tasks']),
        'waiting': str(team['waiting_tasks']),
        'jobs/s (tokens)': _format_rate(team['rate']),
        'excess': str(team['excess_jobs_waiting']),
        'oldest s': _format_number(team['oldest_wait_ms'], _MILLI),
        'refused': str(sum(team['refused'].values())),
    }


def _format_pair(held: int, limit: int, unit: int) -> str:
    shown = _format_number(limit, unit) if limit else _NO_LIMIT
    return f'{_format_number(held, unit)}/{shown}'


def _format_rate(rate: dict[str, int] | None) -> str:
    if rate is None:
        return _NO_LIMIT
    agreed = _format_number(rate['millijobs_per_s'], _MILLI)
    tokens = _format_number(rate['tokens_millijobs'], _MILLI)
    return f'{agreed} ({tokens})'


def _mark(team: str, *, is_routed: bool) -> str:
    return team if is_routed else f'{team} *'


def _format_number(amount: int, unit: int) -> str:
    return format(amount / unit, '.1f').removesuffix('.0')
