"""Small specifications of the core protocols, and their checks by a model checker.

``python -m spec`` checks every model and shows that every broken variant is caught.
"""

from __future__ import annotations
