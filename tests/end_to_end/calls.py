from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import Any

import httpx

from jujubehall.core.ownership.record import OWNERSHIP_KEY
from jujubehall.core.ownership.scopes import request_scope
from jujubehall.identifiers import RequestId
from jujubehall.testing.local_site import wait_until

if TYPE_CHECKING:
    from jujubehall.testing.local_site import LocalSite

RESPONSE_TIMEOUT_S = 20.0
# One client for all tests, as creating a client takes longer than most calls.
CLIENT = httpx.Client(trust_env=False, verify=False)


def send_slot_hold(site: LocalSite, entry_host: str, identifier: str) -> httpx.Response:
    body = {"id": identifier, "team": "studio", "kind": "slot-hold", "deadline_ms": 8_000}
    url = f"{site.base_url(entry_host)}/v1/requests"
    return CLIENT.post(url, json=body, timeout=RESPONSE_TIMEOUT_S)


def retry_slot_hold_until_completed(site: LocalSite, entry_host: str, identifier: str) -> None:
    """Retries a slot hold under the same identifier until it completes, as a caller does."""

    def completed() -> bool:
        try:
            return send_slot_hold(site, entry_host, identifier).is_success
        except httpx.TransportError:
            return False

    wait_until(completed, f"{identifier} completes through {entry_host}")


def warm_up(site: LocalSite, entry_host: str) -> None:
    """Waits until every entry host serves its shards; the identifiers cover all entry hosts."""
    for number in range(12):
        retry_slot_hold_until_completed(site, entry_host, f"warm-up-{number}")


def run_counts(site: LocalSite) -> Counter[str]:
    counts: Counter[str] = Counter()
    for host in site.site.endpoint_hosts():
        counts.update(CLIENT.get(f"{host.address}/test/runs").json()["runs"])
    return counts


def set_run_time_ms(site: LocalSite, run_ms: int) -> None:
    for host in site.site.endpoint_hosts():
        CLIENT.put(f"{host.address}/test/behaviour", json={"run_ms": run_ms})


def shard_owners(site: LocalSite, entry_host: str) -> dict[str, Any]:
    response_body = CLIENT.get(f"{site.base_url(entry_host)}/v1/ownership").json()
    return {each["member"]["name"]: each for each in response_body["entry_hosts"]}


def requests_owned_by(site: LocalSite, entry_host: str, identifiers: list[str]) -> list[str]:
    """Returns the requests that an entry host owns by the ownership record on the platform."""
    record = CLIENT.get(f"{site.site.platform_address}/v1/kv/{OWNERSHIP_KEY}").json()["value"]
    scopes = {scope for scope, owner in record["owners"].items() if owner == entry_host}
    return [each for each in identifiers if request_scope(RequestId(each)) in scopes]
