"""Runs jobs on the workers of a site.

Every entry host accepts jobs by writing them to the site's store. One elected entry host, the owner
of the site, schedules them on the workers.
"""

from __future__ import annotations
