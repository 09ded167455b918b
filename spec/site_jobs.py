"""Model of a site's jobs: correct refusals, no concurrent runs, no end confirmed before storage.

Two entry hosts receive the same job. Their writes may get no response and take effect later. The
owner of the site stores where a run may be before starting it on one of two workers. Start
commands may get no response and arrive late. The owner may be replaced at any time. The next owner
knows what is stored and asks the workers, which from then on refuse lower fencing tokens.

Models ``jujubehall.services.fleet.admission``, ``site_owner``, ``worker_commands`` and
``worker_session``.
"""

from __future__ import annotations

from enum import IntEnum

import z3

from spec.model import Action
from spec.model import Expression
from spec.model import Model
from spec.model import State
from spec.model import literal

HOSTS = (0, 1)
WORKERS = (0, 1)
NO_WORKER = -1
MAX_TOKEN = 3
MAX_RUN = 3


class SiteJobsVariant(IntEnum):
    """The correct protocol and its deliberately broken variants."""

    CORRECT = 0
    REFUSE_UNANSWERED = 1
    """A write without a response is reported as not applied."""

    START_BEFORE_STORING = 2
    """A run is started before its worker is stored."""

    RESTART_WITHOUT_STOP = 3
    """After a start without a response, the task is started elsewhere without a stop."""

    CONFIRM_BEFORE_STORING = 4
    """The end of a run is confirmed to the worker before it is stored."""

    NO_FENCE = 5
    """Workers execute commands of earlier owners."""

    ASSUME_SILENT_WORKER_IDLE = 6
    """A new owner assumes that a worker which has not reported is idle."""


class Write(IntEnum):
    """The state of an entry host's write of the job."""

    NONE = 0
    SENT = 1
    """It may take effect, now or later."""

    EXISTS = 2
    """The record exists, by this write or by another."""

    FAILED = 3
    """The store has responded that the write was not applied."""


class Answer(IntEnum):
    """The answer that the caller gets."""

    NONE = 0
    ACCEPTED = 1
    REFUSED = 2
    UNKNOWN = 3


def make_site_jobs_model(variant: SiteJobsVariant = SiteJobsVariant.CORRECT) -> Model:
    """Makes the model of one job with one task, two entry hosts and two workers."""
    initial: dict[str, bool | int] = {
        "record": False,
        "false_refusal": False,
        "concurrent_runs": False,
        "run_after_end": False,
        "token": 1,
        "placed_on": NO_WORKER,
        "run": 0,
        "stored_run": 0,
        "stored_placed_on": NO_WORKER,
        "end_known": False,
        "end_stored": False,
        "end_confirmed": False,
    }
    for host in HOSTS:
        initial |= {f"write_{host}": 0, f"answer_{host}": 0}
    for worker in WORKERS:
        initial |= {
            f"has_reported_{worker}": True,
            f"fence_token_{worker}": 0,
            f"running_{worker}": 0,
            f"refused_up_to_{worker}": 0,
            f"ended_run_{worker}": 0,
            f"start_run_{worker}": 0,
            f"start_token_{worker}": 0,
        }
    actions = [_take_over(), _store_end()]
    for host in HOSTS:
        actions += [
            _send_write(host),
            _apply_write(host),
            _fail_write(host),
            _accept(host),
            _refuse(host),
            _answer_unknown(host, variant),
        ]
    for worker in WORKERS:
        actions += [
            _place(worker, variant),
            _send_start(worker),
            _start(worker, variant),
            _stop(worker),
            _end(worker),
            _report(worker),
            _confirm(worker, variant),
        ]
    if variant is SiteJobsVariant.RESTART_WITHOUT_STOP:
        actions.append(_abandon_start())
    return Model(f"site jobs/{variant.name.lower()}", initial, actions, _invariant)


