"""Which positions of a queue a pass tries.

The first positions are tried in every pass. Work that cannot run although
there is capacity, such as steps with more tasks than there are targets, would
keep out all work behind that. For as many positions as such work takes, a pass
goes on behind the first ones, and the next pass where this one ended.
"""

from __future__ import annotations

from collections.abc import Iterator

from . import gang, identity, resource, share, state, team_limit, waiting

# Positions of a queue of tasks, and of one with steps, that each pass tries.
_FRONT_TASKS = 16
_FRONT_STEPS = 64
# While more than this share of the cell is free, work that waits for room on
# one target keeps out no smaller work either.
_IDLE_SHARE = resource.PARTS_PER_MILLION // 4


def iter_positions(
    tables: state.State, key: waiting.QueueKey
) -> Iterator[waiting.Position]:
    """Yield the positions to try, until the caller has placed one."""
    front = peek_front(tables, key)
    yield from front
    if len(tables.waiting.queues[key]) > len(front):
        blocked = _count_blocked(tables, front)
        yield from _iter_behind(tables, key, len(front), blocked)


def peek_front(
    tables: state.State, key: waiting.QueueKey
) -> list[waiting.Position]:
    """Return the positions of a queue that each pass tries."""
    count = _FRONT_STEPS if tables.waiting.steps else _FRONT_TASKS
    return tables.waiting.peek(key, count)


def _iter_behind(
    tables: state.State, key: waiting.QueueKey, front: int, count: int
) -> Iterator[waiting.Position]:
    """Yield a number of positions behind the front, from the last one tried.

    At the end of the queue, the next pass begins behind the front again.
    """
    if not count:
        return
    queue = tables.waiting.queues[key]
    last = tables.waiting.tried.get(key)
    begin = front if last is None else max(front, queue.bisect_right(last))
    if begin >= len(queue):
        begin = front
    for position in list(queue.islice(begin, begin + count)):
        tables.waiting.tried[key] = position
        yield position


def _count_blocked(tables: state.State, front: list[waiting.Position]) -> int:
    used = share.of_all(tables)
    if used < resource.PARTS_PER_MILLION - _IDLE_SHARE:
        return len(front)
    return sum(_is_blocked(tables, position.task) for position in front)


def _is_blocked(tables: state.State, name: str) -> bool:
    """Return whether work waits for something other than free capacity."""
    step = tables.steps.get(identity.StepId(name))
    if step is not None:
        demand = tables.step_specification(step).demand()
        has_room = name not in tables.waiting.without_room
        return has_room or not tables.fleet.could_fit(demand)
    task = tables.tasks[identity.TaskId(name)]
    if gang.is_unplaced_gang(tables, task):
        return True
    return not team_limit.allows(tables, task)
