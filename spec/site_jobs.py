"""A job on a site: a refusal is true, a task never runs twice, no end is forgotten before it is kept.

Two entry hosts are handed the same job; their writes may get no answer and take effect later. The
owner of the site keeps where a run may be before it starts it, on one of two workers; starts may
get no answer and arrive late. The owner may be replaced at any moment: the next one knows what is
kept, and asks the workers, which refuse lower tokens from then on.

Stands for ``jujubehall.services.fleet.admission``, ``site_owner``, ``orders`` and
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
NOWHERE = -1
MAX_TOKEN = 3
MAX_RUN = 3


class SiteJobsVariant(IntEnum):
    """The protocol as it is, and ways to break it."""

    CORRECT = 0
    REFUSE_UNANSWERED = 1
    """A write without an answer is reported as not done."""

    START_BEFORE_KEEPING = 2
    """A run is started before the store knows where it may be."""

    RESTART_UNSTOPPED = 3
    """After a start without an answer the task is started elsewhere without a stop."""

    CONFIRM_BEFORE_KEEPING = 4
    """An end is confirmed to the worker before it is in the store."""

    NO_FENCE = 5
    """Workers carry out orders of earlier owners."""

    TRUST_SILENCE = 6
    """A new owner takes a worker that has not reported for idle."""


class Write(IntEnum):
    """An entry host's write of the job."""

    NONE = 0
    SENT = 1
    """It may take effect, now or later."""

    EXISTS = 2
    """The record exists, by this write or by another."""

    FAILED = 3
    """The store has said that nothing was done."""


class Answer(IntEnum):
    """What the caller is told."""

    NONE = 0
    ACCEPTED = 1
    REFUSED = 2
    UNKNOWN = 3


def make_site_jobs_model(variant: SiteJobsVariant = SiteJobsVariant.CORRECT) -> Model:
    """Makes the model of one job with one task."""
    initial: dict[str, bool | int] = {
        "record": False,
        "false_refusal": False,
        "two_runs": False,
        "run_after_end": False,
        "token": 1,
        "place": NOWHERE,
        "run": 0,
        "kept_run": 0,
        "kept_place": NOWHERE,
        "end_known": False,
        "end_kept": False,
        "end_confirmed": False,
    }
    for host in HOSTS:
        initial |= {f"write_{host}": 0, f"answer_{host}": 0}
    for worker in WORKERS:
        initial |= {
            f"heard_{worker}": True,
            f"fence_{worker}": 0,
            f"runs_{worker}": 0,
            f"refused_to_{worker}": 0,
            f"ended_{worker}": 0,
            f"start_{worker}": 0,
            f"start_token_{worker}": 0,
        }
    actions = [_take_over(), _keep_end()]
    for host in HOSTS:
        actions += [
            _send_write(host),
            _apply_write(host),
            _fail_write(host),
            _accept(host),
            _refuse(host),
            _leave_open(host, variant),
        ]
    for worker in WORKERS:
        actions += [
            _place(worker, variant),
            _send_start(worker),
            _start(worker, variant),
            _stop(worker),
            _end(worker),
            _hear(worker),
            _confirm(worker, variant),
        ]
    if variant is SiteJobsVariant.RESTART_UNSTOPPED:
        actions.append(_give_up_start())
    return Model(f"site jobs/{variant.name.lower()}", initial, actions, _safe)


