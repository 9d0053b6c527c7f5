"""Runs formatter, linter, type checker and all scenarios, and prints one closing line.

A scenario that stands in KNOWN-RED.txt is run and printed, and does not fail the run; one
that stands there and passes is reported, so that its entry is removed.
"""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any, Final

import attrs

SHOWN_ERROR_LINES: Final = 15
ROOT = Path(__file__).resolve().parent.parent
CHECKS = (
    ("formatter", ("-m", "black", "--check", "--quiet", ".")),
    ("linter", ("-m", "ruff", "check", "--quiet", ".")),
    ("types", ("-m", "mypy")),
)


@attrs.frozen(kw_only=True)
class Outcome:
    """How one scenario ended, and why it failed."""

    name: str
    passed: bool
    why: str


def main() -> int:
    """Run everything; returns the exit status."""
    passed, failed, red = 0, 0, 0
    for name, arguments in CHECKS:
        status = subprocess.run([sys.executable, *arguments], cwd=ROOT, check=False).returncode
        print(f"{'ok' if status == 0 else 'FAILED'}: {name}", flush=True)
        passed += status == 0
        failed += status != 0
    known = read_known_red()
    for outcome in run_scenarios(sys.argv[1:]):
        if outcome.name in known:
            red += 1
            note = "passes now; remove it" if outcome.passed else f"fails as known\n{outcome.why}"
            print(f"KNOWN-RED: {outcome.name}: {note}")
            continue
        passed += outcome.passed
        failed += not outcome.passed
        if not outcome.passed:
            print(f"FAILED: {outcome.name}\n{outcome.why}")
    if red:
        print(f"{red} known red, see KNOWN-RED.txt")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


def read_known_red() -> set[str]:
    """Return the scenario names in KNOWN-RED.txt."""
    lines = (ROOT / "KNOWN-RED.txt").read_text(encoding="utf-8").splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {line.split("|")[0].strip() for line in entries}


def run_scenarios(arguments: list[str]) -> list[Outcome]:
    """Run behave and return the outcome of each scenario."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [
            *(sys.executable, "-m", "behave", "--no-skipped", "--no-timings"),
            *("--format", "json", "--outfile", str(report)),
            *("--format", "progress3"),
            *(arguments or ["features"]),
        ]
        result = subprocess.run(command, cwd=ROOT, check=False)
        text = report.read_text(encoding="utf-8") if report.exists() else ""
    ended = Outcome(name="behave", passed=False, why=f"exit status {result.returncode}")
    outcomes = read_report(text) if text.strip() else []
    if not outcomes or (result.returncode != 0 and all(each.passed for each in outcomes)):
        outcomes.append(ended)
    return outcomes


def read_report(text: str) -> list[Outcome]:
    """Return the outcome of each scenario in behave's JSON report."""
    return [
        Outcome(
            name=element["name"].strip(),
            passed=element.get("status") == "passed",
            why=failure_of(element),
        )
        for feature in json.loads(text)
        for element in feature.get("elements", ())
        if element["type"] != "background"
    ]


def failure_of(element: dict[str, Any]) -> str:
    """Return the step at which a scenario failed, and the last lines of its error."""
    for step in element.get("steps", ()):
        result = step.get("result", {})
        if result.get("status", "untested") in ("passed", "skipped"):
            continue
        error = result.get("error_message", [])
        lines = error.splitlines() if isinstance(error, str) else error
        return "\n".join([f"  {step['name']}", *lines[-SHOWN_ERROR_LINES:]])
    return f"  {element.get('status', 'untested')}"


if __name__ == "__main__":
    sys.exit(main())