def _invariant(s: State) -> Expression:
    accepted_and_lost = z3.Or(
        *(z3.And(s[f"answer_{host}"] == Answer.ACCEPTED, z3.Not(s["record"])) for host in HOSTS)
    )
    return z3.And(
        z3.Not(s["false_refusal"]),
        z3.Not(accepted_and_lost),
        z3.Not(s["concurrent_runs"]),
        z3.Not(s["run_after_end"]),
        z3.Implies(s["end_confirmed"], s["end_stored"]),
    )


def _send_write(host: int) -> Action:
    return Action(
        f"send write {host}",
        lambda s: s[f"write_{host}"] == Write.NONE,
        lambda s: {f"write_{host}": literal(int(Write.SENT))},
    )


def _apply_write(host: int) -> Action:
    return Action(
        f"apply write {host}",
        lambda s: s[f"write_{host}"] == Write.SENT,
        lambda s: {
            "record": literal(True),
            f"write_{host}": literal(int(Write.EXISTS)),
            # Only the host's own write makes its refusal false, as another entry host may accept
            # the job.
            "false_refusal": z3.Or(
                s["false_refusal"],
                z3.And(z3.Not(s["record"]), s[f"answer_{host}"] == Answer.REFUSED),
            ),
        },
    )


def _fail_write(host: int) -> Action:
    return Action(
        f"fail write {host}",
        lambda s: z3.And(s[f"write_{host}"] == Write.SENT, s[f"answer_{host}"] == Answer.NONE),
        lambda s: {f"write_{host}": literal(int(Write.FAILED))},
    )


def _answer(host: int, name: str, write: Write, answer: Answer) -> Action:
    return Action(
        f"{name} {host}",
        lambda s: z3.And(s[f"answer_{host}"] == Answer.NONE, s[f"write_{host}"] == write),
        lambda s: {f"answer_{host}": literal(int(answer))},
    )


def _accept(host: int) -> Action:
    return _answer(host, "accept", Write.EXISTS, Answer.ACCEPTED)


def _refuse(host: int) -> Action:
    return _answer(host, "refuse", Write.FAILED, Answer.REFUSED)


def _answer_unknown(host: int, variant: SiteJobsVariant) -> Action:
    is_broken = variant is SiteJobsVariant.REFUSE_UNANSWERED
    answer = Answer.REFUSED if is_broken else Answer.UNKNOWN
    return _answer(host, "answer unknown", Write.SENT, answer)


def _take_over() -> Action:
    def reset(s: State) -> dict[str, Expression]:
        return {
            "token": s["token"] + 1,
            "placed_on": literal(NO_WORKER),
            "run": s["stored_run"],
            "end_known": s["end_stored"],
            **{f"has_reported_{worker}": literal(False) for worker in WORKERS},
        }

    return Action("take over", lambda s: s["token"] < MAX_TOKEN, reset)


def _report(worker: int) -> Action:
    """The worker reports to the current owner and refuses earlier ones from then on."""

    def updates(s: State) -> dict[str, Expression]:
        runs = s[f"running_{worker}"]
        return {
            f"has_reported_{worker}": literal(True),
            f"fence_token_{worker}": s["token"],
            "placed_on": z3.If(
                z3.And(runs != 0, s["placed_on"] == NO_WORKER), literal(worker), s["placed_on"]
            ),
            "run": z3.If(runs > s["run"], runs, s["run"]),
            "end_known": z3.Or(s["end_known"], s[f"ended_run_{worker}"] != 0),
        }

    return Action(f"report {worker}", lambda s: s["record"], updates)


