"""Stand-ins (test fakes) for the external services: platform, workers and endpoints.

The platform provides the key-value service and the host list.
"""

from __future__ import annotations
