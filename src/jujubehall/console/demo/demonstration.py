"""Drives a running site through its entry hosts and checks every answer."""

from __future__ import annotations

import uuid

from collections import Counter
from typing import TYPE_CHECKING
from typing import Any

import httpx
import msgspec

from result import Err

from jujubehall.console.audit_table import AUDIT_HEADERS
from jujubehall.console.audit_table import audit_rows
from jujubehall.console.commands.request_send import ANSWER_HEADERS
from jujubehall.console.demo.expectations import Expectations
from jujubehall.console.job_table import JOB_HEADERS
from jujubehall.console.job_table import job_rows
from jujubehall.console.job_waiter import wait_for_job
from jujubehall.console.request_sender import send_until_run
from jujubehall.console.site_client import SiteClient
from jujubehall.console.team_view import TEAM_HEADERS
from jujubehall.console.team_view import team_view
from jujubehall.core.configuration.document import Configuration
from jujubehall.core.jobs.job import JobRecord
from jujubehall.core.jobs.job import JobState
from jujubehall.core.requests.request import Outcome
from jujubehall.operators.messages import OwnershipView
from jujubehall.operators.messages import PutTeamBody
from jujubehall.testing.local_site import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from typing import Protocol

    from jujubehall.callers.messages import Submission
    from jujubehall.console.demo.inputs import DemoInputs
    from jujubehall.core.requests.request import Answer
    from jujubehall.core.requests.request import Request
    from jujubehall.testing.local_site import LocalSite

    class Display(Protocol):
        """Where the demonstration shows what it sees."""

        def say(self, text: str) -> None: ...

        def show_table(self, headers: list[str], rows: Iterable[Iterable[object]]) -> int: ...


PATIENCE_MS = 15_000
JOB_TIMEOUT_MS = 60_000
IN_FORCE_TIMEOUT_MS = 10_000
AUTHOR = "demo"