def _place(worker: int, variant: SiteJobsVariant) -> Action:
    """The owner stores where the next run may be."""
    stores_first = variant is not SiteJobsVariant.START_BEFORE_STORING

    def is_free(s: State) -> Expression:
        workers_known = [
            z3.Implies(s["stored_placed_on"] == other, s[f"has_reported_{other}"])
            for other in WORKERS
        ]
        if variant is SiteJobsVariant.ASSUME_SILENT_WORKER_IDLE:
            workers_known = []
        return z3.And(
            s["record"],
            s["placed_on"] == NO_WORKER,
            z3.Not(s["end_known"]),
            s["run"] < MAX_RUN,
            *workers_known,
        )

    def place(s: State) -> dict[str, Expression]:
        stored = (
            {"stored_run": s["run"] + 1, "stored_placed_on": literal(worker)}
            if stores_first
            else {}
        )
        return {"placed_on": literal(worker), "run": s["run"] + 1, **stored}

    return Action(f"place {worker}", is_free, place)


def _send_start(worker: int) -> Action:
    return Action(
        f"send start {worker}",
        lambda s: z3.And(s["placed_on"] == worker, s[f"start_run_{worker}"] < s["run"]),
        lambda s: {f"start_run_{worker}": s["run"], f"start_token_{worker}": s["token"]},
    )


def _start(worker: int, variant: SiteJobsVariant) -> Action:
    """A start command arrives, perhaps late.

    A worker only starts runs with a higher number than those that it has ended or stopped.
    """

    def is_accepted(s: State) -> Expression:
        token_is_current = s[f"start_token_{worker}"] >= s[f"fence_token_{worker}"]
        if variant is SiteJobsVariant.NO_FENCE:
            token_is_current = literal(True)
        return z3.And(
            s[f"start_run_{worker}"] > s[f"refused_up_to_{worker}"],
            s[f"running_{worker}"] == 0,
            token_is_current,
        )

    def run(s: State) -> dict[str, Expression]:
        others = [s[f"running_{other}"] != 0 for other in WORKERS if other != worker]
        return {
            f"running_{worker}": s[f"start_run_{worker}"],
            "concurrent_runs": z3.Or(s["concurrent_runs"], *others),
            "run_after_end": z3.Or(s["run_after_end"], s["end_confirmed"]),
        }

    return Action(f"start {worker}", is_accepted, run)


def _stop(worker: int) -> Action:
    """The owner stops a run; the worker refuses it from then on if it has not started yet."""
    return Action(
        f"stop {worker}",
        lambda s: z3.And(
            s["placed_on"] == worker,
            s["run"] > s[f"refused_up_to_{worker}"],
            s["token"] >= s[f"fence_token_{worker}"],
        ),
        lambda s: {
            f"running_{worker}": literal(0),
            f"refused_up_to_{worker}": s["run"],
            f"fence_token_{worker}": s["token"],
            "placed_on": literal(NO_WORKER),
        },
    )


def _abandon_start() -> Action:
    return Action(
        "abandon start",
        lambda s: s["placed_on"] != NO_WORKER,
        lambda s: {"placed_on": literal(NO_WORKER)},
    )


def _end(worker: int) -> Action:
    """The run ends; the worker reports the end until the owner confirms it."""
    return Action(
        f"end {worker}",
        lambda s: s[f"running_{worker}"] != 0,
        lambda s: {
            f"ended_run_{worker}": s[f"running_{worker}"],
            f"refused_up_to_{worker}": s[f"running_{worker}"],
            f"running_{worker}": literal(0),
        },
    )


def _store_end() -> Action:
    return Action(
        "store end",
        lambda s: z3.And(s["end_known"], z3.Not(s["end_stored"])),
        lambda s: {"end_stored": literal(True), "placed_on": literal(NO_WORKER)},
    )


def _confirm(worker: int, variant: SiteJobsVariant) -> Action:
    end_variable = (
        "end_known" if variant is SiteJobsVariant.CONFIRM_BEFORE_STORING else "end_stored"
    )
    return Action(
        f"confirm {worker}",
        lambda s: z3.And(
            s[f"ended_run_{worker}"] != 0, s[end_variable], s[f"has_reported_{worker}"]
        ),
        lambda s: {f"ended_run_{worker}": literal(0), "end_confirmed": literal(True)},
    )
