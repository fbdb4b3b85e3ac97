"""The platform's messages are decoded into the product's records, or not."""

import json
from types import MappingProxyType

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ..core import (
    configuration,
    event,
    identity,
    job,
    reducer,
    snapshot,
    state,
)
from ..entry import target_client
from . import wire

ROUTE = MappingProxyType(
    {
        'name': 'r-1',
        'host': 'Nony24.example',
        'pathPrefix': '/lohu930/',
        'kind': 'unsafe',
        'timeoutMs': 3000,
        'targetLatencyMs': 250,
        'priority': 2,
        'service': 's-1',
        'maxAttempts': 3,
        'slackFactor': 1.5,
        'advice': {'decisionMs': 44.8, 'perWorkerMs': 0.4, 'validMs': 2000},
    }
)
DOCUMENT = MappingProxyType(
    {
        'version': 7,
        'routes': [dict(ROUTE)],
        'services': [{'name': 's-1', 'standby': False, 'maxConns': 64}],
        'limits': {'maxBodyBytes': 262144},
    }
)
BEAT = MappingProxyType(
    {
        'service': 's-1',
        'address': '10.0.0.1:80',
        'zone': 'z',
        'state': 'ready',
        'capacity': {'cpu': 16000, 'memMb': 32768, 'gpu': 0},
        'labels': ['a', 'r1-3'],
        'clockMs': 5,
        'seq': 4,
        'born': 1786885000998,
    }
)
LISTING = MappingProxyType(
    {'clockMs': 1, 'born': 1, 'running': [], 'finished': []}
)
JOB = MappingProxyType({'phases': [{'count': 1, 'cpu': 1}]})
MIB = 1_048_576
DEEP = b'[' * 100_000 + b']' * 100_000
BAD = ('{', '[]', '{"version": "x"}', '"', '{"version": 1, "routes": 1}')


def encoded(fields):
    return json.dumps(dict(fields)).encode()


def queue():
    return wire.read_routing(encoded(DOCUMENT)).queues[0]


def test_routing_is_kept_as_it_was_sent():
    routing = wire.read_routing(encoded(DOCUMENT))
    assert json.loads(routing.source) == dict(DOCUMENT)
    assert (routing.version, routing.max_body_bytes) == (7, 262144)
    assert [one.name for one in routing.pools] == ['s-1']


def test_routing_is_decoded_into_queues():
    assert queue() == configuration.Queue(
        name='r-1',
        host='nony24.example',
        path_prefix='/lohu930/',
        pool='s-1',
        urgency=job.Urgency.NORMAL,
        timeout_ms=3000,
        objective_ms=250,
        slack_percent=150,
        max_failures=3,
        advice=job.AdviceSettings(44, 400, 2000),
    )


@pytest.mark.parametrize('body', BAD)
def test_unreadable_configuration_is_refused(body):
    with pytest.raises(wire.WireError):
        wire.read_routing(body.encode())


def test_job_is_decoded_into_steps():
    body = {
        'spec': 'text',
        'phases': [
            {'count': 4, 'cpu': 500, 'memMb': 256, 'estimateMs': 900},
            {
                'count': 2,
                'cpu': 2000,
                'memMb': 1,
                'after': [0],
                'gang': True,
                'checkpointing': True,
                'constraints': 'a',
                'antiAffinity': 1,
                'fills': True,
                'targetMs': 90,
                'longRunning': False,
            },
        ],
        'repeatCount': 2,
        'firstMs': 10,
        'intervalMs': 20,
    }
    read = wire.read_job(encoded(body), '0' * 16, queue())
    assert read.steps == (
        job.StepSpecification(4, 500, 256 * MIB, estimate_ms=900),
        job.StepSpecification(
            2,
            2000,
            MIB,
            after=(0,),
            is_gang=True,
            is_checkpointing=True,
            is_filler=True,
            label='a',
            per_target_limit=1,
            latency_target_ms=90,
        ),
    )
    assert read.recurrence == job.Recurrence(10, 20, 2)
    assert (read.payload, read.queue) == ('text', 'r-1')


