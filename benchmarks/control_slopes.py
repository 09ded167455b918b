"""Measures memory, CPU time and bytes of the control plane at several sizes, with their slopes.

Run it with ``python -m benchmarks.control_slopes``. Each figure comes from a fresh interpreter or
is the median of repeated calls. Only compare figures of the same run.
"""

from __future__ import annotations

import gc
import time
import tracemalloc

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from jujubehall.core.configuration.change import ChangeAuthor
from jujubehall.core.configuration.change import add_exception
from jujubehall.core.configuration.change import put_team
from jujubehall.core.configuration.document import Configuration
from jujubehall.core.configuration.document import Shape
from jujubehall.core.configuration.document import Team
from jujubehall.core.jobs.job import JOBS_PREFIX
from jujubehall.core.jobs.job import JobRecord
from jujubehall.core.jobs.job import JobSpec
from jujubehall.core.jobs.job import JobState
from jujubehall.core.jobs.job import PartPlacement
from jujubehall.core.ownership.assignment import next_record
from jujubehall.core.ownership.record import EMPTY_RECORD
from jujubehall.core.ownership.record import Member
from jujubehall.core.ownership.scopes import all_scopes
from jujubehall.entry_hosts.messages import Envelope
from jujubehall.entry_hosts.messages import Heartbeat
from jujubehall.identifiers import EntryHostName
from jujubehall.identifiers import Epoch
from jujubehall.identifiers import Incarnation
from jujubehall.identifiers import JobId
from jujubehall.identifiers import TeamName
from jujubehall.identifiers import Version
from jujubehall.identifiers import WorkerName
from jujubehall.identifiers import ZoneName
from jujubehall.platform.entry import Entry
from jujubehall.services.state_cache import StateCache

if TYPE_CHECKING:
    from collections.abc import Callable

JOB_COUNTS = (500, 1_000, 2_000, 4_000)
PARTS_PER_JOB = 4
MEMBER_COUNTS = (8, 16, 32, 64)
TEAM_COUNTS = (4, 65, 130, 260)
REPEATS = 21
ZONES = [ZoneName(f"zone-{number}") for number in range(8)]


def main() -> None:
    """Prints the figures at each size and their slopes over the range of sizes."""
    print("state cache: jobs, KB held, us to apply one, us to read all when unchanged, bytes each")
    _print_table([(jobs, *_measure_state_cache(jobs)) for jobs in JOB_COUNTS])
    print("ownership record: members, bytes, us to recompute, us to decode")
    _print_table([(members, *_measure_ownership(members)) for members in MEMBER_COUNTS])
    print("heartbeats: members, bytes/s sent and received by a host, us/s to encode and decode")
    _print_table([(members, *_measure_heartbeats(members)) for members in MEMBER_COUNTS])
    print("configuration: teams, bytes of the value, us to decode, us for a change, KB held")
    _print_table([(teams, *_measure_configuration(teams)) for teams in TEAM_COUNTS])


def _print_table(rows: list[tuple[float, ...]]) -> None:
    for row in rows:
        print("  " + "  ".join(f"{value:10.1f}" for value in row))
    first, last = rows[0], rows[-1]
    span = last[0] - first[0]
    slopes = [(end - begin) / span for begin, end in zip(first[1:], last[1:], strict=True)]
    print("  slope each " + "  ".join(f"{slope:10.3f}" for slope in slopes))


def _measure_state_cache(jobs: int) -> tuple[float, ...]:
    entries = [_job_entry(number) for number in range(jobs)]
    encoded = [msgspec.json.encode(entry.value) for entry in entries]
    cache = StateCache(None, None, None)  # type: ignore[arg-type]
    gc.collect()
    tracemalloc.start()
    for encoded_value, entry in zip(encoded, entries, strict=True):
        cache.apply(Entry(str(entry.key), msgspec.json.decode(encoded_value), entry.version))
    cache.read_all(JOBS_PREFIX, JobRecord)
    held_kb = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    versions = iter(range(jobs + 1, jobs + 10 * REPEATS))

    def apply_one() -> None:
        entry = msgspec.structs.replace(entries[0], version=Version(next(versions)))
        cache.apply(entry)
        cache.read_all(JOBS_PREFIX, JobRecord)

    apply_us = _median_us(apply_one)
    read_us = _median_us(lambda: cache.read_all(JOBS_PREFIX, JobRecord))
    return held_kb, apply_us, read_us, sum(map(len, encoded)) / jobs


