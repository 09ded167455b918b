"""``jujubehall entry-host drain``."""

from __future__ import annotations

import time

from typing import TYPE_CHECKING
from typing import ClassVar
from urllib.parse import quote

from cleo.helpers import argument
from cleo.helpers import option
from result import Err
from result import Ok
from result import Result

from jujubehall.clock import system_clock
from jujubehall.clock import to_seconds
from jujubehall.console.call_failure import CallFailure
from jujubehall.console.commands.entry_host_list import OWNERSHIP_PATH
from jujubehall.console.configuration_change import parse_number
from jujubehall.console.exit_codes import ExitCode
from jujubehall.console.registry import register
from jujubehall.console.site_command import SITE_OPTIONS
from jujubehall.console.site_command import SiteCommand
from jujubehall.operators.messages import OwnershipView

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option

    from jujubehall.console.site_client import SiteClient

POLL_INTERVAL_MS = 250
DEFAULT_TIMEOUT_MS = "60000"


@register
class EntryHostDrainCommand(SiteCommand):
    """Begins the planned stop of an entry host."""

    name = "entry-host drain"
    description = "Has an entry host hand over, finish what is in progress and exit."
    arguments: ClassVar[list[Argument]] = [argument("name", "The entry host's name.")]
    options: ClassVar[list[Option]] = [
        *SITE_OPTIONS,
        option("no-wait", None, "Return once the planned stop has begun."),
        option(
            "timeout-ms",
            None,
            "How long to wait for the hand-over, in milliseconds.",
            flag=False,
            default=DEFAULT_TIMEOUT_MS,
        ),
    ]

    def handle(self) -> int:
        """Asks the entry host itself, then waits until the others have taken over."""
        timeout = parse_number("--timeout-ms", self.option("timeout-ms"))
        if isinstance(timeout, Err):
            return self.fail(timeout.err_value)
        name = self.argument("name")
        begun = self._begin(name)
        if isinstance(begun, Err):
            return self.fail(begun.err_value)
        self.say(f"{name} hands over; it exits once nothing is in progress.")
        if self.option("no-wait"):
            return 0
        left = _wait_until_left(self.site, name, timeout.ok_value)
        if isinstance(left, Err):
            return self.fail(left.err_value)
        if self.wants_json:
            return self.show_json(left.ok_value)
        self.say(f"{name} owns nothing since epoch {left.ok_value.epoch}.")
        return 0

    def _begin(self, name: str) -> Result[None, CallFailure]:
        site = self.site
        found = site.get("read ownership", OWNERSHIP_PATH, OwnershipView)
        if isinstance(found, Err):
            return found
        members = [each.member for each in found.ok_value.entry_hosts if each.member.name == name]
        if not members:
            message = f"there is no entry host {name}"
            return Err(CallFailure(ExitCode.NOT_FOUND, message, "drain", "entry host"))
        path = f"/v1/entry-hosts/{quote(name, safe='')}/drain"
        return site.at(members[0].http_address).call("drain", "POST", path, None)


def _wait_until_left(
    site: SiteClient, name: str, timeout_ms: int
) -> Result[OwnershipView, CallFailure]:
    clock = system_clock()
    give_up_at_ms = clock.now_ms + timeout_ms
    while True:
        found = site.get("read ownership", OWNERSHIP_PATH, OwnershipView)
        if isinstance(found, Ok) and not _owns_anything(found.ok_value, name):
            return found
        if clock.now_ms >= give_up_at_ms:
            message = f"{name} still owns something after {timeout_ms} ms"
            return Err(CallFailure(ExitCode.TIMED_OUT, message, "drain", name))
        time.sleep(to_seconds(POLL_INTERVAL_MS))


def _owns_anything(ownership: OwnershipView, name: str) -> bool:
    return any(
        each.zones or each.request_shards
        for each in ownership.entry_hosts
        if each.member.name == name
    )
