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

ROOT = Path(__file__).resolve().parent.parent
CHECKS = (
    ("formatter", ("-m", "black", "--check", "--quiet", ".")),
    ("linter", ("-m", "ruff", "check", "--quiet", ".")),
    ("types", ("-m", "mypy")),
)


def main() -> int:
    """Run everything; returns the exit status."""
    passed, failed, red = 0, 0, 0
    for name, arguments in CHECKS:
        status = subprocess.run([sys.executable, *arguments], cwd=ROOT, check=False).returncode
        print(f"{'ok' if status == 0 else 'FAILED'}: {name}", flush=True)
        passed += status == 0
        failed += status != 0
    known = read_known_red()
    for name, status in run_scenarios(sys.argv[1:]):
        if name in known:
            red += 1
            note = "passes now; remove it" if status == "passed" else "fails as known"
            print(f"KNOWN-RED: {name}: {note}")
            continue
        passed += status == "passed"
        failed += status != "passed"
        if status != "passed":
            print(f"FAILED: {name} ({status})")
    if red:
        print(f"{red} known red, see KNOWN-RED.txt")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


def read_known_red() -> set[str]:
    """Return the scenario names in KNOWN-RED.txt."""
    lines = (ROOT / "KNOWN-RED.txt").read_text(encoding="utf-8").splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {line.split("|")[0].strip() for line in entries}


def run_scenarios(arguments: list[str]) -> list[tuple[str, str]]:
    """Run behave and return name and status of each scenario."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [
            *(sys.executable, "-m", "behave", "--no-skipped", "--no-timings"),
            *("--format", "progress3", "--outfile", "/dev/stdout"),
            *("--format", "json", "--outfile", str(report)),
            *(arguments or ["features"]),
        ]
        result = subprocess.run(command, cwd=ROOT, check=False)
        if not report.exists() or not report.read_text(encoding="utf-8").strip():
            return [("behave", f"exit status {result.returncode}")]
        features = json.loads(report.read_text(encoding="utf-8"))
    scenarios = [
        (element["name"].strip(), element.get("status", "untested"))
        for feature in features
        for element in feature.get("elements", ())
        if element["type"] != "background"
    ]
    if result.returncode != 0 and all(status == "passed" for _, status in scenarios):
        scenarios.append(("behave", f"exit status {result.returncode}"))
    return scenarios or [("behave", "ran no scenario")]


if __name__ == "__main__":
    sys.exit(main())
