"""Randomised fault tests of a simulated site whose callers cancel and submit jobs in any order.

Callers cancel jobs that were accepted, refused, or submitted without an answer, and jobs that are
submitted only later; some submit a cancelled job again.

``python -m jujubehall.testing.virtual.fleet.cancellation_simulation --seeds 50`` runs seeds 0 to 49
and prints the invariant violations of each.
"""

from __future__ import annotations

import sys

from typing import TYPE_CHECKING

from jujubehall.clock import MS_PER_SECOND
from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.fleet.requests import StepRequest
from jujubehall.core.fleet.resources import Resources
from jujubehall.identifiers import JobId
from jujubehall.services.fleet.admission import Outcome
from jujubehall.testing.virtual.fleet.fault_simulation import STEP_COUNT
from jujubehall.testing.virtual.fleet.fault_simulation import FaultSimulation
from jujubehall.testing.virtual.fleet.fault_simulation import delay_worker_commands
from jujubehall.testing.virtual.fleet.fault_simulation import run_seeds
from jujubehall.testing.virtual.fleet.late_calls import CANCEL_MS

if TYPE_CHECKING:
    from collections.abc import Callable

CONTACT_MS = 3_000
"""Time after the last fault from which the time limit of cancellations holds again."""

CHAIN_LENGTH = 6
MAX_STEP_MS = 6_000
"""The jobs are still at work when the faults have ended."""

_calls: list[Callable[[CancellationSimulation], None]] = []


def call(
    action: Callable[[CancellationSimulation], None],
) -> Callable[[CancellationSimulation], None]:
    """Registers the decorated function as a call of a caller."""
    _calls.append(action)
    return action


@call
def cancel_job(simulation: CancellationSimulation) -> None:
    """Cancels a job, whether or not it has been submitted."""
    simulation.cancel(simulation.random_job())


@call
def cancel_unanswered_job(simulation: CancellationSimulation) -> None:
    """Cancels a job of which the submission was not answered."""
    if simulation.unknown:
        simulation.cancel(simulation.random.choice(sorted(simulation.unknown)))


@call
def submit_again(simulation: CancellationSimulation) -> None:
    """Submits a job again that was cancelled."""
    if simulation.cancelled:
        simulation.submit_again(simulation.random.choice(sorted(simulation.cancelled)))


class CancellationSimulation(FaultSimulation):
    """One run in which many jobs are cancelled; all choices derive from ``seed``."""

    # Commands that workers carry out late may start the tasks of cancelled jobs.
    injected = [  # noqa: RUF012
        *(each for each in FaultSimulation.injected if each is not delay_worker_commands),
        *4 * _calls,
    ]

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._acknowledged_ms: dict[JobId, int] = {}
        """When the cancellation of each job was first acknowledged."""

        self._faults_ended_ms = 0

    def random_job(self) -> JobId:
        """Returns the identifier of a job that may have been submitted or may be later."""
        return JobId(f"{self.random.randrange(STEP_COUNT):016x}")

    def make_request(self) -> JobRequest:
        """Returns a job whose tasks are started one after the other."""
        return JobRequest(
            "spec",
            tuple(
                StepRequest(
                    1,
                    Resources(1_000, 1_000, 1),
                    self.random.randint(500, MAX_STEP_MS),
                    after=(number - 1,) if number > 0 else (),
                )
                for number in range(CHAIN_LENGTH)
            ),
        )

    def cancel(self, job: JobId) -> None:
        """Cancels a job through a running entry host."""
        host = self._random_running_host()
        if host is None:
            return
        response = self.site.cancel(job, host=host)
        if response.outcome is not Outcome.NOT_RUN:
            self.cancelled.add(job)
        if response.outcome in (Outcome.ACCEPTED, Outcome.NO_SUCH_JOB):
            self._acknowledged_ms.setdefault(job, self._now_ms)

    def submit_again(self, job: JobId) -> None:
        """Submits a job through a running entry host, with the request that it had, if any."""
        host = self._random_running_host()
        if host is None:
            return
        request = self.site.requests.get(job) or self.make_request()
        response = self.site.submit(job, request, host=host)
        if response.outcome is Outcome.ACCEPTED:
            self.accepted[job] = "normal"

    def end_faults(self) -> None:
        """Ends all faults."""
        super().end_faults()
        self._faults_ended_ms = self._now_ms

    def find_violations(self) -> list[str]:
        """Returns the violations of invariants so far, among them starts of cancelled jobs."""
        self.refused -= set(self.accepted)
        return super().find_violations() + [
            f"{now_ms} ms: {task} is started, cancelled since {self._acknowledged_ms[task.job]} ms"
            for now_ms, task in self.site.run_recorder.starts
            if task.job in self._acknowledged_ms and now_ms > self._deadline_ms(task.job)
        ]

    @property
    def _now_ms(self) -> int:
        return round(self.site.time.seconds() * MS_PER_SECOND)

    def _deadline_ms(self, job: JobId) -> int:
        in_contact_ms = self._faults_ended_ms + CONTACT_MS
        return max(self._acknowledged_ms[job] + CANCEL_MS, in_contact_ms)


if __name__ == "__main__":
    sys.exit(run_seeds(CancellationSimulation))
