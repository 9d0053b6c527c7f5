"""Runs the measurements, prints a table and writes JSON."""

from __future__ import annotations

import importlib
import shutil
import sys
from pathlib import Path
from typing import Final

import defopt

from lentilcourse.lab.bench.figures import MEASUREMENTS, Figure, print_figures, write_figures
from lentilcourse.logs import configure_logging

MODULES: Final = (
    "lentilcourse.lab.bench.control",
    "lentilcourse.lab.bench.deployment",
    "lentilcourse.lab.bench.faults",
    "lentilcourse.lab.bench.packets",
    "lentilcourse.lab.bench.unknowns",
)


def run(*, only: str = "", folder: str = "run/bench", output: str = "run/bench.json") -> None:
    """Measure and compare with the targets; a missed target is printed, not an error.

    :param only: packets, control, deployment, faults or unknowns; empty for all
    :param folder: folder for the processes; emptied first
    :param output: file for the figures as JSON
    """
    configure_logging(process="bench", role="bench", level="ERROR")
    for module in MODULES:
        importlib.import_module(module)
    names = [only] if only else list(MEASUREMENTS.names())
    root = Path(folder)
    shutil.rmtree(root, ignore_errors=True)
    figures: list[Figure] = []
    for name in names:
        print(f"measuring {name}", file=sys.stderr, flush=True)
        figures += MEASUREMENTS.get(name)(root / name)
    print_figures(figures)
    write_figures(figures, Path(output))


if __name__ == "__main__":
    defopt.run(run)
