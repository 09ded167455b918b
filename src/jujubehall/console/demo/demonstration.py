"""Exercises a running site through its entry hosts and checks every answer."""

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
from jujubehall.console.request_sender import send_with_retries
from jujubehall.console.site_client import SiteClient
from jujubehall.console.team_view import TEAM_HEADERS
from jujubehall.console.team_view import build_team_view
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

    from jujubehall.callers.messages import JobSubmission
    from jujubehall.console.demo.inputs import DemoInputs
    from jujubehall.core.requests.request import Answer
    from jujubehall.core.requests.request import Request
    from jujubehall.testing.local_site import LocalSite

    class Display(Protocol):
        """Output of the demonstration."""

        def show_text(self, text: str) -> None: ...

        def show_table(self, headers: list[str], rows: Iterable[Iterable[object]]) -> int: ...


REQUEST_RETRY_TIMEOUT_MS = 15_000
JOB_TIMEOUT_MS = 60_000
CONFIGURATION_PROPAGATION_TIMEOUT_MS = 10_000
AUTHOR = "demo"


class Demonstration:
    """Runs the demonstration on a started site; each step prints its results and checks them."""

    def __init__(self, site: LocalSite, inputs: DemoInputs, display: Display) -> None:
        self._site = site
        self._inputs = inputs
        self._display = display
        self._expectations = Expectations()
        self._clients = [SiteClient([site.base_url(name)]) for name in site.entry_hosts]

    @property
    def expectations(self) -> Expectations:
        """The expectations checked so far."""
        return self._expectations

    def run(self) -> None:
        """Runs all steps except the stop of the site."""
        self._show_entry_hosts()
        self._site.wait_until_workers_known()
        self._create_teams()
        self._send_requests()
        self._run_jobs()
        self._show_audit_trail()

    def stop(self) -> None:
        """Sends SIGTERM to each process, entry hosts first, and checks the exit codes."""
        self._display.show_text("Stopping the processes with SIGTERM")
        codes = [(name, self._site.stop(name)) for name in self._site.running_processes]
        self._display.show_table(["Process", "Exit code"], codes)
        for name, code in codes:
            self._expect(f"{name} stops gracefully", code == 0, f"exit code {code}")

    def _show_entry_hosts(self) -> None:
        ownership = self._clients[0].get("read ownership", "/v1/ownership", OwnershipView).unwrap()
        rows = [
            (host.member.name, host.member.zone, ", ".join(host.zones), host.request_shards)
            for host in ownership.entry_hosts
        ]
        self._display.show_text("Entry hosts with the zones and request shards that they own")
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
            result = self._clients[0].call("create team", "POST", "/v1/teams", Configuration, body)
            self._expect_success(f"team {team.name} is created", result)
        number = self._configuration(self._clients[0]).number
        self._expect(
            "every entry host has the configuration with the teams",
            self._wait_for_configuration(number),
            f"configuration number {number}",
        )
        self._display.show_text("Teams, as read from the last entry host")
        teams = self._configuration(self._clients[-1]).teams
        self._display.show_table(TEAM_HEADERS, [build_team_view(team, []).row for team in teams])

    def _wait_for_configuration(self, number: int) -> bool:
        def is_current_everywhere() -> bool:
            return all(self._configuration(client).number >= number for client in self._clients)

        try:
            wait_until(
                is_current_everywhere,
                "every entry host has the configuration",
                CONFIGURATION_PROPAGATION_TIMEOUT_MS,
            )
        except TimeoutError:
            return False
        return True

    def _send_requests(self) -> None:
        sent = [
            (name, request, self._send(client, request))
            for request, (name, client) in zip(
                self._inputs.requests, self._round_robin(), strict=False
            )
        ]
        to_resend = next((item for item in sent if not item[1].idempotent), None)
        if to_resend is not None:
            sent.append(self._resend(*to_resend))
        rows = [(name, *_answer_row(answer)) for name, _, answer in sent if answer]
        self._display.show_text("Requests, sent to the entry hosts in turn")
        self._display.show_table(["Through", *ANSWER_HEADERS], rows)
        for name, request, answer in sent:
            outcome = answer.outcome.value if answer else "no answer"
            completed = outcome == Outcome.COMPLETED.value
            self._expect(f"{request.id} completes through {name}", completed, outcome)
        run_counts = self._run_counts()
        for request in self._inputs.requests:
            if not request.idempotent:
                count = run_counts[request.id]
                self._expect(
                    f"{request.id} ran exactly once at the endpoints", count == 1, f"{count} runs"
                )

    def _resend(
        self, name: str, request: Request, answer: Answer | None
    ) -> tuple[str, Request, Answer | None]:
        other_name = self._site.entry_hosts[-1]
        if other_name == name and len(self._clients) > 1:
            other_name = self._site.entry_hosts[0]
        repeated = self._send(SiteClient([self._site.base_url(other_name)]), request)
        self._expect(
            f"{request.id}, sent again through {other_name}, gets the same answer",
            repeated == answer,
        )
        return other_name, request, repeated

    def _send(self, client: SiteClient, request: Request) -> Answer | None:
        result = send_with_retries(client, request, REQUEST_RETRY_TIMEOUT_MS)
        if isinstance(result, Err):
            self._expect(f"{request.id} is answered", False, result.err_value.message)
            return None
        return result.ok_value

    def _run_counts(self) -> Counter[str]:
        """Returns how often each request ran, as counted by the stand-ins of the endpoints."""
        run_counts: Counter[str] = Counter()
        with httpx.Client(trust_env=False, verify=False) as http_client:
            for host in self._site.site.endpoint_hosts():
                run_counts.update(http_client.get(f"{host.address}/test/runs").json()["runs"])
        return run_counts

    def _run_jobs(self) -> None:
        accepted: list[JobRecord] = []
        for submission, (name, client) in zip(self._inputs.jobs, self._round_robin(), strict=False):
            result = client.call("submit job", "POST", "/v1/jobs", JobRecord, submission)
            self._expect_success(f"{_job_name(submission)} is accepted by {name}", result)
            if not isinstance(result, Err):
                accepted.append(result.ok_value)
        self._display.show_text("Job state changes")
        ended = [self._wait_for_job(record) for record in accepted]
        self._display.show_text("Final states of the jobs")
        self._display.show_table(JOB_HEADERS, job_rows(ended))
        for record in ended:
            self._check_job(record)

    def _wait_for_job(self, record: JobRecord) -> JobRecord:
        result = wait_for_job(self._clients[-1], record.id, JOB_TIMEOUT_MS, self._report)
        return record if isinstance(result, Err) else result.ok_value

    def _report(self, record: JobRecord) -> None:
        self._display.show_text(f"  {record.id}: {record.state.value}")

    def _check_job(self, record: JobRecord) -> None:
        succeeded = record.state is JobState.SUCCEEDED
        self._expect(f"{record.id} succeeds", succeeded, record.reason or record.state.value)
        parts = len(record.placement)
        self._expect(
            f"{record.id} ran with all its parts",
            parts == record.spec.parts,
            f"{parts} parts placed",
        )
        if record.spec.adjacent:
            racks = {host.name: host.rack for host in self._site.site.worker_hosts()}
            used_racks = sorted({racks[part.worker] for part in record.placement})
            self._expect(
                f"{record.id} ran in one rack", len(used_racks) == 1, ", ".join(used_racks)
            )

    def _show_audit_trail(self) -> None:
        audit = self._configuration(self._clients[-1]).audit
        self._display.show_text("Audit trail")
        self._display.show_table(AUDIT_HEADERS, audit_rows(audit))
        recorded_paths = [entry.path for entry in audit]
        for team in self._inputs.teams:
            path = f"teams.{team.name}"
            self._expect(f"the audit trail contains {path}", path in recorded_paths)

    def _configuration(self, client: SiteClient) -> Configuration:
        result = client.get("read configuration", "/v1/configuration", Configuration)
        return result.unwrap()  # type: ignore[no-any-return]

    def _round_robin(self) -> Iterator[tuple[str, SiteClient]]:
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


def _job_name(submission: JobSubmission) -> str:
    return submission.id or msgspec.json.encode(submission.spec).decode()