def _safe(s: State) -> Expression:
    accepted_and_lost = z3.Or(
        *(z3.And(s[f"answer_{host}"] == Answer.ACCEPTED, z3.Not(s["record"])) for host in HOSTS)
    )
    return z3.And(
        z3.Not(s["false_refusal"]),
        z3.Not(accepted_and_lost),
        z3.Not(s["two_runs"]),
        z3.Not(s["run_after_end"]),
        z3.Implies(s["end_confirmed"], s["end_kept"]),
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
            # Only its own write makes a refusal false: another entry host may accept the job.
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


def _leave_open(host: int, variant: SiteJobsVariant) -> Action:
    is_broken = variant is SiteJobsVariant.REFUSE_UNANSWERED
    answer = Answer.REFUSED if is_broken else Answer.UNKNOWN
    return _answer(host, "no answer to write", Write.SENT, answer)


def _take_over() -> Action:
    def forget(s: State) -> dict[str, Expression]:
        return {
            "token": s["token"] + 1,
            "place": literal(NOWHERE),
            "run": s["kept_run"],
            "end_known": s["end_kept"],
            **{f"heard_{worker}": literal(False) for worker in WORKERS},
        }

    return Action("take over", lambda s: s["token"] < MAX_TOKEN, forget)


def _hear(worker: int) -> Action:
    """The worker reports to the present owner, and refuses earlier ones from then on."""

    def learn(s: State) -> dict[str, Expression]:
        runs = s[f"runs_{worker}"]
        return {
            f"heard_{worker}": literal(True),
            f"fence_{worker}": s["token"],
            "place": z3.If(z3.And(runs != 0, s["place"] == NOWHERE), literal(worker), s["place"]),
            "run": z3.If(runs > s["run"], runs, s["run"]),
            "end_known": z3.Or(s["end_known"], s[f"ended_{worker}"] != 0),
        }

    return Action(f"hear {worker}", lambda s: s["record"], learn)


def _place(worker: int, variant: SiteJobsVariant) -> Action:
    """Keeps in the store where the next run may be."""
    keeps = variant is not SiteJobsVariant.START_BEFORE_KEEPING

    def is_free(s: State) -> Expression:
        known = [z3.Implies(s["kept_place"] == other, s[f"heard_{other}"]) for other in WORKERS]
        if variant is SiteJobsVariant.TRUST_SILENCE:
            known = []
        return z3.And(
            s["record"],
            s["place"] == NOWHERE,
            z3.Not(s["end_known"]),
            s["run"] < MAX_RUN,
            *known,
        )

    def place(s: State) -> dict[str, Expression]:
        kept = {"kept_run": s["run"] + 1, "kept_place": literal(worker)} if keeps else {}
        return {"place": literal(worker), "run": s["run"] + 1, **kept}

    return Action(f"place {worker}", is_free, place)


def _send_start(worker: int) -> Action:
    return Action(
        f"send start {worker}",
        lambda s: z3.And(s["place"] == worker, s[f"start_{worker}"] < s["run"]),
        lambda s: {f"start_{worker}": s["run"], f"start_token_{worker}": s["token"]},
    )


def _start(worker: int, variant: SiteJobsVariant) -> Action:
    """A start arrives, perhaps late; a worker runs a higher run than it has ended or stopped."""

    def is_taken(s: State) -> Expression:
        fence = s[f"start_token_{worker}"] >= s[f"fence_{worker}"]
        if variant is SiteJobsVariant.NO_FENCE:
            fence = literal(True)
        return z3.And(
            s[f"start_{worker}"] > s[f"refused_to_{worker}"], s[f"runs_{worker}"] == 0, fence
        )

    def run(s: State) -> dict[str, Expression]:
        others = [s[f"runs_{other}"] != 0 for other in WORKERS if other != worker]
        return {
            f"runs_{worker}": s[f"start_{worker}"],
            "two_runs": z3.Or(s["two_runs"], *others),
            "run_after_end": z3.Or(s["run_after_end"], s["end_confirmed"]),
        }

    return Action(f"start {worker}", is_taken, run)


def _stop(worker: int) -> Action:
    """The owner stops a run; one that is not there yet will be refused from now on."""
    return Action(
        f"stop {worker}",
        lambda s: z3.And(
            s["place"] == worker,
            s["run"] > s[f"refused_to_{worker}"],
            s["token"] >= s[f"fence_{worker}"],
        ),
        lambda s: {
            f"runs_{worker}": literal(0),
            f"refused_to_{worker}": s["run"],
            f"fence_{worker}": s["token"],
            "place": literal(NOWHERE),
        },
    )


def _give_up_start() -> Action:
    return Action(
        "give up start", lambda s: s["place"] != NOWHERE, lambda s: {"place": literal(NOWHERE)}
    )


def _end(worker: int) -> Action:
    """The run is done; the worker lists its end until it is confirmed."""
    return Action(
        f"end {worker}",
        lambda s: s[f"runs_{worker}"] != 0,
        lambda s: {
            f"ended_{worker}": s[f"runs_{worker}"],
            f"refused_to_{worker}": s[f"runs_{worker}"],
            f"runs_{worker}": literal(0),
        },
    )


def _keep_end() -> Action:
    return Action(
        "keep end",
        lambda s: z3.And(s["end_known"], z3.Not(s["end_kept"])),
        lambda s: {"end_kept": literal(True), "place": literal(NOWHERE)},
    )


def _confirm(worker: int, variant: SiteJobsVariant) -> Action:
    known = "end_known" if variant is SiteJobsVariant.CONFIRM_BEFORE_KEEPING else "end_kept"
    return Action(
        f"confirm {worker}",
        lambda s: z3.And(s[f"ended_{worker}"] != 0, s[known], s[f"heard_{worker}"]),
        lambda s: {f"ended_{worker}": literal(0), "end_confirmed": literal(True)},
    )