@pytest.mark.parametrize(
    'body',
    [
        '{',
        '{}',
        '{"phases": [{"count": 0}]}',
        '{"phases": [{"count": "x"}]}',
        '{"phases": [{"count": 99999999}]}',
        '{"phases": [{"count": 1, "cpu": -1}]}',
    ],
)
def test_unreadable_job_is_refused(body):
    with pytest.raises(wire.WireError):
        wire.read_job(body.encode(), '0' * 16, queue())


def test_heartbeat_announces_a_target():
    sighting = wire.read_heartbeat('i-1', encoded(BEAT), 8000)
    announced = sighting.announcement
    assert announced.target == 'i-1'
    assert (announced.rack, announced.pool) == ('r1-3', 's-1')
    assert (announced.born_at, announced.nonce) == (
        1786885000998,
        '1786885000998',
    )
    assert announced.capacity.millicores == 16000
    assert not sighting.is_leaving


@pytest.mark.parametrize('field', sorted(set(BEAT) - {'labels', 'clockMs'}))
def test_heartbeat_without_a_field_names_no_target(field):
    beat = {name: text for name, text in BEAT.items() if name != field}
    with pytest.raises(wire.WireError):
        wire.read_heartbeat('i-1', encoded(beat), 8000)


@pytest.mark.parametrize(
    'changes', [{'state': 'other'}, {'seq': 'x'}, {'capacity': 3}, {'born': ''}]
)
def test_heartbeat_of_another_writer_names_no_target(changes):
    with pytest.raises(wire.WireError):
        wire.read_heartbeat('i-1', encoded({**BEAT, **changes}), 8000)


def test_listing_is_decoded_with_all_its_ends():
    listing = {
        'clockMs': 482113,
        'born': 5,
        'running': [['j.0.1.17', 2, 'saved', 41, 300]],
        'finished': [
            [number, 'j.0.1.9', 1, how, '']
            for number, how in enumerate(
                ('done', 'failed', 'stopped', 'lapsed', 'broken', 'alone')
            )
        ],
    }
    seen = wire.read_listing(encoded(listing))
    assert seen.running == (
        target_client.RunningAttempt('j.0.1.17/2', 'saved', 300),
    )
    assert [one.reason for one in seen.ended] == [
        job.EndReason.COMPLETED,
        job.EndReason.FAILED,
        job.EndReason.STOPPED,
        job.EndReason.LEASE_LAPSED,
        job.EndReason.GANG_BROKEN,
        job.EndReason.GANG_INCOMPLETE,
    ]


@pytest.mark.parametrize(
    'body',
    [
        '{',
        '{"clockMs": 1}',
        '{"clockMs": 1, "born": 1, "finished": [[1, "t", 1, "odd", ""]]}',
        '{"clockMs": 1, "born": 1, "finished": [["x", "t", 1, "done", ""]]}',
        '{"clockMs": 1, "born": 1, "running": [["t"]]}',
    ],
)
def test_unreadable_listing_is_refused(body):
    with pytest.raises(wire.WireError):
        wire.read_listing(body.encode())


def test_refusals_have_their_reasons():
    told = {
        reason: wire.read_refusal(encoded({'clockMs': 1, 'reason': reason}))
        for reason in ('fence', 'old', 'late', 'room', 'ticket', 'odd')
    }
    assert told == {
        'fence': target_client.CallResult.FENCED,
        'old': target_client.CallResult.BARRED,
        'late': target_client.CallResult.LEASE_EXPIRED,
        'room': target_client.CallResult.NO_CAPACITY,
        'ticket': target_client.CallResult.NO_TICKET,
        'odd': target_client.CallResult.INVALID,
    }


def test_attempt_is_known_by_task_and_run():
    name = identity.AttemptId('5c0e7a21d94b36f8.0.1.17/2')
    assert wire.split_attempt_id(name) == ('5c0e7a21d94b36f8.0.1.17', 2)


