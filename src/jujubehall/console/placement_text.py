"""Describes a ``JobPreview`` in lines of text."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from jujubehall.core.fleet.placement_preview import JobPreview
    from jujubehall.core.fleet.placement_preview import StepPreview

MAX_WORKERS_SHOWN = 8


def placement_lines(preview: JobPreview) -> Iterator[str]:
    """Yields the lines: the job's standing first, then its steps."""
    yield f"queue {preview.queue}, team {preview.team or '-'}, priority {preview.priority}"
    objective = "none" if preview.objective_ms is None else f"{preview.objective_ms} ms from now"
    yield f"standing: {preview.standing}; objective: {objective}"
    yield f"waiting groups placed before it: {preview.groups_ahead}"
    for step in preview.steps:
        yield from _step_lines(step)


def _step_lines(step: StepPreview) -> Iterator[str]:
    yield f"step {step.step}, {step.tasks} tasks: {step.verdict.value}"
    if step.tasks_by_worker:
        shown = sorted(step.tasks_by_worker.items())[:MAX_WORKERS_SHOWN]
        more = len(step.tasks_by_worker) - len(shown)
        workers = ", ".join(f"{name} x{count}" for name, count in shown)
        yield f"  on {workers}" + (f" and {more} more" if more else "")
        yield f"  racks: {', '.join(step.racks)}"
    if step.stopped_jobs:
        yield f"  stops work of: {', '.join(step.stopped_jobs)}"
    if step.wait_ms:
        yield f"  waits {step.wait_ms} ms for work that ends"
    for reason, count in sorted(step.passed_over.items(), key=lambda each: (-each[1], each[0])):
        yield f"  {count} workers passed over: {reason}"
