"""Links to entries while the leader cannot confirm that it leads."""

import types

import anyio
import msgspec
import pytest

from ..core import event
from ..telemetry import cost, journal
from ..transport import channel, wire
from . import link

_UNCONFIRMED_S = 0.1


class FakeContext:
    """The leader's end of a stream from an entry."""

    def __init__(self, *messages):
        self.batches = [wire.FromEntryBatch('e0', 'dc0', 0, messages)]
        self.sent = []

    async def read(self):
        if not self.batches:
            await anyio.sleep_forever()
        return msgspec.msgpack.encode(self.batches.pop(0))

    async def write(self, encoded):
        batch = msgspec.msgpack.decode(encoded, type=wire.ToEntryBatch)
        self.sent.extend(batch.messages)


class FakeEngine:
    """An engine that serves until its leader is no longer confirmed."""

    def __init__(self):
        self.is_confirmed = True
        self.node = types.SimpleNamespace(leader='')
        configuration = types.SimpleNamespace(version=1)
        self.tables = types.SimpleNamespace(configuration=configuration)

    def is_serving(self):
        return self.is_confirmed


REPORT = wire.Report('s1', started=(event.AttemptStart('j.0.0.0/1', 5),))


class Scene:
    """A link whose leader loses its confirmation as the link opens."""

    def __init__(self):
        self.engine = FakeEngine()
        self.read = []
        self.is_open = False
        self.links = link.Links(
            self.engine,
            journal.Journal(journal.Origin('r', 'dc0')),
            cost.Meter(),
            self.receive,
            self.lose_confirmation,
        )

    def receive(self, origin, message):
        is_serving = self.engine.is_serving()
        if is_serving:
            self.read.append(message)
        return is_serving

    def lose_confirmation(self, origin):
        self.engine.is_confirmed = False

    async def serve(self, context, confirm_after_s):
        async with anyio.create_task_group() as group:
            group.start_soon(self.links.accept, context)
            await anyio.sleep(confirm_after_s)
            self.engine.is_confirmed = True
            with anyio.move_on_after(1):
                while self.links.open and not self.read:
                    await anyio.sleep(0.01)
            self.is_open = bool(self.links.open)
            group.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('confirm_after_s', 'read'),
    [
        (_UNCONFIRMED_S, [REPORT]),
        (2 * channel.HEARTBEAT_INTERVAL_S, []),
    ],
)
def test_message_to_unconfirmed_leader_is_not_lost(confirm_after_s, read):
    scene = Scene()
    context = FakeContext(REPORT)
    anyio.run(scene.serve, context, confirm_after_s)
    assert scene.read == read
    assert scene.is_open == bool(read)
    assert any(isinstance(one, wire.Redirect) for one in context.sent) != bool(
        read
    )


class EndingLease:
    """Runs out after some readings once the link is open, and comes back."""

    def __init__(self, engine, readings):
        self.engine = engine
        self.readings = readings

    def is_held(self):
        if self.engine.is_confirmed:
            return True
        self.readings -= 1
        return self.readings >= 0


@pytest.mark.parametrize('readings', range(8))
def test_no_message_is_lost_when_the_lease_ends_in_a_batch(readings):
    scene = Scene()
    scene.engine.is_serving = EndingLease(scene.engine, readings).is_held
    messages = tuple(
        wire.Report('s1', started=(event.AttemptStart(f'j.0.0.{one}/1', 5),))
        for one in range(4)
    )

    async def run():
        async with anyio.create_task_group() as group:
            group.start_soon(scene.links.accept, FakeContext(*messages))
            await anyio.sleep(_UNCONFIRMED_S)
            scene.engine.is_confirmed = True
            await anyio.sleep(_UNCONFIRMED_S)
            scene.is_open = bool(scene.links.open)
            group.cancel_scope.cancel()

    anyio.run(run)
    assert scene.read == list(messages) or not scene.is_open


def test_message_of_an_earlier_link_is_not_read_after_the_next_one():
    """It waits, the entry links again, and the leader is confirmed."""
    scene = Scene()
    claims = wire.PolledSessions(('s1',))

    async def run():
        async with anyio.create_task_group() as group:
            group.start_soon(scene.links.accept, FakeContext(claims))
            await anyio.sleep(_UNCONFIRMED_S / 2)
            scene.links.open['e0'] = link.Link('e0', 'dc0')
            scene.engine.is_confirmed = True
            await anyio.sleep(_UNCONFIRMED_S)
            group.cancel_scope.cancel()

    anyio.run(run)
    assert not scene.read
