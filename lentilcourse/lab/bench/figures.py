"""One measured figure with its target, and how figures are printed and stored."""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from pathlib import Path
from typing import Final

import attrs

from lentilcourse.kernel.registry import Registry

CLOCK_TICKS: Final = os.sysconf("SC_CLK_TCK")


@attrs.frozen(kw_only=True)
class Figure:
    """One figure.

    Attributes:
        name: what was measured.
        value: the measurement.
        unit: its unit.
        target: the stated target; None for a figure without one.
        highest: whether the target is an upper bound (else a lower one).
    """

    name: str
    value: float
    unit: str
    target: float | None = None
    highest: bool = True

    def met(self) -> bool | None:
        """Return whether the target is met, None without one."""
        if self.target is None:
            return None
        return self.value <= self.target if self.highest else self.value >= self.target

    def verdict(self) -> str:
        """Return "met", "MISSED" or nothing."""
        met = self.met()
        return "" if met is None else "met" if met else "MISSED"

    def target_text(self) -> str:
        """Return the target with its direction."""
        if self.target is None:
            return ""
        return f"{'<=' if self.highest else '>='} {self.target:g}"


Measurement = Callable[[Path], list[Figure]]

MEASUREMENTS: Final[Registry[Measurement]] = Registry(kind="measurement")


def print_figures(figures: list[Figure]) -> None:
    """Print figures as a table."""
    rows = [("figure", "value", "unit", "target", "")]
    rows += [(f.name, f"{f.value:.4g}", f.unit, f.target_text(), f.verdict()) for f in figures]
    widths = [max(len(row[column]) for row in rows) for column in range(5)]
    for row in rows:
        line = "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print(line.rstrip(), flush=True)


def write_figures(figures: list[Figure], path: Path) -> None:
    """Write figures as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    records = [{**attrs.asdict(figure), "verdict": figure.verdict()} for figure in figures]
    path.write_text(json.dumps(records, indent=2), encoding="utf-8")


def percentile(values: list[float], share: float) -> float:
    """Return a percentile of values; 0 without any."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text(encoding="utf-8").split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")