def _job_entry(number: int) -> Entry:
    spec = JobSpec(
        TeamName(f"team-{number % 260}"), "render", PARTS_PER_JOB, 8, command="run:3600000"
    )
    placement = tuple(
        PartPlacement(n, WorkerName(f"worker-{number + n}")) for n in range(PARTS_PER_JOB)
    )
    record = JobRecord(
        JobId(f"job-{number:016x}"),
        spec,
        JobState.RUNNING,
        ZONES[number % len(ZONES)],
        1_700_000_000_000,
        1,
        Epoch(12),
        placement,
    )
    return Entry(JOBS_PREFIX + record.id, msgspec.to_builtins(record), Version(number + 1))


def _member(number: int) -> Member:
    name = EntryHostName(f"entry-{number:02d}")
    address = f"10.0.0.{number}"
    return Member(
        name,
        Incarnation(f"{number:016x}"),
        ZONES[number % len(ZONES)],
        f"http://{address}:8080",
        f"tcp://{address}:8081",
    )


def _measure_ownership(members: int) -> tuple[float, ...]:
    group = [_member(number) for number in range(members)]
    scopes = all_scopes(ZONES)
    record = next_record(EMPTY_RECORD, group, scopes)
    encoded_value = msgspec.json.encode(record)
    recompute = _median_us(lambda: next_record(EMPTY_RECORD, group, scopes))
    decode = _median_us(lambda: msgspec.json.decode(encoded_value, type=type(EMPTY_RECORD)))
    return len(encoded_value), recompute, decode


def _measure_heartbeats(members: int) -> tuple[float, ...]:
    heartbeat = Heartbeat(Epoch(1_000), Version(1_000_000), True)
    envelope = Envelope(100_000, EntryHostName("entry-00"), Incarnation("0" * 16), heartbeat)
    encoded_value = msgspec.msgpack.encode(envelope)

    def exchange() -> None:
        msgspec.msgpack.decode(msgspec.msgpack.encode(envelope), type=Envelope)

    # Each pair of hosts exchanges one heartbeat and one response per second, and each host handles
    # both.
    messages = 2 * (members - 1)
    return messages * len(encoded_value), messages * _median_us(exchange) / 2


def _measure_configuration(teams: int) -> tuple[float, ...]:
    author = ChangeAuthor("operator", "a reason of the usual length for a change", "token", 0)
    configuration = Configuration()
    for number in range(teams):
        team = Team(TeamName(f"team-{number}"), Shape(2, 8), 64, {ZONES[0]: 1, ZONES[1]: 1})
        configuration = put_team(configuration, author, team).unwrap()
        configuration = msgspec.structs.replace(configuration, audit=configuration.audit[-40:])
    for number in range(teams // 10):
        scope = f"endpoint/booking-{number}"
        configuration = add_exception(
            configuration, author, scope, "endpoint_slots", 4, author.reason
        ).unwrap()
        configuration = msgspec.structs.replace(configuration, audit=configuration.audit[-40:])
    encoded_value = msgspec.json.encode(configuration)
    team = Team(TeamName("team-0"), Shape(3, 8), 64)
    decode = _median_us(lambda: msgspec.json.decode(encoded_value, type=Configuration))
    change = _median_us(lambda: put_team(configuration, author, team))
    tracemalloc.start()
    decoded: Any = msgspec.json.decode(encoded_value, type=Configuration)
    held_kb = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    assert decoded.number == configuration.number
    return len(encoded_value), decode, change, held_kb


def _median_us(function: Callable[[], object]) -> float:
    durations_ns = []
    for _ in range(REPEATS):
        started_ns = time.perf_counter_ns()
        function()
        durations_ns.append(time.perf_counter_ns() - started_ns)
    return sorted(durations_ns)[REPEATS // 2] / 1_000


if __name__ == "__main__":
    main()
