"""What a task counts against the limit of its team."""

from __future__ import annotations

from . import job, resource


def amounts(
    needs: job.TaskSpecification | job.StepSpecification,
) -> resource.Resources:
    """Return the declared amounts of one task, one slot included.

    A filler counts with its declared processor here, though it takes none of
    a target's.
    """
    return resource.Resources(
        needs.millicores, needs.memory_bytes, needs.accelerators, slots=1
    )
