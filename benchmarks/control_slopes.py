"""Memory, processor time and bytes of the control part at several sizes, with their slopes.

Run as ``python -m benchmarks.control_slopes``. Each figure comes from a fresh interpreter or from
the median of repeated calls; compare figures of one run only.
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

JOBS = (500, 1_000, 2_000, 4_000)
PARTS = 4
MEMBERS = (8, 16, 32, 64)
TEAMS = (4, 65, 130, 260)
REPEATS = 21
ZONES = [ZoneName(f"zone-{number}") for number in range(8)]


def main() -> None:
    """Prints the figures and the slope over the range of sizes."""
    print("state cache: jobs, KB held, us to apply one, us to read all when unchanged, bytes each")
    _table([(jobs, *_state_cache(jobs)) for jobs in JOBS])
    print("ownership record: members, bytes, us to recompute, us to decode")
    _table([(members, *_ownership(members)) for members in MEMBERS])
    print("heartbeats: members, bytes/s sent and received by a host, us/s to encode and decode")
    _table([(members, *_heartbeats(members)) for members in MEMBERS])
    print("configuration: teams, bytes of the value, us to decode, us for a change, KB held")
    _table([(teams, *_configuration(teams)) for teams in TEAMS])


def _table(rows: list[tuple[float, ...]]) -> None:
    for row in rows:
        print("  " + "  ".join(f"{value:10.1f}" for value in row))
    first, last = rows[0], rows[-1]
    span = last[0] - first[0]
    slopes = [(end - begin) / span for begin, end in zip(first[1:], last[1:], strict=True)]
    print("  slope each " + "  ".join(f"{slope:10.3f}" for slope in slopes))


def _state_cache(jobs: int) -> tuple[float, ...]:
    entries = [_job_entry(number) for number in range(jobs)]
    encoded = [msgspec.json.encode(entry.value) for entry in entries]
    cache = StateCache(None, None, None)  # type: ignore[arg-type]
    gc.collect()
    tracemalloc.start()
    for content, entry in zip(encoded, entries, strict=True):
        cache.apply(Entry(str(entry.key), msgspec.json.decode(content), entry.version))
    cache.read_all(JOBS_PREFIX, JobRecord)
    held = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    versions = iter(range(jobs + 1, jobs + 10 * REPEATS))

    def apply_one() -> None:
        entry = msgspec.structs.replace(entries[0], version=Version(next(versions)))
        cache.apply(entry)
        cache.read_all(JOBS_PREFIX, JobRecord)

    applied = _median_us(apply_one)
    read = _median_us(lambda: cache.read_all(JOBS_PREFIX, JobRecord))
    return held, applied, read, sum(map(len, encoded)) / jobs


def _job_entry(number: int) -> Entry:
    spec = JobSpec(TeamName(f"team-{number % 260}"), "render", PARTS, 8, command="run:3600000")
    placement = tuple(PartPlacement(n, WorkerName(f"worker-{number + n}")) for n in range(PARTS))
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


def _ownership(members: int) -> tuple[float, ...]:
    group = [_member(number) for number in range(members)]
    scopes = all_scopes(ZONES)
    record = next_record(EMPTY_RECORD, group, scopes)
    content = msgspec.json.encode(record)
    recompute = _median_us(lambda: next_record(EMPTY_RECORD, group, scopes))
    decode = _median_us(lambda: msgspec.json.decode(content, type=type(EMPTY_RECORD)))
    return len(content), recompute, decode


def _heartbeats(members: int) -> tuple[float, ...]:
    heartbeat = Heartbeat(Epoch(1_000), Version(1_000_000), True)
    envelope = Envelope(100_000, EntryHostName("entry-00"), Incarnation("0" * 16), heartbeat)
    content = msgspec.msgpack.encode(envelope)

    def exchange() -> None:
        msgspec.msgpack.decode(msgspec.msgpack.encode(envelope), type=Envelope)

    # Each two hosts exchange a question and an answer a second; each host handles both.
    messages = 2 * (members - 1)
    return messages * len(content), messages * _median_us(exchange) / 2


def _configuration(teams: int) -> tuple[float, ...]:
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
    content = msgspec.json.encode(configuration)
    team = Team(TeamName("team-0"), Shape(3, 8), 64)
    decode = _median_us(lambda: msgspec.json.decode(content, type=Configuration))
    change = _median_us(lambda: put_team(configuration, author, team))
    tracemalloc.start()
    kept: Any = msgspec.json.decode(content, type=Configuration)
    held = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    assert kept.number == configuration.number
    return len(content), decode, change, held


def _median_us(function: Callable[[], object]) -> float:
    times = []
    for _ in range(REPEATS):
        begun_ns = time.perf_counter_ns()
        function()
        times.append(time.perf_counter_ns() - begun_ns)
    return sorted(times)[REPEATS // 2] / 1_000


if __name__ == "__main__":
    main()