def test_tickets_come_as_rows():
    body = encoded({'allowed': [['i-1', 't1'], ['i-2', 't2']]})
    assert wire.read_tickets(body) == (('i-1', 't1'), ('i-2', 't2'))


def deepen(fields):
    """Return a message with an unknown field that is nested deeply."""
    return b''.join((encoded(fields)[:-1], b', "other": ', DEEP, b'}'))


@pytest.mark.parametrize(
    ('read', 'fields'),
    [
        (lambda body: wire.read_heartbeat('i-1', body, 1), BEAT),
        (wire.read_listing, LISTING),
        (wire.read_routing, DOCUMENT),
        (lambda body: wire.read_job(body, '0' * 16, queue()), JOB),
        (wire.read_tickets, {'allowed': []}),
    ],
)
def test_deeply_nested_message_is_refused_and_ends_nothing(read, fields):
    read(encoded(fields))
    with pytest.raises(wire.WireError):
        read(deepen(fields))


def test_deeply_nested_refusal_is_no_answer_to_an_order():
    told = wire.read_refusal(deepen({'reason': 'room'}))
    assert told is target_client.CallResult.INVALID


ODD_NUMBERS = (-1, -1e300, 1e300, 1e308, 10**40, -(10**40), 2**63, 10**4299)


@pytest.mark.parametrize('number', ODD_NUMBERS)
@pytest.mark.parametrize('field', ['seq', 'born', 'cpu', 'memMb', 'gpu'])
def test_heartbeat_with_an_amount_that_nothing_has_is_refused(field, number):
    changes = {field: number}
    if field not in BEAT:
        changes = {'capacity': {**BEAT['capacity'], field: number}}
    with pytest.raises(wire.WireError):
        wire.read_heartbeat('i-1', encoded({**BEAT, **changes}), 8000)


def test_time_that_is_left_can_be_written_into_the_log():
    beat = {**BEAT, 'state': 'draining', 'remainingMs': -3.5}
    sighting = wire.read_heartbeat('i-1', encoded(beat), 8000)
    assert sighting.remaining_ms == 0
    with pytest.raises(wire.WireError):
        wire.read_heartbeat('i-1', encoded({**beat, 'remainingMs': 1e300}), 1)


def test_life_without_a_beginning_is_refused():
    # A session that was born at zero is taken for one that dials in.
    with pytest.raises(wire.WireError):
        wire.read_heartbeat('i-1', encoded({**BEAT, 'born': 0}), 8000)


@pytest.mark.parametrize(
    'address',
    [
        '',
        '10.0.0.1',
        '10.0.0.1:',
        '10.0.0.1:0',
        '10.0.0.1:-1',
        '10.0.0.1:65536',
        '10.0.0.1:99999999',
        '10.0.0.1:\u0664',
        '10.0.0.256:80',
        '10.0.0.01:80',
        'user@10.0.0.1:80',
        '10.0.0.1:80/path:80',
        '10.0.0.1:80\n',
        '[::1]:80',
        'host.example:80',
        'x' * 100_000,
    ],
)
def test_heartbeat_with_an_address_that_cannot_be_called_is_refused(address):
    with pytest.raises(wire.WireError):
        wire.read_heartbeat('i-1', encoded({**BEAT, 'address': address}), 1)


@pytest.mark.parametrize('name', ['', '\xe9', 'a b', 'a\n', '\x00', 'x' * 300])
def test_id_that_no_header_can_carry_names_no_target(name):
    with pytest.raises(wire.WireError):
        wire.read_heartbeat(name, encoded(BEAT), 8000)


ANYTHING = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(st.characters(codec='utf-8'), max_size=20),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text('ab', max_size=2), inner, max_size=3)
    ),
    max_leaves=5,
)