class Demonstration:
    """One run over a started site; each step shows what it sees and checks it."""

    def __init__(self, site: LocalSite, inputs: DemoInputs, display: Display) -> None:
        self._site = site
        self._inputs = inputs
        self._display = display
        self._expectations = Expectations()
        self._clients = [SiteClient([site.address(name)]) for name in site.entry_hosts]

    @property
    def expectations(self) -> Expectations:
        """What was checked so far."""
        return self._expectations

    def run(self) -> None:
        """Takes every step but the stop."""
        self._show_entry_hosts()
        self._site.wait_until_published()
        self._create_teams()
        self._send_requests()
        self._run_jobs()
        self._show_audit_trail()

    def stop(self) -> None:
        """Stops every process by SIGTERM, the entry hosts first, and shows the exit codes."""
        self._display.say("Stopping: SIGTERM to each process")
        codes = [(name, self._site.stop(name)) for name in self._site.running]
        self._display.show_table(["Process", "Exit code"], codes)
        for name, code in codes:
            self._expect(f"{name} stops gracefully", code == 0, f"exit code {code}")

    def _show_entry_hosts(self) -> None:
        found = self._clients[0].get("read ownership", "/v1/ownership", OwnershipView).unwrap()
        rows = [
            (each.member.name, each.member.zone, ", ".join(each.zones), each.request_shards)
            for each in found.entry_hosts
        ]
        self._display.say("Entry hosts and what they own")
        self._display.show_table(["Entry host", "Zone", "Owns zones", "Request shards"], rows)
        self._expect(
            "every entry host is in the ownership record",
            len(rows) == len(self._clients),
            f"{len(rows)} of {len(self._clients)}",
        )

    def _create_teams(self) -> None:
        for team in self._inputs.teams:
            current = self._configuration(self._clients[0])
            body = PutTeamBody(
                expected_number=current.number,
                author=AUTHOR,
                reason=f"guarantee of {team.name} for the demonstration",
                token=uuid.uuid4().hex,
                team=team,
            )
            created = self._clients[0].call("create team", "POST", "/v1/teams", Configuration, body)
            self._expect_success(f"team {team.name} is created", created)
        number = self._configuration(self._clients[0]).number
        self._expect(
            "the teams are in force at every entry host",
            self._comes_into_force(number),
            f"configuration number {number}",
        )
        self._display.say("Teams, read at the last entry host")
        teams = self._configuration(self._clients[-1]).teams
        self._display.show_table(TEAM_HEADERS, [team_view(team, []).row for team in teams])

    def _comes_into_force(self, number: int) -> bool:
        def is_in_force() -> bool:
            return all(self._configuration(each).number >= number for each in self._clients)

        try:
            wait_until(is_in_force, "the configuration is in force", IN_FORCE_TIMEOUT_MS)
        except TimeoutError:
            return False
        return True

    def _send_requests(self) -> None:
        sent = [
            (name, request, self._send(client, request))
            for request, (name, client) in zip(self._inputs.requests, self._turns(), strict=False)
        ]
        first = next((item for item in sent if not item[1].idempotent), None)
        if first is not None:
            sent.append(self._repeat(*first))
        rows = [(name, *_answer_row(answer)) for name, _, answer in sent if answer]
        self._display.say("Requests, each through the next entry host")
        self._display.show_table(["Through", *ANSWER_HEADERS], rows)
        for name, request, answer in sent:
            outcome = answer.outcome.value if answer else "no answer"
            completed = outcome == Outcome.COMPLETED.value
            self._expect(f"{request.id} completes through {name}", completed, outcome)
        runs = self._runs()
        for request in self._inputs.requests:
            if not request.idempotent:
                count = runs[request.id]
                self._expect(f"{request.id} ran once at the endpoints", count == 1, f"{count} runs")

    def _repeat(
        self, name: str, request: Request, answer: Answer | None
    ) -> tuple[str, Request, Answer | None]:
        other = self._site.entry_hosts[-1]
        if other == name and len(self._clients) > 1:
            other = self._site.entry_hosts[0]
        again = self._send(SiteClient([self._site.address(other)]), request)
        self._expect(
            f"{request.id}, repeated through {other}, gets the same answer", again == answer
        )
        return other, request, again

    def _send(self, client: SiteClient, request: Request) -> Answer | None:
        answered = send_until_run(client, request, PATIENCE_MS)
        if isinstance(answered, Err):
            self._expect(f"{request.id} is answered", False, answered.err_value.message)
            return None
        return answered.ok_value

    def _runs(self) -> Counter[str]:
        """How often each request ran, as the endpoints' stand-ins count it."""
        runs: Counter[str] = Counter()
        with httpx.Client(trust_env=False, verify=False) as endpoints:
            for host in self._site.site.endpoint_hosts():
                runs.update(endpoints.get(f"{host.address}/test/runs").json()["runs"])
        return runs

    def _run_jobs(self) -> None:
        accepted: list[JobRecord] = []
        for submission, (name, client) in zip(self._inputs.jobs, self._turns(), strict=False):
            submitted = client.call("submit job", "POST", "/v1/jobs", JobRecord, submission)
            self._expect_success(f"{_job_name(submission)} is accepted by {name}", submitted)
            if not isinstance(submitted, Err):
                accepted.append(submitted.ok_value)
        self._display.say("Jobs, as they go")
        ended = [self._wait(record) for record in accepted]
        self._display.say("Jobs, as they ended")
        self._display.show_table(JOB_HEADERS, job_rows(ended))
        for record in ended:
            self._check_job(record)

    def _wait(self, record: JobRecord) -> JobRecord:
        waited = wait_for_job(self._clients[-1], record.id, JOB_TIMEOUT_MS, self._report)
        return record if isinstance(waited, Err) else waited.ok_value

    def _report(self, record: JobRecord) -> None:
        self._display.say(f"  {record.id}: {record.state.value}")

    def _check_job(self, record: JobRecord) -> None:
        succeeded = record.state is JobState.SUCCEEDED
        self._expect(f"{record.id} succeeds", succeeded, record.reason or record.state.value)
        parts = len(record.placement)
        self._expect(f"{record.id} ran whole", parts == record.spec.parts, f"{parts} parts placed")
        if record.spec.adjacent:
            racks = {host.name: host.rack for host in self._site.site.worker_hosts()}
            used = sorted({racks[part.worker] for part in record.placement})
            self._expect(f"{record.id} ran in one rack", len(used) == 1, ", ".join(used))

    def _show_audit_trail(self) -> None:
        audit = self._configuration(self._clients[-1]).audit
        self._display.say("Audit trail")
        self._display.show_table(AUDIT_HEADERS, audit_rows(audit))
        recorded = [entry.path for entry in audit]
        for team in self._inputs.teams:
            path = f"teams.{team.name}"
            self._expect(f"the audit trail has {path}", path in recorded)

    def _configuration(self, client: SiteClient) -> Configuration:
        found = client.get("read configuration", "/v1/configuration", Configuration)
        return found.unwrap()  # type: ignore[no-any-return]

    def _turns(self) -> Iterator[tuple[str, SiteClient]]:
        while True:
            yield from zip(self._site.entry_hosts, self._clients, strict=True)

    def _expect(self, what: str, held: bool, seen: str = "") -> None:
        self._expectations.expect(what, held, seen)

    def _expect_success(self, what: str, result: Any) -> None:
        failed = isinstance(result, Err)
        self._expectations.expect(what, not failed, result.err_value.message if failed else "")


def _answer_row(answer: Answer) -> tuple[object, ...]:
    outcome = answer.outcome.value
    return (answer.id, outcome, answer.result, answer.reason, answer.step, answer.peer)


def _job_name(submission: Submission) -> str:
    return submission.id or msgspec.json.encode(submission.spec).decode()
