"""Scores the regression sites on the users' bench, one after the other, and reads their gates.

The bench and its site files are not part of this repository; their places are given on the command
line. Days of hundreds of machines are played one at a time, since one takes up to 5 GB.
"""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path
from typing import Final

import attrs
import defopt

GATE: Final = re.compile(r"^GATE (passed|failed)", re.MULTILINE)
DAY: Final = re.compile(r"^(?P<day>\S+) +\d+/\d+ +[\d.]+ +(?P<worth>[\d.]+) ", re.MULTILINE)


@attrs.frozen(kw_only=True)
class Site:
    """A site file, relative to the folder of all sites, and how many days are played at once."""

    file: str
    jobs: int


SITES: Final = (
    Site(file="further/fynbos-lbl.toml", jobs=2),
    Site(file="further-grown/fynbos-lbl-grown.toml", jobs=2),
    Site(file="large/samahan-pansit-large.toml", jobs=1),
    Site(file="grown/parekh-lc-grown.toml", jobs=2),
    Site(file="grown/samahan-pansit-grown.toml", jobs=2),
)


@attrs.frozen(kw_only=True)
class SiteResult:
    """Outcome of one site.

    Attributes:
        passed: whether its gate passed.
        worth: worth of each day that was played, by name.
    """

    passed: bool
    worth: dict[str, float]


def read_score(text: str) -> SiteResult:
    """Return the outcome that the bench printed; a score without a gate has not passed."""
    gate = GATE.search(text)
    worth = {found["day"]: float(found["worth"]) for found in DAY.finditer(text)}
    return SiteResult(passed=gate is not None and gate[1] == "passed", worth=worth)


def run(*, bench: Path, sites: Path, full: bool = False, why: str = "regression run") -> None:
    """Score all regression sites; exit status 1 if a gate failed.

    :param bench: the program fleetbench
    :param sites: folder that holds the folders of the sites
    :param full: play all standard days instead of the quick ones
    :param why: line for the bench's journal
    """
    failed = 0
    for site in SITES:
        command = [str(bench), "score", str(sites / site.file), "--jobs", str(site.jobs)]
        command += ["--why", why, *([] if full else ["--quick"])]
        done = subprocess.run(command, check=False, capture_output=True, text=True)
        result = read_score(done.stdout)
        failed += not result.passed
        days = " ".join(f"{day}={worth:.3f}" for day, worth in result.worth.items())
        print(f"{'passed' if result.passed else 'FAILED'}: {site.file}: {days}", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    defopt.run(run)
