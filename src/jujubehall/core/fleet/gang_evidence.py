"""What the end of a whole gang says about each of its members.

A gang ends when its slowest member has finished. A fast end says that all members are fast; a slow
end only says that at least one of them is slow.
"""

from __future__ import annotations

import math

from typing import NamedTuple

MIN_PRECISION = 0.5
"""Weaker evidence is ignored."""

END_VARIANCE = 0.02**2
"""Variance of the logarithm of the time of an end: reports take a few milliseconds."""

MIN_TAIL = 1e-9


class Member(NamedTuple):
    """The expected logarithm of the time that a member needs, and its variance."""

    mean: float
    variance: float
    limit: float | None = None
    """Logarithm of the time at which it was known to have finished; None if it wasn't."""


class Evidence(NamedTuple):
    """Evidence for the logarithm of the time that a member needed."""

    mean: float
    variance: float


def evidence_of_end(end: float, members: list[Member]) -> list[Evidence | None]:
    """Returns the evidence for each member when the gang took ``exp(end)``.

    The distribution of each member, given that the slowest of all took exactly that time, is
    approximated by the normal distribution with its mean and variance.
    """
    rates = [0.0 if each.limit is not None else _hazard(end, each) for each in members]
    total = sum(rates)
    return [
        _evidence(end, member, rate / total if total else 0.0)
        for member, rate in zip(members, rates, strict=True)
    ]


def _evidence(end: float, member: Member, slowest_share: float) -> Evidence | None:
    """Returns the evidence for a member that is the slowest with the given probability."""
    mean, variance = _truncated(member, end if member.limit is None else min(end, member.limit))
    rest = 1 - slowest_share
    posterior_mean = slowest_share * end + rest * mean
    posterior_variance = (
        slowest_share * END_VARIANCE
        + rest * variance
        + slowest_share * rest * (end - mean) * (end - mean)
    )
    precision = 1 / max(posterior_variance, END_VARIANCE) - 1 / member.variance
    if precision < MIN_PRECISION:
        return None
    weighted_mean = posterior_mean / max(posterior_variance, END_VARIANCE)
    return Evidence((weighted_mean - member.mean / member.variance) / precision, 1 / precision)


def _hazard(end: float, member: Member) -> float:
    """Returns the density at the end relative to the probability of an earlier time."""
    return _inverse_mills_ratio(_standardized(end, member)) / math.sqrt(member.variance)


def _truncated(member: Member, limit: float) -> tuple[float, float]:
    """Returns mean and variance of a member's distribution below ``limit``."""
    distance = _standardized(limit, member)
    ratio = _inverse_mills_ratio(distance)
    mean = member.mean - math.sqrt(member.variance) * ratio
    share = 1 - ratio * (ratio + distance)
    return mean, member.variance * max(share, MIN_TAIL)


def _standardized(value: float, member: Member) -> float:
    return (value - member.mean) / math.sqrt(member.variance)


def _inverse_mills_ratio(distance: float) -> float:
    """Returns the standard normal density at ``distance`` relative to the probability below it."""
    below = math.erfc(-distance / math.sqrt(2)) / 2
    if below < MIN_TAIL:
        return -distance - 1 / distance
    return math.exp(-distance * distance / 2) / math.sqrt(2 * math.pi) / below
