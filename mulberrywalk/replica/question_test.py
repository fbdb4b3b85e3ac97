"""Questions go to the entry whose open ones end first."""

import anyio

from ..core import effect, job
from ..transport import wire
from . import link, question


class FakeLinks:
    """Two entries."""

    def __init__(self):
        self.open = {name: link.Link(name, 'dc') for name in ('e0', 'e1')}


def wanted(step, expected_ms):
    return effect.AskAdvice(step, ('t1',), job.Urgency.HIGH, expected_ms)


def asked(links, name):
    sent = anyio.run(links.open[name].outbox.take, 0)
    return [one.step for one in sent if isinstance(one, wire.AdviceWanted)]


def test_short_question_does_not_stand_behind_a_long_one():
    links = FakeLinks()
    questions = question.Questions(links)
    questions.ask(wanted('a', 600))
    questions.ask(wanted('b', 20))
    questions.ask(wanted('c', 20))
    assert asked(links, 'e0') == ['a']
    assert asked(links, 'e1') == ['b', 'c']


def test_stopping_entry_is_not_asked():
    links = FakeLinks()
    links.open['e0'].is_stopping = True
    question.Questions(links).ask(wanted('a', 600))
    assert asked(links, 'e1') == ['a']


def test_answered_question_counts_no_more():
    links = FakeLinks()
    questions = question.Questions(links)
    questions.ask(wanted('a', 600))
    questions.close('a')
    questions.ask(wanted('b', 20))
    assert asked(links, 'e0') == ['a', 'b']
