"""Runs the commands against a site of real processes; checks their exit codes and output."""

from __future__ import annotations

import json
import shlex

from typing import TYPE_CHECKING
from typing import Any

import pytest

from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.buffered_output import BufferedOutput

from jujubehall.console.application import make_application
from jujubehall.console.exit_codes import ExitCode
from jujubehall.console.site_command import ENTRY_HOSTS_ENV_VAR
from jujubehall.testing.local_site import LocalSite
from jujubehall.testing.local_site import find_free_port_block
from jujubehall.testing.site_file import SiteFile
from jujubehall.workers.messages import Resources

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

REASON = "--reason 'a test'"


@pytest.fixture(scope="module")
def site() -> Iterator[LocalSite]:
    site_file = SiteFile(
        zones=("zone-a",),
        entry_hosts=2,
        endpoints=2,
        workers=2,
        workers_per_rack=2,
        worker_capacity=Resources(8, 60, 250),
        first_port=find_free_port_block(),
    )
    with LocalSite(site_file) as site:
        site.wait_until_ready()
        site.wait_until_workers_known()
        yield site


@pytest.fixture(autouse=True)
def environment(site: LocalSite, monkeypatch: pytest.MonkeyPatch) -> None:
    addresses = ",".join(site.base_url(name) for name in site.entry_hosts)
    monkeypatch.setenv(ENTRY_HOSTS_ENV_VAR, addresses)
    monkeypatch.setenv("JUJUBEHALL_AUTHOR", "amaka")


def run(command: str, expected_exit_code: ExitCode = ExitCode.SUCCESS) -> str:
    output = BufferedOutput(decorated=False)
    arguments = ArgvInput(["jujubehall", *shlex.split(command)])
    exit_code = make_application().run(arguments, output, output)
    printed = output.fetch()
    assert exit_code == expected_exit_code, printed
    return printed


def run_json(command: str) -> Any:
    return json.loads(run(f"{command} --json"))


def test_config_set_changes_a_default() -> None:
    number = run_json("config show")["number"]
    assert f"number {number + 1}" in run(f"config set fragmentation_weight 0.25 {REASON}")
    assert "0.25" in run("config show")
    assert {"path": "defaults.fragmentation_weight", "before": 0.5, "after": 0.25} in run_json(
        f"config diff --since {number}"
    )
    assert run_json("config history")[-1]["reason"] == "a test"


def test_invalid_configuration_changes_are_rejected() -> None:
    out_of_range = run(f"config set fragmentation_weight 7 {REASON}", ExitCode.INVALID)
    assert "$.defaults.fragmentation_weight" in out_of_range
    assert "Correct the value named above" in out_of_range
    assert "--reason is required" in run("config set endpoint_slots 4", ExitCode.INVALID)
    stale_change = f"config set endpoint_slots 4 --expected-number 99 {REASON}"
    assert "not at 99" in run(stale_change, ExitCode.CONFLICT)


def test_configuration_exceptions_are_added_and_removed() -> None:
    scope = "zone/zone-a endpoint_slots"
    run(f"config exception add {scope} 4", ExitCode.INVALID)
    run(f"config exception add {scope} 4 --reason 'older scheduler'")
    assert "older scheduler" in run("config show")
    assert "exceptions[zone/zone-a].endpoint_slots" in run("config diff")
    run(f"config exception remove {scope} {REASON}")
    run(f"config exception remove {scope} {REASON}", ExitCode.NOT_FOUND)
    paths = [entry["path"] for entry in run_json("config history")]
    assert paths[-2:] == ["exceptions[zone/zone-a].endpoint_slots"] * 2


def test_teams_are_created_and_removed() -> None:
    run(f"team create mixers --guarantee 1x8 --quota 16 {REASON}")
    assert "1 x 8 accelerators" in run("team list")
    assert run_json("team show mixers")["team"]["team"]["accelerator_quota"] == 16
    assert "not of the form BLOCKSxSIZE, such as 2x8" in run(
        f"team create x --guarantee many {REASON}", ExitCode.INVALID
    )
    run(f"team remove mixers {REASON}")
    run("team show mixers", ExitCode.NOT_FOUND)


def test_jobs_are_submitted_awaited_and_cancelled(tmp_path: Path) -> None:
    options = "--team mixers --kind mix --parts 2 --accelerators-per-part 8"
    output = run(f"job submit --id gang {options} --command run:300 --wait")
    assert "gang: running" in output
    assert "worker-0 x1, worker-1 x1" in output
    run(f"job submit --id gang {options} --command run:9", ExitCode.CONFLICT)
    run(f"job submit --id endless {options} --command run:60000")
    run("job cancel endless")
    assert "cancelled" in run("job wait endless --timeout-ms 20000", ExitCode.FAILED)
    assert [job["id"] for job in run_json("job list --state cancelled")] == ["endless"]
    assert "succeeded" in run("job show gang")
    run("job show nothing", ExitCode.NOT_FOUND)
    run("job submit --team mixers", ExitCode.INVALID)
    jobs = tmp_path / "jobs.json"
    jobs.write_text('[{"spec": {"team": "mixers"}}]')
    assert f"{jobs}: " in run(f"job submit --file {jobs}", ExitCode.INVALID)


def test_job_wait_times_out() -> None:
    options = "--team mixers --kind mix --parts 1 --accelerators-per-part 1"
    run(f"job submit --id slow {options} --command run:60000")
    assert "The operation continues" in run("job wait slow --timeout-ms 0", ExitCode.TIMED_OUT)
    run("job cancel slow")


def test_repeated_request_gets_the_same_answer() -> None:
    payload = shlex.quote('{"room": 4}')
    command = f"request send --id hold-4 --team desk --kind slot-hold --payload {payload}"
    first = run_json(f"{command} --patience-ms 20000")
    assert first[0]["outcome"] == "completed"
    assert run_json(command) == first
    run("request send --team desk", ExitCode.INVALID)


def test_list_commands_show_all_hosts(site: LocalSite) -> None:
    assert {each["host"]["name"] for each in run_json("worker list")} == {"worker-0", "worker-1"}
    assert "rack-0" in run("worker list")
    assert {each["state"] for each in run_json("endpoint list")} == {"live"}
    entry_hosts = run_json("entry-host list")["entry_hosts"]
    assert [each["member"]["name"] for each in entry_hosts] == site.entry_hosts
    assert sum(each["request_shards"] for each in entry_hosts) == 64


def test_unreachable_entry_host_is_named_in_the_error() -> None:
    output = run("job list --entry-host http://127.0.0.1:1", ExitCode.UNREACHABLE)
    assert "http://127.0.0.1:1" in output
    assert "JUJUBEHALL_ENTRY_HOSTS" in output


def test_settings_check_reports_each_error(tmp_path: Path) -> None:
    settings = tmp_path / "settings.json"
    settings.write_text('{"name": "", "colour": 1}')
    output = run(f"settings check {settings}", ExitCode.INVALID)
    assert f"{settings}: $.colour: unknown key" in output
    assert "$.zone: is missing" in output


def test_markup_in_names_is_printed_literally() -> None:
    run(f"team create '<error>odd</error>' {REASON}")
    assert "<error>odd</error>" in run("team list")
    run(f"team remove '<error>odd</error>' {REASON}")


def test_drained_entry_host_hands_over_and_exits(site: LocalSite) -> None:
    # Must be the last test of the module, because it stops one entry host of the shared site.
    assert "entry-1 owns no scopes" in run("entry-host drain entry-1")
    assert site.wait_for_exit("entry-1") == 0
    run("entry-host drain entry-7", ExitCode.NOT_FOUND)
