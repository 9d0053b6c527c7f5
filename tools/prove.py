"""Shows that the proofs can fail: switches mechanisms off, one at a time, in a scratch copy.

Each entry of mutations.toml replaces a text in one file; the property or scenario that proves
the point must fail on the copy. Prints one line an entry and exits with 1 if one still passes.
"""

from __future__ import annotations

import os
import re
import shutil
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
COPIED = ("lentilcourse", "features")
TIMEOUT_S = 400


def main() -> int:
    """Run all entries whose point contains the first argument; returns the exit status."""
    wanted = sys.argv[1] if len(sys.argv) > 1 else ""
    text = (ROOT / "tools" / "mutations.toml").read_text(encoding="utf-8")
    entries = [each for each in tomllib.loads(text)["mutation"] if wanted in each["point"]]
    unproved = 0
    for entry in entries:
        fails = fails_without(entry)
        unproved += not fails
        print(f"{'fails as it must' if fails else 'STILL PASSES'}: {entry['point']}", flush=True)
    print(f"{len(entries) - unproved} proofs fail without their mechanism, {unproved} do not")
    return 1 if unproved else 0


def fails_without(entry: dict[str, str]) -> bool:
    """Return whether the proof of an entry fails on a copy without the mechanism."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for part in COPIED:
            shutil.copytree(ROOT / part, folder / part)
        file = folder / entry["file"]
        text = file.read_text(encoding="utf-8")
        assert entry["find"] in text, f"{entry['file']}: not found: {entry['find']!r}"
        file.write_text(text.replace(entry["find"], entry["replace"]), encoding="utf-8")
        command = [sys.executable, "-m", "behave", "--no-skipped", "--format", "progress"]
        if "property" in entry:
            feature = folder / "features" / "proof.feature"
            feature.write_text(
                "Feature: Proof\n  Scenario: Proof\n"
                f'    Then the property "{entry["property"]}" holds\n',
                encoding="utf-8",
            )
            command.append(str(feature))
        else:
            command += ["--name", re.escape(entry["scenario"]), "features"]
        done = subprocess.run(
            command,
            cwd=folder,
            env={**os.environ, "PYTHONPATH": str(folder), "LENTILCOURSE_NO_SHRINK": "1"},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            timeout=TIMEOUT_S,
            check=False,
        )
        return done.returncode != 0


if __name__ == "__main__":
    sys.exit(main())
