"""The history of a job, built from the logs of several entry hosts."""

from __future__ import annotations

import json

from typing import TYPE_CHECKING
from typing import Any

from cleo.testers.application_tester import ApplicationTester

from jujubehall.console.application import make_application
from jujubehall.console.exit_codes import ExitCode
from jujubehall.console.job_history import job_history
from jujubehall.console.job_history import read_events

if TYPE_CHECKING:
    from pathlib import Path

JOB = "00000000000000a1"


def log_line(second: int, host: str, event: str, **fields: Any) -> str:
    timestamp = f"2026-12-03T10:00:{second:02}.000000Z"
    return json.dumps({"event": event, "timestamp": timestamp, "entry_host": host, **fields})


OWNER_LOG_LINES = [
    log_line(2, "b", "job known", job=JOB, queue="q"),
    log_line(3, "b", "group starts", job=JOB, group="0.0", run=1, workers=["w1"], waited_ms=12),
    log_line(4, "b", "group stops", job=JOB, group="0.0", run=1, reason="preempted", by="f0"),
    log_line(4, "b", "job known", job="another", queue="q"),
    log_line(5, "b", "ownership lost", token=7, reason="the lease has ended"),
    log_line(5, "b", "zone evacuated", zone="lagos-island", runs=1),
    log_line(6, "b", "run ended", job=JOB, task="(0, 0, 0)", run=1, worker="w1", how="stopped"),
    log_line(9, "b", "store lost", failures=2),
]
RECEIVING_HOST_LOG_LINES = [
    "not a log line",
    "{broken",
    '   1.0 a {"event": "elsewhere"}',
    "   1.0 a "
    + log_line(
        1, "a", "job submitted", job=JOB, queue="q", team="t", outcome="accepted", took_ms=6
    ),
]


def test_history_merges_logs_of_several_hosts_and_site_events() -> None:
    history = job_history(read_events([*OWNER_LOG_LINES, *RECEIVING_HOST_LOG_LINES]), JOB)
    texts = [entry.text for entry in history]
    assert texts[0].startswith("submitted to queue q by team t: accepted after 6 ms")
    assert texts[2] == "group 0.0 starts as run 1 on w1, 12 ms after it became ready"
    assert texts[3] == "group 0.0, run 1, is stopped: preempted for job f0"
    assert texts[4] == "ownership lost token=7 reason=the lease has ended"
    assert texts[5] == "zone evacuated zone=lagos-island runs=1"
    assert texts[6] == "task (0, 0, 0), run 1, ended on w1: stopped"
    assert len(texts) == 7


def test_history_shows_the_crashes_after_which_a_job_was_given_up() -> None:
    lost = log_line(
        7,
        "b",
        "runs lost with worker",
        worker="w1",
        how="restarted",
        up_ms=9_000,
        runs=[["another", "(0, 0, 0)", 1], [JOB, "(0, 0, 0)", 2]],
        at_work_ms=[4_000, 8],
    )
    given_up = log_line(
        8,
        "b",
        "job given up",
        job=JOB,
        reason="workers crashed under it",
        crashes={"0.0.0": ["run 1 w0 shared", "run 2 w1 sole"]},
    )
    history = job_history(read_events([*OWNER_LOG_LINES, lost, given_up]), JOB)
    runs = f"another (0, 0, 0) run 1 after 4000 ms, {JOB} (0, 0, 0) run 2 after 8 ms"
    crashes = "group 0.0.0: run 1 w0 shared, run 2 w1 sole"
    assert [entry.text for entry in history[-2:]] == [
        f"worker w1 is lost (restarted, up for 9000 ms) with: {runs}",
        f"given up, since workers crashed under it ({crashes})",
    ]
    assert job_history(read_events([lost]), "unknown") == []


def test_job_without_log_lines_has_no_history() -> None:
    assert job_history(read_events(OWNER_LOG_LINES), "unknown") == []


def test_job_explain_reads_log_files(tmp_path: Path) -> None:
    log = tmp_path / "host.log"
    log.write_text("\n".join(OWNER_LOG_LINES))
    tester = ApplicationTester(make_application())
    assert tester.execute(f"job explain {JOB} {log}") == ExitCode.SUCCESS
    assert "is stopped: preempted" in tester.io.fetch_output()
    assert tester.execute(f"job explain unknown {log}") == ExitCode.NOT_FOUND
    assert tester.execute(f"job explain {JOB} {tmp_path / 'none.log'}") == ExitCode.INVALID
