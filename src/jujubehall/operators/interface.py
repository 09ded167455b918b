"""Routes for operators: configuration, teams, audit trail, state of the site."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from aioprometheus import render
from result import Err
from result import Result

from jujubehall.callers.interface import failure_reply
from jujubehall.clock import unix_time_ms
from jujubehall.core.configuration.change import ChangeAuthor
from jujubehall.core.configuration.change import put_team
from jujubehall.core.configuration.change import set_default
from jujubehall.core.configuration.document import Configuration
from jujubehall.core.configuration.document import Team
from jujubehall.http.router import Call
from jujubehall.http.router import Reply
from jujubehall.http.router import Router
from jujubehall.metrics import REGISTRY

if TYPE_CHECKING:
    from jujubehall.daemon.entry_host import EntryHost
    from jujubehall.errors import Failure

routes = Router()


class SetDefaultBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Sets one fleet default, given the number of the configuration that was read."""

    expected_number: int
    author: str
    reason: str
    token: str
    key: str
    value: Any


class PutTeamBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Creates or replaces a team, given the number of the configuration that was read."""

    expected_number: int
    author: str
    reason: str
    token: str
    team: Team


class OperatorInterface:
    """What operators can ask of an entry host."""

    def __init__(self, host: EntryHost) -> None:
        self._host = host

    @routes.register("GET", "/healthz")
    async def health(self, call: Call) -> Reply:
        """Answers while the process serves."""
        return Reply(200, {"status": "alive"})

    @routes.register("GET", "/readyz")
    async def ready(self, call: Call) -> Reply:
        """Tells the balancer whether to send callers here."""
        ready = self._host.is_ready
        return Reply(200 if ready else 503, {"ready": ready})

    @routes.register("GET", "/metrics")
    async def metrics(self, call: Call) -> Reply:
        """Renders the metrics in the Prometheus text format."""
        content, headers = render(REGISTRY, [])
        return Reply(200, content, headers)

    @routes.register("GET", "/v1/configuration")
    async def configuration(self, call: Call) -> Reply:
        """Shows the configuration in force here, with the recent audit trail."""
        return Reply(200, self._host.configuration.current)

    @routes.register("POST", "/v1/configuration/defaults")
    async def set_default(self, call: Call) -> Reply:
        """Sets one fleet default."""
        body = call.decode(SetDefaultBody)
        author = ChangeAuthor(body.author, body.reason, body.token, unix_time_ms())
        changed = await self._host.configuration.change(
            body.expected_number, lambda current: set_default(current, author, body.key, body.value)
        )
        return _changed_reply(changed)

    @routes.register("POST", "/v1/teams")
    async def put_team(self, call: Call) -> Reply:
        """Creates or replaces a team."""
        body = call.decode(PutTeamBody)
        author = ChangeAuthor(body.author, body.reason, body.token, unix_time_ms())
        changed = await self._host.configuration.change(
            body.expected_number, lambda current: put_team(current, author, body.team)
        )
        return _changed_reply(changed)

    @routes.register("GET", "/v1/entry-hosts")
    async def entry_hosts(self, call: Call) -> Reply:
        """Shows the ownership record."""
        return Reply(200, self._host.membership.record)

    @routes.register("GET", "/v1/hosts")
    async def hosts(self, call: Call) -> Reply:
        """Shows the workers and endpoints of the platform's list."""
        return Reply(200, [*self._host.hosts.workers, *self._host.hosts.endpoints])


def _changed_reply(changed: Result[Configuration, Failure]) -> Reply:
    if isinstance(changed, Err):
        return failure_reply(changed.err_value)
    return Reply(200, changed.ok_value)
