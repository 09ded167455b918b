"""``jujubehall demo``: a development command, which starts processes."""

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
from jujubehall.testing.local_site import free_first_port

if TYPE_CHECKING:
    from cleo.io.inputs.option import Option

    from jujubehall.console.demo.inputs import DemoInputs
    from jujubehall.testing.site_file import SiteFile

LOG_LINES_SHOWN = 10


@register
class DemoCommand(SiteCommand):
    """Runs a small site on this machine and shows what it does."""

    name = "demo"
    description = "Starts a small site on this machine, uses it, shows what happens and stops it."
    options: ClassVar[list[Option]] = [
        option("site", None, "The JSON site file; a packaged one if not given.", flag=False),
        option("teams", None, "A JSON list of teams.", flag=False),
        option("requests", None, "A JSON list of requests.", flag=False),
        option("jobs", None, "A JSON list of jobs.", flag=False),
        option("serve", None, "Start the site only, and serve until interrupted."),
        JSON_OPTION,
    ]

    def handle(self) -> int:
        """Runs the demonstration; the exit code is 0 only if all went as expected."""
        files = DemoFiles(*(self.option(name) for name in ("site", "teams", "requests", "jobs")))
        # As at an interrupt, so that the processes started here end with this one.
        signal.signal(signal.SIGTERM, signal.default_int_handler)
        read = read_inputs(files)
        if isinstance(read, Err):
            return self.fail(read.err_value)
        site = _with_ports(read.ok_value.site)
        self.say(
            f"Starting {site.entry_hosts} entry hosts, {site.endpoints} endpoints and "
            f"{site.workers} workers over the zones {', '.join(site.zones)}"
        )
        with LocalSite(site) as local_site:
            try:
                local_site.wait_until_ready()
                if self.option("serve"):
                    return self._serve(local_site)
                return self._demonstrate(local_site, read.ok_value)
            except (TimeoutError, UnwrapError) as error:
                return self._give_up(local_site, error)

    def _demonstrate(self, site: LocalSite, inputs: DemoInputs) -> int:
        demonstration = Demonstration(site, inputs, self)
        demonstration.run()
        demonstration.stop()
        checked = demonstration.expectations.checked
        if self.wants_json:
            self.show_json(checked)
        else:
            self.say("What was expected")
            rows = [("yes" if each.held else "NO", each.what, each.seen) for each in checked]
            self.show_table(["Held", "Expectation", "Seen"], rows)
        return int(ExitCode.SUCCESS if demonstration.expectations.all_held else ExitCode.FAILED)

    def _give_up(self, site: LocalSite, error: Exception) -> int:
        """Shows what the processes wrote, since they are gone afterwards."""
        for name in site.started:
            for line in site.log(name).splitlines()[-LOG_LINES_SHOWN:]:
                self.line_error(Formatter.escape(f"{name}: {line}"))
        self.line_error(f"<error>The demonstration gave up: {Formatter.escape(str(error))}</error>")
        return int(ExitCode.FAILED)

    def _serve(self, site: LocalSite) -> int:
        addresses = ",".join(site.address(name) for name in site.entry_hosts)
        self.line(f"export JUJUBEHALL_ENTRY_HOSTS={addresses}")
        try:
            site.wait_until_stopped()
        except KeyboardInterrupt:
            self.say("Stopping")
        codes = [site.stop(name) for name in site.running]
        return int(ExitCode.FAILED if any(codes) else ExitCode.SUCCESS)

    def show_table(self, headers: list[str], rows: object) -> int:
        """Prints a table, unless the output is for a program."""
        if not self.wants_json:
            super().show_table(headers, rows)  # type: ignore[arg-type]
            self.line("")
        return 0


def _with_ports(site: SiteFile) -> SiteFile:
    if site.first_port:
        return site
    return msgspec.structs.replace(site, first_port=free_first_port())
