"""HTTP routes for operators: configuration, teams, audit trail and site state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Result

from jujubehall.callers.interface import failure_response
from jujubehall.clock import unix_time_ms
from jujubehall.core.configuration.change import ChangeAuthor
from jujubehall.core.configuration.change import add_exception
from jujubehall.core.configuration.change import put_team
from jujubehall.core.configuration.change import remove_exception
from jujubehall.core.configuration.change import remove_team
from jujubehall.core.configuration.change import set_default
from jujubehall.core.jobs.zone_summary import ZONE_SUMMARY_PREFIX
from jujubehall.core.jobs.zone_summary import ZoneSummary
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.http.router import HttpRequest
from jujubehall.http.router import HttpResponse
from jujubehall.http.router import Router
from jujubehall.metrics import CONFIGURATION_CHANGES
from jujubehall.metrics import result_label
from jujubehall.operators.messages import AddExceptionBody
from jujubehall.operators.messages import ChangeBody
from jujubehall.operators.messages import EndpointView
from jujubehall.operators.messages import PutTeamBody
from jujubehall.operators.messages import RemoveExceptionBody
from jujubehall.operators.messages import RemoveTeamBody
from jujubehall.operators.messages import SetDefaultBody
from jujubehall.operators.ownership_view import ownership_view

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.core.configuration.document import Configuration
    from jujubehall.daemon.entry_host import EntryHost

DEFAULT_HISTORY_LIMIT = 50
MAX_HISTORY_LIMIT_DIGITS = 9

routes = Router()


class OperatorInterface:
    """Handles the operators' HTTP routes on an entry host.

    ``begin_shutdown`` starts a graceful shutdown of this process, as SIGTERM does.
    """

    def __init__(self, host: EntryHost, begin_shutdown: Callable[[], None]) -> None:
        self._host = host
        self._begin_shutdown = begin_shutdown

    @routes.register("GET", "/v1/configuration")
    async def configuration(self, call: HttpRequest) -> HttpResponse:
        """Shows the configuration that this entry host uses, with the recent audit trail."""
        return HttpResponse(200, self._host.configuration.current)

    @routes.register("GET", "/v1/configuration/history")
    async def history(self, call: HttpRequest) -> HttpResponse:
        """Shows the audit trail, newest change first."""
        limit = call.query.get("limit", str(DEFAULT_HISTORY_LIMIT))
        if not (limit.isdecimal() and len(limit) <= MAX_HISTORY_LIMIT_DIGITS):
            return failure_response(
                _invalid_request("read history", f"limit: {limit!r} is no whole number")
            )
        found = await self._host.configuration.history(int(limit))
        if isinstance(found, Err):
            return failure_response(found.err_value)
        return HttpResponse(200, found.ok_value)

    @routes.register("POST", "/v1/configuration/defaults")
    async def set_default(self, call: HttpRequest) -> HttpResponse:
        """Sets one fleet default."""
        body: SetDefaultBody = call.decode(SetDefaultBody)
        return await self._change(
            body, lambda current, author: set_default(current, author, body.key, body.value)
        )

    @routes.register("POST", "/v1/configuration/exceptions")
    async def add_exception(self, call: HttpRequest) -> HttpResponse:
        """Overrides a default within a scope and stores the reason with the override."""
        body: AddExceptionBody = call.decode(AddExceptionBody)
        return await self._change(
            body,
            lambda current, author: add_exception(
                current, author, body.scope, body.key, body.value, body.reason
            ),
        )

    @routes.register("DELETE", "/v1/configuration/exceptions")
    async def remove_exception(self, call: HttpRequest) -> HttpResponse:
        """Removes an exception, so that the default applies again."""
        body: RemoveExceptionBody = call.decode(RemoveExceptionBody)
        return await self._change(
            body, lambda current, author: remove_exception(current, author, body.scope, body.key)
        )

    @routes.register("POST", "/v1/teams")
    async def put_team(self, call: HttpRequest) -> HttpResponse:
        """Creates or replaces a team."""
        body: PutTeamBody = call.decode(PutTeamBody)
        return await self._change(
            body, lambda current, author: put_team(current, author, body.team)
        )

    @routes.register("DELETE", "/v1/teams")
    async def remove_team(self, call: HttpRequest) -> HttpResponse:
        """Removes a team."""
        body: RemoveTeamBody = call.decode(RemoveTeamBody)
        return await self._change(
            body, lambda current, author: remove_team(current, author, body.team)
        )

    @routes.register("GET", "/v1/ownership")
    async def ownership(self, call: HttpRequest) -> HttpResponse:
        """Shows the entry hosts and the scopes that each of them owns."""
        return HttpResponse(200, ownership_view(self._host.membership.record))

    @routes.register("POST", "/v1/entry-hosts/{entry_host}/drain")
    async def drain(self, call: HttpRequest) -> HttpResponse:
        """Starts a graceful shutdown; fails with a conflict if another entry host is named."""
        name = self._host.membership.member.name
        requested_name = call.parameters["entry_host"]
        if requested_name != name:
            detail = f"this is {name}, not {requested_name}"
            return failure_response(Failure(FailureKind.CONFLICT, "drain", "operator", detail))
        self._begin_shutdown()
        return HttpResponse(202, {"entry_host": name})

    @routes.register("GET", "/v1/hosts")
    async def hosts(self, call: HttpRequest) -> HttpResponse:
        """Shows the workers and endpoints that the platform lists."""
        return HttpResponse(200, [*self._host.hosts.workers, *self._host.hosts.endpoints])

    @routes.register("GET", "/v1/endpoints")
    async def endpoints(self, call: HttpRequest) -> HttpResponse:
        """Shows the endpoints that this entry host knows, with its requests in flight to each."""
        zones = {host.name: host.zone for host in self._host.hosts.endpoints}
        views = [
            EndpointView(
                endpoint.name,
                zones.get(endpoint.name, ""),
                "leaving" if endpoint.leaving else "live",
                endpoint.in_flight,
            )
            for endpoint in self._host.endpoint_table.endpoints
        ]
        return HttpResponse(200, sorted(views, key=lambda view: view.name))

    @routes.register("GET", "/v1/zones")
    async def zones(self, call: HttpRequest) -> HttpResponse:
        """Shows the latest summary that the owner of each availability zone has published."""
        return HttpResponse(200, self._host.cache.read_all(ZONE_SUMMARY_PREFIX, ZoneSummary))

    async def _change(
        self,
        body: ChangeBody,
        change: Callable[[Configuration, ChangeAuthor], Result[Configuration, Failure]],
    ) -> HttpResponse:
        author = ChangeAuthor(body.author, body.reason, body.token, unix_time_ms())
        changed = await self._host.configuration.change(
            body.expected_number, lambda current: change(current, author), body.token
        )
        CONFIGURATION_CHANGES.inc({"result": result_label(changed)})
        if isinstance(changed, Err):
            return failure_response(changed.err_value)
        return HttpResponse(200, changed.ok_value)


def _invalid_request(step: str, detail: str) -> Failure:
    return Failure(FailureKind.INVALID, step, "operator", detail)
