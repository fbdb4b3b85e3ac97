"""The polled targets that the leader has assigned to an entry."""

from __future__ import annotations

import anyio
from anyio.abc import TaskGroup

from ..telemetry import journal
from ..transport import wire
from . import polled, session, target_client, upstream


class PolledTargets:
    """The polled targets that the leader has assigned to this entry."""

    def __init__(
        self,
        client: target_client.TargetClient,
        leader: upstream.Upstream,
        sessions: session.Sessions,
        event_log: journal.Journal,
    ) -> None:
        """Register as the handler of the leader's assignments."""
        self._client = client
        self._leader = leader
        self._sessions = sessions
        self._event_log = event_log
        self._group: TaskGroup | None = None
        leader.on_assignment = self.assign

    async def run(self) -> None:
        """Run the sessions until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            await anyio.sleep_forever()

    def assign(self, assigned: wire.Assignment) -> None:
        """Start the session of an assigned target, or update it."""
        if self._group is None:
            return
        current = self._sessions.open.get(assigned.session)
        if isinstance(current, polled.PolledSession):
            current.update_assignment(assigned)
            return
        new_session = polled.PolledSession(
            assigned,
            self._client,
            self._leader,
            self._sessions,
            self._event_log,
        )
        self._sessions.add(assigned.session, new_session)
        self._group.start_soon(self._run_session, new_session)

    async def _run_session(self, polled_session: polled.PolledSession) -> None:
        """Run a session; a failure ends only this session.

        The leader reassigns the target once the session stops responding.
        """
        try:
            await polled_session.run()
        except Exception as error:
            cause = _find_cause(error)
            self._event_log.record(
                'session failed',
                f'{type(cause).__name__}: {cause}',
                target=polled_session.assigned.target,
            )
            polled_session.end()


def _find_cause(error: BaseException) -> BaseException:
    """Return the first leaf exception of nested exception groups."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
