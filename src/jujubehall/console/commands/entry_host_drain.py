"""The command ``jujubehall entry-host drain``."""

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
from jujubehall.console.configuration_change import parse_non_negative_int
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
DEFAULT_DRAIN_TIMEOUT_MS = "60000"


@register
class EntryHostDrainCommand(SiteCommand):
    """Drains an entry host: it hands over its scopes, finishes its work in progress and exits."""

    name = "entry-host drain"
    description = "Makes an entry host hand over its scopes, finish its work in progress and exit."
    arguments: ClassVar[list[Argument]] = [argument("name", "Name of the entry host.")]
    options: ClassVar[list[Option]] = [
        *SITE_OPTIONS,
        option("no-wait", None, "Return as soon as the drain has started."),
        option(
            "timeout-ms",
            None,
            "Maximum time to wait for the handover, in milliseconds.",
            flag=False,
            default=DEFAULT_DRAIN_TIMEOUT_MS,
        ),
    ]

    def handle(self) -> int:
        """Sends the drain call to the named entry host, then waits until it owns no scopes.

        Returns the exit code.
        """
        timeout = parse_non_negative_int("--timeout-ms", self.option("timeout-ms"))
        if isinstance(timeout, Err):
            return self.show_failure(timeout.err_value)
        name = self.argument("name")
        started = self._start_drain(name)
        if isinstance(started, Err):
            return self.show_failure(started.err_value)
        self.show_text(f"{name} is handing over its scopes; it exits when no work is in progress.")
        if self.option("no-wait"):
            return 0
        handover = _wait_for_handover(self.client, name, timeout.ok_value)
        if isinstance(handover, Err):
            return self.show_failure(handover.err_value)
        if self.wants_json:
            return self.show_json(handover.ok_value)
        self.show_text(f"{name} owns no scopes as of ownership epoch {handover.ok_value.epoch}.")
        return 0

    def _start_drain(self, name: str) -> Result[None, CallFailure]:
        client = self.client
        result = client.get("read ownership", OWNERSHIP_PATH, OwnershipView)
        if isinstance(result, Err):
            return result
        members = [host.member for host in result.ok_value.entry_hosts if host.member.name == name]
        if not members:
            message = f"there is no entry host named {name}"
            return Err(CallFailure(ExitCode.NOT_FOUND, message, "drain", "entry host"))
        path = f"/v1/entry-hosts/{quote(name, safe='')}/drain"
        return client.for_address(members[0].http_address).call("drain", "POST", path, None)


def _wait_for_handover(
    client: SiteClient, name: str, timeout_ms: int
) -> Result[OwnershipView, CallFailure]:
    clock = system_clock()
    timeout_at_ms = clock.now_ms + timeout_ms
    while True:
        result = client.get("read ownership", OWNERSHIP_PATH, OwnershipView)
        if isinstance(result, Ok) and not _owns_scopes(result.ok_value, name):
            return result
        if clock.now_ms >= timeout_at_ms:
            message = f"{name} still owns scopes after {timeout_ms} ms"
            return Err(CallFailure(ExitCode.TIMED_OUT, message, "drain", name))
        time.sleep(to_seconds(POLL_INTERVAL_MS))


def _owns_scopes(ownership: OwnershipView, name: str) -> bool:
    return any(
        host.zones or host.request_shards
        for host in ownership.entry_hosts
        if host.member.name == name
    )
