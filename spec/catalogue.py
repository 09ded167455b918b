"""All models and their broken variants, with the number of steps that CI searches."""

from __future__ import annotations

import msgspec

from spec.claims import ClaimsVariant
from spec.claims import make_claims_model
from spec.configuration import ConfigurationVariant
from spec.configuration import make_configuration_model
from spec.gang import GangVariant
from spec.gang import make_gang_model
from spec.model import Model
from spec.site_jobs import SiteJobsVariant
from spec.site_jobs import make_site_jobs_model

CLAIMS_STEPS = 19
GANG_STEPS = 17
CONFIGURATION_STEPS = 12
SITE_JOBS_STEPS = 18


class Entry(msgspec.Struct, frozen=True):
    """One model; of a broken variant, a violating run must be found."""

    model: Model
    max_steps: int
    is_broken: bool


CATALOGUE = (
    *(Entry(make_claims_model(variant), CLAIMS_STEPS, bool(variant)) for variant in ClaimsVariant),
    *(Entry(make_gang_model(variant), GANG_STEPS, bool(variant)) for variant in GangVariant),
    *(
        Entry(make_configuration_model(variant), CONFIGURATION_STEPS, bool(variant))
        for variant in ConfigurationVariant
    ),
    *(
        Entry(make_site_jobs_model(variant), SITE_JOBS_STEPS, bool(variant))
        for variant in SiteJobsVariant
    ),
)