@given(field=st.sampled_from(sorted(BEAT)), said=ANYTHING)
def test_heartbeat_that_is_taken_can_be_written_and_read_again(field, said):
    body = encoded({**BEAT, field: said})
    try:
        sighting = wire.read_heartbeat('i-1', body, 8000)
    except wire.WireError:
        return
    opened = event.SessionOpened(1, sighting.announcement)
    written = msgspec.msgpack.encode([opened, sighting.remaining_ms])
    kinds = tuple[event.SessionOpened, int | None]
    assert msgspec.msgpack.decode(written, type=kinds)[0] == opened


TASK = '5c0e7a21d94b36f8.0.1.17'
ODD_ROWS = (
    ('running', [TASK]),
    ('running', []),
    ('running', [7, 1, '', 0, 0]),
    ('running', [None, 1, '', 0, 0]),
    ('running', ['', 1, '', 0, 0]),
    ('running', ['x' * 300, 1, '', 0, 0]),
    ('running', [TASK, 'x', '', 0, 0]),
    ('running', [TASK, '1', '', 0, 0]),
    ('running', [TASK, True, '', 0, 0]),
    ('running', [TASK, -1, '', 0, 0]),
    ('running', [TASK, 1.5, '', 0, 0]),
    ('running', [TASK, 10**40, '', 0, 0]),
    ('running', [TASK, 1, ['saved'], 0, 0]),
    ('running', [TASK, 1, 'x' * 70_000, 0, 0]),
    ('finished', [1, TASK, 1, 'done']),
    ('finished', [-1, TASK, 1, 'done', '']),
    ('finished', [True, TASK, 1, 'done', '']),
    ('finished', [10**40, TASK, 1, 'done', '']),
    ('finished', [1, TASK, 'x', 'done', '']),
    ('finished', [1, TASK, 1, ['done'], '']),
    ('finished', [1, TASK, 1, 'done', {}]),
)


@pytest.mark.parametrize(('field', 'row'), ODD_ROWS)
def test_listing_with_a_row_that_names_no_run_is_refused(field, row):
    with pytest.raises(wire.WireError):
        wire.read_listing(encoded({**LISTING, field: [row]}))


@pytest.mark.parametrize('number', ODD_NUMBERS)
@pytest.mark.parametrize('field', ['clockMs', 'born'])
def test_listing_with_a_time_that_no_clock_shows_is_refused(field, number):
    with pytest.raises(wire.WireError):
        wire.read_listing(encoded({**LISTING, field: number}))


def test_listing_with_more_rows_than_a_target_runs_is_refused():
    rows = [[TASK, run, '', 0, 0] for run in range(20_000)]
    with pytest.raises(wire.WireError):
        wire.read_listing(encoded({**LISTING, 'running': rows}))


@pytest.mark.parametrize('gauge', [True, None, 'x', [], -5, 1e300, 10**400])
def test_gauge_that_is_no_reading_counts_as_none(gauge):
    row = [TASK, 1, '', 0, gauge]
    seen = wire.read_listing(encoded({**LISTING, 'running': [row]}))
    assert seen.running == (target_client.RunningAttempt(f'{TASK}/1', '', 0),)


@given(
    field=st.sampled_from(('running', 'finished')),
    row=st.lists(
        st.sampled_from((TASK, 'done', '', 1, 5)) | ANYTHING, max_size=6
    ),
)
def test_listing_that_is_taken_can_be_reported_and_answered(field, row):
    try:
        seen = wire.read_listing(encoded({**LISTING, field: [row]}))
    except wire.WireError:
        return
    for one in (*seen.running, *seen.ended):
        wire.split_attempt_id(one.attempt)
        numbers = getattr(one, 'number', 0), getattr(one, 'gauge', 0)
        msgspec.msgpack.encode((one.attempt, one.checkpoint, numbers))


def configured(**changes):
    """Return the encoded configuration with another route."""
    return encoded({**DOCUMENT, 'routes': [{**ROUTE, **changes}]})


@pytest.mark.parametrize('number', [*ODD_NUMBERS, -5])
@pytest.mark.parametrize(
    'field',
    ['timeoutMs', 'targetLatencyMs', 'maxAttempts', 'slackFactor'],
)
def test_configuration_with_a_number_that_means_nothing_is_refused(
    field, number
):
    with pytest.raises(wire.WireError):
        wire.read_routing(configured(**{field: number}))


