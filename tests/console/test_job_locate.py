"""Tests the command ``job locate`` against responses of an entry host."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpx
import msgspec
import pytest

from cleo.testers.application_tester import ApplicationTester

from jujubehall.console.application import make_application
from jujubehall.console.exit_codes import ExitCode
from jujubehall.core.fleet.placement_preview import JobPreview
from jujubehall.core.fleet.placement_preview import StepPreview
from jujubehall.core.fleet.placement_preview import Verdict
from jujubehall.identifiers import JobId
from jujubehall.identifiers import RackName
from jujubehall.identifiers import WorkerName

if TYPE_CHECKING:
    from pathlib import Path

PREVIEW = JobPreview(
    "renders",
    "studio",
    0,
    "guaranteed",
    3_500,
    2,
    (
        StepPreview(
            0,
            2,
            Verdict.PREEMPTS,
            {WorkerName("w1"): 2},
            (RackName("r1"),),
            {"has no free capacity": 7},
            (JobId("00000000000000aa"),),
        ),
    ),
)


def run(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, response: httpx.Response, options: str = ""
) -> ApplicationTester:
    calls: list[str] = []

    def post(url: str, **_: object) -> httpx.Response:
        calls.append(url)
        return response

    monkeypatch.setattr(httpx, "post", post)
    body = tmp_path / "job.json"
    body.write_text("{}")
    tester = ApplicationTester(make_application())
    tester.execute(f"job locate http://10.1.0.19:9464 site.example/renders/ {body} {options}")
    assert calls == ["http://10.1.0.19:9464/locate/renders/0000000000000000"]
    return tester


def test_text_names_workers_and_reasons(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    response = httpx.Response(200, content=msgspec.json.encode(PREVIEW))
    tester = run(monkeypatch, tmp_path, response)
    shown = tester.io.fetch_output()
    assert tester.status_code == ExitCode.SUCCESS
    for text in ("guaranteed", "w1 x2", "00000000000000aa", "7 workers passed over"):
        assert text in shown


def test_json_is_passed_through(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    response = httpx.Response(200, content=msgspec.json.encode(PREVIEW))
    shown = run(monkeypatch, tmp_path, response, "--json").io.fetch_output()
    assert msgspec.json.decode(shown, type=JobPreview) == PREVIEW


@pytest.mark.parametrize(
    ("status", "headers", "exit_code"),
    [(503, {"Retry-After": "4"}, ExitCode.NOT_RUN), (404, {}, ExitCode.INVALID)],
)
def test_refusal_is_shown_with_the_time_to_return(
    monkeypatch: pytest.MonkeyPatch,
    tmp_path: Path,
    status: int,
    headers: dict[str, str],
    exit_code: ExitCode,
) -> None:
    response = httpx.Response(status, headers=headers, content=b'{"error":"no"}')
    tester = run(monkeypatch, tmp_path, response)
    assert tester.status_code == exit_code
    assert ("4 s" in tester.io.fetch_error()) == bool(headers)
