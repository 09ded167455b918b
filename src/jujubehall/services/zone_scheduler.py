"""Places and follows the jobs of the availability zones that this entry host owns."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog

from result import Err
from result import Ok

from jujubehall.core.jobs.job import JOBS_PREFIX
from jujubehall.core.jobs.job import JobRecord
from jujubehall.core.jobs.job import JobState
from jujubehall.core.jobs.job import job_key
from jujubehall.core.jobs.placement import FreeSpace
from jujubehall.core.jobs.placement import place_gang
from jujubehall.core.ownership.scopes import zone_scope
from jujubehall.identifiers import ZoneName
from jujubehall.services.timing import sleep
from jujubehall.workers.messages import Fence
from jujubehall.workers.messages import Renew
from jujubehall.workers.messages import Reserve
from jujubehall.workers.messages import Resources
from jujubehall.workers.messages import StartTask
from jujubehall.workers.messages import StopTask
from jujubehall.workers.messages import TaskKey
from jujubehall.workers.messages import TaskState

if TYPE_CHECKING:
    from jujubehall.clock import Reactor
    from jujubehall.identifiers import Epoch
    from jujubehall.identifiers import JobId
    from jujubehall.identifiers import Version
    from jujubehall.identifiers import WorkerName
    from jujubehall.services.host_list import HostList
    from jujubehall.services.membership import Membership
    from jujubehall.services.state_cache import StateCache
    from jujubehall.workers.interface import Workers
    from jujubehall.workers.messages import Inventory

TICK_INTERVAL_MS = 200
TASK_LEASE_MS = 10_000
MAX_ATTEMPTS = 3
_HOLDING = (TaskState.RESERVED, TaskState.RUNNING, TaskState.CHECKPOINTED)

log = structlog.get_logger()


class ZoneScheduler:
    """The loop of one entry host over all zones; it acts only in those that it owns."""

    def __init__(
        self,
        reactor: Reactor,
        cache: StateCache,
        membership: Membership,
        hosts: HostList,
        workers: Workers,
    ) -> None:
        self._reactor = reactor
        self._cache = cache
        self._membership = membership
        self._hosts = hosts
        self._workers = workers
        self._inventories: dict[WorkerName, Inventory] = {}
        self._versions: dict[JobId, Version] = {}
        self._running = True

    def stop(self) -> None:
        """Ends the loop after the present step."""
        self._running = False

    async def run(self) -> None:
        """Schedules until stopped."""
        while self._running:
            for zone in sorted({ZoneName(host.zone) for host in self._hosts.workers}):
                if self._membership.owns(zone_scope(zone)):
                    await self._schedule_zone(zone)
            await sleep(self._reactor, TICK_INTERVAL_MS)

    async def _schedule_zone(self, zone: ZoneName) -> None:
        epoch = self._membership.record.owned_since[zone_scope(zone)]
        await self._renew(zone, epoch)
        jobs: list[JobRecord] = self._cache.read_all(JOBS_PREFIX, JobRecord)
        # Written back with the version that was decided on, lest a cancellation be overwritten.
        self._versions = {job.id: self._cache.version(job_key(job.id)) for job in jobs}
        for job in jobs:
            if job.zone == zone and not job.state.is_final:
                await self._advance(job, epoch)

    async def _renew(self, zone: ZoneName, epoch: Epoch) -> None:
        for host in self._hosts.workers:
            if host.zone != zone:
                continue
            known = self._inventories.get(host.name)  # type: ignore[call-overload]
            if known is None or known.epoch < epoch:
                answered = await self._workers.fence(host.address, Fence(epoch))
            else:
                keys = tuple(task.key for task in known.tasks if task.state in _HOLDING)
                answered = await self._workers.renew(
                    host.address, Renew(epoch, keys, TASK_LEASE_MS)
                )
            if isinstance(answered, Ok):
                self._inventories[answered.ok_value.worker] = answered.ok_value

    async def _advance(self, job: JobRecord, epoch: Epoch) -> None:
        if job.cancel_requested:
            await self._end(job, epoch, JobState.CANCELLED, "cancelled")
        elif job.state is JobState.QUEUED:
            await self._place(job, epoch)
        elif job.state is JobState.RESERVING:
            await self._retry(job, epoch, "the reservation was not completed")
        elif job.state is JobState.RUNNING:
            await self._check(job, epoch)

    async def _place(self, job: JobRecord, epoch: Epoch) -> None:
        placement = place_gang(job.spec, self._free_space(job.zone))
        if placement is None:
            return
        reserving = msgspec.structs.replace(
            job,
            state=JobState.RESERVING,
            attempt=job.attempt + 1,
            epoch=epoch,
            placement=placement,
        )
        if not await self._write(reserving):
            return
        if not await self._reserve_all(reserving, epoch):
            await self._retry(reserving, epoch, "a worker refused the reservation")
            return
        running = msgspec.structs.replace(reserving, state=JobState.RUNNING)
        if await self._write(running):
            await self._start_all(running, epoch)

    async def _reserve_all(self, job: JobRecord, epoch: Epoch) -> bool:
        spec = job.spec
        resources = Resources(
            spec.accelerators_per_part, spec.cores_per_part, spec.memory_gb_per_part
        )
        for part in job.placement:
            key = TaskKey(job.id, job.attempt, part.part)
            command = Reserve(epoch, key, resources, TASK_LEASE_MS)
            answered = await self._workers.reserve(self._address(part.worker), command)
            if isinstance(answered, Err):
                return False
            self._inventories[part.worker] = answered.ok_value
        return True

    async def _start_all(self, job: JobRecord, epoch: Epoch) -> None:
        for part in job.placement:
            key = TaskKey(job.id, job.attempt, part.part)
            command = StartTask(epoch, key, job.spec.command, TASK_LEASE_MS)
            answered = await self._workers.start(self._address(part.worker), command)
            if isinstance(answered, Err):
                await self._retry(job, epoch, str(answered.err_value))
                return
            self._inventories[part.worker] = answered.ok_value

    async def _check(self, job: JobRecord, epoch: Epoch) -> None:
        states = {self._task_state(job, part.part, part.worker) for part in job.placement}
        if states == {TaskState.SUCCEEDED}:
            await self._end(job, epoch, JobState.SUCCEEDED, "")
        elif TaskState.RESERVED in states:
            await self._start_all(job, epoch)
        elif states - {TaskState.SUCCEEDED, TaskState.RUNNING, TaskState.CHECKPOINTED}:
            await self._retry(job, epoch, "a part was lost or failed")

    def _task_state(self, job: JobRecord, part: int, worker: WorkerName) -> TaskState:
        key = TaskKey(job.id, job.attempt, part)
        inventory = self._inventories.get(worker)
        tasks = inventory.tasks if inventory else ()
        return next((task.state for task in tasks if task.key == key), TaskState.LAPSED)

    async def _retry(self, job: JobRecord, epoch: Epoch, reason: str) -> None:
        if job.attempt >= MAX_ATTEMPTS:
            await self._end(job, epoch, JobState.FAILED, reason)
        else:
            await self._end(job, epoch, JobState.QUEUED, reason)

    async def _end(self, job: JobRecord, epoch: Epoch, state: JobState, reason: str) -> None:
        for part in job.placement:
            command = StopTask(epoch, TaskKey(job.id, job.attempt, part.part))
            answered = await self._workers.stop(self._address(part.worker), command)
            if isinstance(answered, Ok):
                self._inventories[part.worker] = answered.ok_value
        ended = msgspec.structs.replace(job, state=state, reason=reason, epoch=epoch)
        if await self._write(ended):
            log.info("job changed", job=job.id, state=state.value, reason=reason)

    async def _write(self, job: JobRecord) -> bool:
        written = await self._cache.put(job_key(job.id), job, self._versions[job.id])
        if isinstance(written, Ok):
            self._versions[job.id] = written.ok_value
        return isinstance(written, Ok)

    def _free_space(self, zone: ZoneName) -> list[FreeSpace]:
        return [
            _free(inventory) for inventory in self._inventories.values() if inventory.zone == zone
        ]

    def _address(self, worker: WorkerName) -> str:
        found = (host.address for host in self._hosts.workers if host.name == worker)
        return next(found, "http://127.0.0.1:1")


def _free(inventory: Inventory) -> FreeSpace:
    held = [task.resources for task in inventory.tasks if task.state in _HOLDING]
    held.append(inventory.foreign)
    have = inventory.capacity
    return FreeSpace(
        inventory.worker,
        inventory.rack,
        have.accelerators - sum(r.accelerators for r in held),
        have.cores - sum(r.cores for r in held),
        have.memory_gb - sum(r.memory_gb for r in held),
    )
