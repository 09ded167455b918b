"""Randomised test of jobs under injected failures, on a virtual site with a fixed seed."""

from __future__ import annotations

from functools import partial
from random import Random
from typing import TYPE_CHECKING

from result import Err

from jujubehall.core.jobs.job import JobState
from jujubehall.core.jobs.job import archive_key
from jujubehall.core.jobs.job import job_key
from jujubehall.errors import FailureKind
from jujubehall.identifiers import JobId
from jujubehall.services.async_utils import run_in_background
from jujubehall.testing.randomised.gang_invariants import check_gang_invariants
from jujubehall.testing.virtual.network import PLATFORM
from jujubehall.testing.worker_state import WorkerBehaviour
from jujubehall.workers.messages import Resources
from tests.services.job_site import check_no_exception
from tests.services.job_site import gang_spec
from tests.services.job_site import live_hosts
from tests.services.job_site import make_site

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from jujubehall.core.jobs.job import JobRecord
    from jujubehall.errors import Failure
    from jujubehall.testing.virtual.site import VirtualEntryHost

STEP_COUNT = 60
SETTLING_TIMEOUT_MS = 400_000


class RandomJobs:
    """Submits and cancels jobs while injecting host, worker, network and platform failures."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.site = make_site(seed, zones=2, workers=8, per_rack=4, entry_hosts=4)
        self.accepted: set[JobId] = set()
        self.outcome_unknown: set[JobId] = set()
        self.cancelled: set[JobId] = set()
        self.ended: dict[str, JobState] = {}
        self._submission_count = 0
        self._weights = {
            self.submit: 12,
            self.cancel: 3,
            self.kill_host: 2,
            self.suspend_host: 3,
            self.disconnect_host_from_workers: 3,
            self.disconnect_host_from_platform: 2,
            self.restart_worker: 2,
            self.take_worker_down: 2,
            self.fail_all_tasks_on_worker: 1,
            self.delay_worker_responses: 1,
            self.add_foreign_load: 1,
            self.start_platform_outage: 1,
            self.lose_platform_responses: 2,
            self.delay_platform: 1,
        }

    def run(self) -> None:
        """Runs random steps, ends all failures and checks the invariants during and after it."""
        for _ in range(STEP_COUNT):
            step = self.random.choices(list(self._weights), list(self._weights.values()))[0]
            step()
            self.site.run_for(self.random.randint(50, 2_500))
            check_gang_invariants(self.site)
            self.check_final_states()
        self.heal()
        self.check_all_jobs_end()

    def heal(self) -> None:
        """Ends all injected failures and restarts killed hosts."""
        network = self.site.network
        network.reconnect_all()
        network.is_platform_down = False
        network.platform_delay_ms = 0
        network.response_loss_rate = 0.0
        for worker in self.site.workers.values():
            worker.is_down = False
            worker.command_delay_ms = 0
            worker.behaviour = WorkerBehaviour()
            worker.set_foreign_use(Resources(0))
        for each in list(self.site.hosts.values()):
            each.reactor.resume()
            if each.reactor.is_killed:
                self.restart_host(each)
        self.site.run_for(15_000)

    def check_all_jobs_end(self) -> None:
        """Checks that every recorded job ends and that no accepted job is missing.

        This includes jobs whose submission ended with an unknown outcome.
        """
        self.site.run_until(lambda: not self.unfinished_jobs(), SETTLING_TIMEOUT_MS)
        check_gang_invariants(self.site)
        self.check_final_states()
        check_no_exception()
        for job in self.accepted:
            assert job in self.recorded_states(), f"{job} was accepted but has no record"

    def check_final_states(self) -> None:
        """Checks that no job has left its final state."""
        states = self.recorded_states()
        for job, state in self.ended.items():
            assert states.get(job, state) is state, f"{job} was {state} and is {states[job]}"
        self.ended.update((job, state) for job, state in states.items() if state.is_final)

    def recorded_states(self) -> dict[str, JobState]:
        """Returns the states of all recorded jobs, including archived ones."""
        keys = [archive_key(JobId("")), job_key(JobId(""))]
        entries = [entry for key in keys for entry in self.site.store.list_entries(key).entries]
        return {entry.value["id"]: JobState(entry.value["state"]) for entry in entries}

    def unfinished_jobs(self) -> list[str]:
        """Returns the recorded jobs that have not ended."""
        return [key for key, state in self.recorded_states().items() if not state.is_final]

    def submit(self) -> None:
        self._submission_count += 1
        job = JobId(f"job-{self._submission_count}")
        parts = self.random.choice([1, 1, 2, 3, 4])
        run_ms = self.random.choice([500, 5_000, 20_000, 60_000])
        urgent = self.random.random() < 0.2
        job_spec = gang_spec(parts, self.random.choice([2, 4, 8]), f"run:{run_ms}", urgent=urgent)
        host = self.random.choice(live_hosts(self.site)).entry_host

        def record_result(result: Result[JobRecord, Failure]) -> None:
            if not isinstance(result, Err):
                self.accepted.add(job)
            elif result.err_value.kind is FailureKind.NO_ANSWER:
                self.outcome_unknown.add(job)

        run_in_background(host.jobs.submit(job_spec, job)).addCallback(record_result)

    def cancel(self) -> None:
        if self.accepted:
            job = self.random.choice(sorted(self.accepted))
            self.cancelled.add(job)
            run_in_background(self.random.choice(live_hosts(self.site)).entry_host.jobs.cancel(job))

    def kill_host(self) -> None:
        if len(live_hosts(self.site)) < 3:
            return
        victim = self.random.choice(live_hosts(self.site))
        victim.reactor.kill()
        self.schedule(3_000, 12_000, lambda: self.restart_host(victim))

    def restart_host(self, victim: VirtualEntryHost) -> None:
        if self.site.hosts[victim.name] is victim:
            self.site.start_host(int(victim.name.rsplit("-", 1)[1]))

    def suspend_host(self) -> None:
        if len(live_hosts(self.site)) < 3:
            return
        victim = self.random.choice(live_hosts(self.site))
        victim.reactor.suspend()
        self.schedule(500, 20_000, victim.reactor.resume)

    def disconnect_host_from_workers(self) -> None:
        owners = [host.name for host in live_hosts(self.site) if host.entry_host.scheduler.owners]
        host = self.random.choice(owners or list(self.site.hosts))
        for worker in self.random.sample(sorted(self.site.workers), self.random.randint(1, 3)):
            self.site.network.disconnect(host, worker)
            self.schedule(3_000, 40_000, partial(self.site.network.reconnect, host, worker))

    def disconnect_host_from_platform(self) -> None:
        host = self.random.choice(list(self.site.hosts))
        self.site.network.disconnect(host, PLATFORM)
        self.schedule(1_000, 20_000, lambda: self.site.network.reconnect(host, PLATFORM))

    def restart_worker(self) -> None:
        self.site.workers[self.random.choice(sorted(self.site.workers))].restart()

    def take_worker_down(self) -> None:
        worker = self.site.workers[self.random.choice(sorted(self.site.workers))]
        worker.fail()
        self.schedule(1_000, 60_000, lambda: setattr(worker, "is_down", False))

    def fail_all_tasks_on_worker(self) -> None:
        worker = self.site.workers[self.random.choice(sorted(self.site.workers))]
        worker.behaviour = WorkerBehaviour(fail_all=True)
        self.schedule(5_000, 30_000, lambda: setattr(worker, "behaviour", WorkerBehaviour()))

    def delay_worker_responses(self) -> None:
        worker = self.site.workers[self.random.choice(sorted(self.site.workers))]
        worker.command_delay_ms = self.random.choice([300, 900, 3_000])
        self.schedule(5_000, 30_000, lambda: setattr(worker, "command_delay_ms", 0))

    def add_foreign_load(self) -> None:
        worker = self.site.workers[self.random.choice(sorted(self.site.workers))]
        worker.set_foreign_use(Resources(self.random.randint(1, 8)))
        self.schedule(5_000, 30_000, lambda: worker.set_foreign_use(Resources(0)))

    def start_platform_outage(self) -> None:
        self.site.network.is_platform_down = True
        self.schedule(1_000, 30_000, lambda: setattr(self.site.network, "is_platform_down", False))

    def lose_platform_responses(self) -> None:
        self.site.network.response_loss_rate = self.random.random() / 2
        self.schedule(1_000, 15_000, lambda: setattr(self.site.network, "response_loss_rate", 0.0))

    def delay_platform(self) -> None:
        self.site.network.platform_delay_ms = self.random.randint(100, 1_900)
        self.schedule(1_000, 15_000, lambda: setattr(self.site.network, "platform_delay_ms", 0))

    def schedule(self, min_delay_ms: int, max_delay_ms: int, action: Callable[[], object]) -> None:
        delay_ms = self.random.randint(min_delay_ms, max_delay_ms)
        self.site.time.callLater(delay_ms / 1_000, action)
