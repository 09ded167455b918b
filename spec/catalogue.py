"""Lists all models and their broken variants, with the search depth that CI uses."""

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

CLAIMS_MAX_STEPS = 19
GANG_MAX_STEPS = 17
CONFIGURATION_MAX_STEPS = 12
SITE_JOBS_MAX_STEPS = 18


class CatalogueEntry(msgspec.Struct, frozen=True):
    """A model with its search depth; in a broken variant, the search must find a violation."""

    model: Model
    max_steps: int
    is_broken: bool


CATALOGUE = (
    *(
        CatalogueEntry(make_claims_model(variant), CLAIMS_MAX_STEPS, bool(variant))
        for variant in ClaimsVariant
    ),
    *(
        CatalogueEntry(make_gang_model(variant), GANG_MAX_STEPS, bool(variant))
        for variant in GangVariant
    ),
    *(
        CatalogueEntry(make_configuration_model(variant), CONFIGURATION_MAX_STEPS, bool(variant))
        for variant in ConfigurationVariant
    ),
    *(
        CatalogueEntry(make_site_jobs_model(variant), SITE_JOBS_MAX_STEPS, bool(variant))
        for variant in SiteJobsVariant
    ),
)
