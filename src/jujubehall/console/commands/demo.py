"""The command ``jujubehall demo``, for development: starts the processes of a small site."""

from __future__ import annotations

import signal

from typing import TYPE_CHECKING
from typing import ClassVar

import msgspec

from cleo.formatters.formatter import Formatter
from cleo.helpers import option
from result import Err
from result import UnwrapError

from jujubehall.console.demo.demonstration import Demonstration
from jujubehall.console.demo.inputs import DemoFiles
from jujubehall.console.demo.inputs import read_inputs
from jujubehall.console.exit_codes import ExitCode
from jujubehall.console.registry import register
from jujubehall.console.site_command import JSON_OPTION
from jujubehall.console.site_command import SiteCommand
from jujubehall.testing.local_site import LocalSite
from jujubehall.testing.local_site import ProcessExited
from jujubehall.testing.local_site import find_free_port_block

if TYPE_CHECKING:
    from cleo.io.inputs.option import Option

    from jujubehall.console.demo.inputs import DemoInputs
    from jujubehall.testing.site_file import SiteFile

LOG_LINES_PER_PROCESS = 10


@register
class DemoCommand(SiteCommand):
    """Runs a small site on this machine and checks how it handles teams, requests and jobs."""

    name = "demo"
    description = "Starts a small site on this machine, checks how it handles work, and stops it."
    options: ClassVar[list[Option]] = [
        option("site", None, "JSON site file. Default: a packaged file.", flag=False),
        option(
            "teams", None, "JSON file with a list of teams. Default: a packaged file.", flag=False
        ),
        option(
            "requests",
            None,
            "JSON file with a list of requests. Default: a packaged file.",
            flag=False,
        ),
        option(
            "jobs", None, "JSON file with a list of jobs. Default: a packaged file.", flag=False
        ),
        option("serve", None, "Only start the site and keep it running until interrupted."),
        JSON_OPTION,
    ]

    def handle(self) -> int:
        """Runs the demonstration; the exit code is 0 only if all checks passed."""
        files = DemoFiles(*(self.option(name) for name in ("site", "teams", "requests", "jobs")))
        # Handle SIGTERM like an interrupt, so that the child processes are stopped before the exit.
        signal.signal(signal.SIGTERM, signal.default_int_handler)
        inputs = read_inputs(files)
        if isinstance(inputs, Err):
            return self.show_failure(inputs.err_value)
        site = _with_first_port(inputs.ok_value.site)
        self.show_text(
            f"Starting {site.entry_hosts} entry hosts, {site.endpoints} endpoints and "
            f"{site.workers} workers in the zones {', '.join(site.zones)}"
        )
        with LocalSite(site) as local_site:
            try:
                local_site.wait_until_ready()
                if self.option("serve"):
                    return self._serve(local_site)
                return self._run_demo(local_site, inputs.ok_value)
            except (TimeoutError, ProcessExited, UnwrapError) as error:
                return self._report_abort(local_site, error)

    def _run_demo(self, site: LocalSite, inputs: DemoInputs) -> int:
        demonstration = Demonstration(site, inputs, self)
        demonstration.run()
        demonstration.stop()
        expectations = demonstration.expectations.checked
        if self.wants_json:
            self.show_json(expectations)
        else:
            self.show_text("Expectations")
            rows = [("yes" if each.held else "NO", each.what, each.seen) for each in expectations]
            self.show_table(["Held", "Expectation", "Seen"], rows)
        return int(ExitCode.SUCCESS if demonstration.expectations.all_held else ExitCode.FAILED)

    def _report_abort(self, site: LocalSite, error: Exception) -> int:
        """Prints the error and the end of each process log, which is deleted with the site."""
        for name in site.started_processes:
            for line in site.read_log(name).splitlines()[-LOG_LINES_PER_PROCESS:]:
                self.line_error(Formatter.escape(f"{name}: {line}"))
        self.line_error(f"<error>Demonstration aborted: {Formatter.escape(str(error))}</error>")
        return int(ExitCode.FAILED)

    def _serve(self, site: LocalSite) -> int:
        addresses = ",".join(site.base_url(name) for name in site.entry_hosts)
        self.line(f"export JUJUBEHALL_ENTRY_HOSTS={addresses}")
        try:
            site.wait_until_entry_hosts_exited()
        except KeyboardInterrupt:
            self.show_text("Stopping")
        codes = [site.stop(name) for name in site.running_processes]
        return int(ExitCode.FAILED if any(codes) else ExitCode.SUCCESS)

    def show_table(self, headers: list[str], rows: object) -> int:
        """Prints a table and an empty line, unless the output is JSON, and returns 0."""
        if not self.wants_json:
            super().show_table(headers, rows)  # type: ignore[arg-type]
            self.line("")
        return 0


def _with_first_port(site: SiteFile) -> SiteFile:
    if site.first_port:
        return site
    return msgspec.structs.replace(site, first_port=find_free_port_block())