@pytest.mark.parametrize('number', [*ODD_NUMBERS, -5])
@pytest.mark.parametrize('field', ['decisionMs', 'perWorkerMs', 'validMs'])
def test_terms_of_advice_that_mean_nothing_are_refused(field, number):
    with pytest.raises(wire.WireError):
        wire.read_routing(configured(advice={**ROUTE['advice'], field: number}))


@pytest.mark.parametrize('number', [10**40, -(10**40), 2**63])
def test_version_that_the_log_cannot_hold_is_refused(number):
    with pytest.raises(wire.WireError):
        wire.read_routing(encoded({**DOCUMENT, 'version': number}))


UNUSUAL = (
    {'slackFactor': 51},
    {'targetLatencyMs': 691_200_000},
    {'maxAttempts': 5001},
    {'priority': 10**40},
    {'timeoutMs': 1e12},
    {'advice': {'decisionMs': 1e12, 'perWorkerMs': 1e12, 'validMs': 1e12}},
    {'advice': {'decisionMs': 1, 'perWorkerMs': 1, 'validMs': 0.4}},
)


@pytest.mark.parametrize('changes', UNUSUAL)
def test_unusual_terms_of_a_queue_spoil_neither_log_nor_snapshot(changes):
    routing = wire.read_routing(configured(**changes))
    job_of_queue = wire.read_job(encoded(JOB), '0' * 16, routing.queues[0])
    events = [
        event.ConfigurationReplaced(1, routing),
        event.JobSubmitted(2, job_of_queue, 'd'),
    ]
    written = msgspec.msgpack.encode(events)
    tables = state.State()
    for one in msgspec.msgpack.decode(written, type=list[event.Event]):
        reducer.reduce(tables, one)
    restored = snapshot.decode(snapshot.encode(tables))
    assert list(restored.jobs) == ['0' * 16]
    assert json.loads(routing.source) == json.loads(configured(**changes))


@pytest.mark.parametrize('number', ODD_NUMBERS)
@pytest.mark.parametrize(
    'field',
    ['count', 'cpu', 'memMb', 'gpu', 'estimateMs', 'antiAffinity', 'mayMiss'],
)
def test_job_that_needs_what_nothing_has_is_refused(field, number):
    body = encoded({'phases': [{'count': 1, field: number}]})
    with pytest.raises(wire.WireError):
        wire.read_job(body, '0' * 16, queue())


@pytest.mark.parametrize('number', [10**40, -(10**40), 2**63])
def test_job_that_no_message_can_carry_is_refused(number):
    body = encoded({'phases': [{'count': 1, 'after': [number]}]})
    with pytest.raises(wire.WireError):
        wire.read_job(body, '0' * 16, queue())


@pytest.mark.parametrize('number', ODD_NUMBERS)
@pytest.mark.parametrize('field', ['firstMs', 'intervalMs'])
def test_job_at_a_time_that_never_comes_is_refused(field, number):
    body = encoded({**JOB, 'repeatCount': 2, field: number})
    with pytest.raises(wire.WireError):
        wire.read_job(body, '0' * 16, queue())


STEP_FIELDS = ('count', 'cpu', 'after', 'estimateMs', 'targetMs', 'image')


@given(
    step=st.dictionaries(st.sampled_from(STEP_FIELDS), ANYTHING),
    more=st.dictionaries(
        st.sampled_from(('repeatCount', 'firstMs', 'intervalMs', 'spec')),
        ANYTHING,
    ),
)
def test_job_that_is_taken_can_be_handed_on(step, more):
    body = encoded({'phases': [{'count': 1, **step}], **more})
    try:
        read = wire.read_job(body, '0' * 16, queue())
    except wire.WireError:
        return
    written = msgspec.msgpack.encode(read)
    assert msgspec.msgpack.decode(written, type=job.Specification) == read
