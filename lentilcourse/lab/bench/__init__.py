"""Measurements against the stated targets, with baselines in the same run.

Each module measures one plane and returns `Figure`s; `__main__` runs them, prints a table and
writes JSON for docs/CAPACITY.md and the plots.
"""

from __future__ import annotations
