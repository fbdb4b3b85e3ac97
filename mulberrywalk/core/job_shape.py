"""Checks which tasks and steps the specification of a job may have."""

from __future__ import annotations

import itertools
from collections.abc import Callable

from . import job

ShapeCheck = tuple[Callable[[job.Specification], bool], job.FieldError]

_TASK_CHECKS: tuple[ShapeCheck, ...] = (
    (
        lambda specification: not specification.steps,
        job.FieldError('steps', 'only a workflow has steps'),
    ),
    (
        lambda specification: bool(specification.tasks),
        job.FieldError('tasks', 'a job has at least one task'),
    ),
)
_WORKFLOW_CHECKS: tuple[ShapeCheck, ...] = (
    (
        lambda specification: not specification.tasks,
        job.FieldError('tasks', 'a workflow has steps and no tasks'),
    ),
    (
        lambda specification: bool(specification.steps),
        job.FieldError('steps', 'a workflow has at least one step'),
    ),
    (
        lambda specification: specification.is_idempotent,
        job.FieldError('idempotent', 'a workflow is idempotent'),
    ),
    (
        lambda specification: specification.count_tasks() <= job.MAX_TASKS,
        job.FieldError('steps', f'a job has at most {job.MAX_TASKS} tasks'),
    ),
)


def find_field_error(specification: job.Specification) -> job.FieldError | None:
    """Return the first error in the tasks and steps of a job, or None."""
    is_workflow = specification.kind is job.Kind.WORKFLOW
    checks = _WORKFLOW_CHECKS if is_workflow else _TASK_CHECKS
    shape_errors = (
        error for is_valid, error in checks if not is_valid(specification)
    )
    step_errors = itertools.starmap(
        _find_step_error, enumerate(specification.steps)
    )
    errors = itertools.chain(shape_errors, step_errors)
    return next((found for found in errors if found is not None), None)


def _find_step_error(
    number: int, step: job.StepSpecification
) -> job.FieldError | None:
    if any(earlier not in range(number) for earlier in step.after):
        return job.FieldError(
            f'steps[{number}].after', 'a step comes after earlier ones only'
        )
    if step.is_gang and step.is_lasting:
        return job.FieldError(f'steps[{number}].gang', 'a gang does not last')
    return None
