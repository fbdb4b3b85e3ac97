"""Each entry asks one question at a time, the most urgent first."""

import anyio
import pytest

from ..core import effect, job
from ..transport import wire
from . import advice_queue, link


class FakeLinks:
    """Three entries, of which the patient may use two."""

    def __init__(self):
        names = ('e0', 'e1', 'e2')
        self.open = {name: link.Link(name, 'dc') for name in names}


@pytest.fixture
def links():
    return FakeLinks()


@pytest.fixture
def questions(links):
    return advice_queue.AdviceQueue(links)


def wanted(step, urgency=job.Urgency.HIGH, expected_ms=600):
    return effect.AskAdvice(step, ('t1',), urgency, expected_ms)


def asked(links, name):
    sent = anyio.run(links.open[name].outbox.take, 0)
    return [one.step for one in sent if isinstance(one, wire.AdviceRequest)]


def test_an_entry_asks_one_question_at_a_time(links, questions):
    for step in ('a', 'b', 'c'):
        questions.add(wanted(step))
    assert asked(links, 'e0') == ['a']
    assert asked(links, 'e1') == ['b']
    questions.complete('b')
    assert asked(links, 'e1') == ['c']


def test_slow_questions_leave_an_entry_to_urgent_ones(links, questions):
    for step in ('a', 'b', 'c'):
        questions.add(wanted(step))
    assert asked(links, 'e2') == []
    questions.add(wanted('d', job.Urgency.CRITICAL, 50))
    assert asked(links, 'e2') == ['d']


def test_the_most_urgent_is_asked_first(links, questions):
    for step in ('a', 'b', 'c'):
        questions.add(wanted(step))
    for step in ('d', 'e'):
        questions.add(wanted(step, job.Urgency.CRITICAL, 50))
    assert asked(links, 'e2') == ['d']
    questions.complete('d')
    assert asked(links, 'e2') == ['e']
    questions.complete('a')
    questions.complete('e')
    assert asked(links, 'e0') == ['a', 'c']


def test_stopping_entry_is_not_asked(links, questions):
    links.open['e0'].is_stopping = True
    questions.add(wanted('a'))
    assert asked(links, 'e1') == ['a']


def test_a_question_waits_until_an_entry_is_linked(links, questions):
    opened = dict(links.open)
    links.open.clear()
    questions.add(wanted('a'))
    links.open.update(opened)
    questions.send_waiting()
    assert asked(links, 'e0') == ['a']


def test_an_entry_that_is_gone_holds_no_question(links, questions):
    questions.add(wanted('a'))
    links.open['e0'] = link.Link('e0', 'dc')
    questions.add(wanted('b'))
    assert asked(links, 'e0') == ['b']


def test_a_question_that_is_lost_with_its_entry_is_asked_by_another(
    links, questions
):
    questions.add(wanted('a'))
    assert asked(links, 'e0') == ['a']
    links.open.pop('e0')
    questions.send_waiting()
    assert asked(links, 'e1') == ['a']
