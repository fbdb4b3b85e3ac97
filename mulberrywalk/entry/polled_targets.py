"""The polled targets that the leader has assigned to an entry."""

from __future__ import annotations

import anyio
import msgspec
from anyio.abc import TaskGroup

from ..core import identity
from ..telemetry import clock, journal
from ..transport import wire
from . import polled, session, target_client, upstream

# A session that fails again within this time is left to the leader.
_FAILURE_INTERVAL_MS = 10_000


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
        # When a session last failed.
        self._failed_at: dict[identity.SessionId, int] = {}
        leader.register(wire.Assignment, self.assign)

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

        It is followed by another one. If that fails soon, the leader assigns
        the target to another entry once it is not polled any more.
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
            assigned = polled_session.assigned
            current = self._sessions.open.get(assigned.session)
            polled_session.end()
            if current is polled_session:
                self._follow(assigned)

    def _follow(self, failed: wire.Assignment) -> None:
        """Start a session after one that failed, unless it did so again."""
        now = clock.monotonic_ms()
        failed_at = self._failed_at.get(failed.session)
        self._failed_at[failed.session] = now
        if failed_at is None or now - failed_at > _FAILURE_INTERVAL_MS:
            # Starts that the failed session has sent may still arrive.
            self.assign(msgspec.structs.replace(failed, is_first=False))


def _find_cause(error: BaseException) -> BaseException:
    """Return the first leaf exception of nested exception groups."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
