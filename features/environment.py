"""Set-up and clean-up of scenarios: every process and thread that one starts ends with it."""

from __future__ import annotations

import itertools
import os
import shutil
import socket
import sys
from pathlib import Path

from hypothesis import Phase, settings

sys.path.insert(0, str(Path(__file__).parent))

phases = [Phase.explicit, Phase.generate]
if "LENTILCOURSE_NO_SHRINK" not in os.environ:
    phases.append(Phase.shrink)
settings.register_profile(
    "deterministic", derandomize=True, deadline=None, database=None, phases=phases
)
settings.load_profile("deterministic")

FIRST_NETWORK = 100
NETWORKS = 100
GUARD_PORT = 9

scenario_numbers = itertools.count(1)


def before_all(context):
    """Choose a network prefix of its own for this run."""
    context.work_folder = Path("run") / f"features-{os.getpid()}"


def before_scenario(context, scenario):
    """Start with nothing running."""
    context.closers = []
    number = next(scenario_numbers)
    context.prefix = claim_network(context, os.getpid() + number)
    context.folder = context.work_folder / f"scenario-{number}"


def claim_network(context, start):
    """Claim a network that no other run on this machine uses, by a socket held in it."""
    for offset in range(NETWORKS):
        prefix = f"127.{FIRST_NETWORK + (start + offset) % NETWORKS}"
        guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            guard.bind((f"{prefix}.255.254", GUARD_PORT))
        except OSError:
            guard.close()
            continue
        context.closers.append(guard.close)
        return prefix
    raise RuntimeError("no free network")


def after_scenario(context, scenario):
    """End all that the scenario has started."""
    for closer in reversed(context.closers):
        closer()
    if scenario.status.name == "passed":
        shutil.rmtree(context.folder, ignore_errors=True)


def after_all(context):
    """Remove the working folder if nothing was kept in it."""
    if context.work_folder.exists() and not any(context.work_folder.iterdir()):
        shutil.rmtree(context.work_folder)
