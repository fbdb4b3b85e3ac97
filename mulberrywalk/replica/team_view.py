"""The teams as plain data for JSON, without their keys."""

from __future__ import annotations

from typing import Any

import msgspec

from ..core import state, team_summary
from . import team_refusals


def show_teams(
    tables: state.State, refusals: team_refusals.TeamRefusals
) -> dict[str, Any]:
    """Return what each team holds, may hold, waits for and was refused.

    Refused jobs of teams that have no other row are listed by themselves.
    """
    summaries, omitted = team_summary.summarize(tables)
    refused = refusals.by_team()
    shown = {summary.team for summary in summaries}
    return {
        'at': tables.time,
        'refused_since': refusals.since,
        'omitted': omitted,
        'teams': [
            {
                **msgspec.to_builtins(summary),
                'refused': dict(refused.get(summary.team, {})),
            }
            for summary in summaries
        ],
        'refused_elsewhere': {
            team: dict(counts)
            for team, counts in sorted(refused.items())
            if team not in shown
        },
    }
