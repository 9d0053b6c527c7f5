"""Starts and ends the processes of one laid-out deployment, each a process of its own.

Only processes that were started here are ever signalled, by their pid.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable
from http.client import HTTPConnection
from pathlib import Path
from typing import Any, Final

import cattrs

from lentilcourse.errors import LentilcourseError
from lentilcourse.lab.shapes import (
    ADMIN_PORT,
    BALANCER_PACKET_PORT,
    BALANCER_REQUEST_PORT,
    TARGET_HTTP_PORT,
    TARGET_UDP_PORT,
    Layout,
    TargetPlace,
    write_files,
)
from lentilcourse.operator_client import OperatorClient, is_accepted
from lentilcourse.settings_file import load_settings

READY_TIMEOUT_S: Final = 40.0
STOP_TIMEOUT_S: Final = 15.0
POLL_S: Final = 0.05


class ClusterError(LentilcourseError):
    """The deployment did not reach an expected state in time."""


def wait_until(
    condition: Callable[[], bool], timeout_s: float, what: str, poll_s: float = POLL_S
) -> float:
    """Wait for a condition and return how long it took; raises `ClusterError`."""
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > timeout_s:
            raise ClusterError(f"not within {timeout_s} s: {what}")
        time.sleep(poll_s)
    return time.monotonic() - started


def read_metrics(host: str, prefix: str) -> list[float]:
    """Return the values of the metrics of the process on a VM whose names start with a prefix."""
    conn = HTTPConnection(host, ADMIN_PORT, timeout=5.0)
    conn.request("GET", "/metrics")
    lines = conn.getresponse().read().decode().splitlines()
    conn.close()
    return [float(line.split()[-1]) for line in lines if line.startswith(prefix)]


class Cluster:
    """All processes of one deployment.

    Attributes:
        layout: the deployment.
        folder: settings, logs and data.
        processes: running processes by name; a target stand-in is "target:NAME".
    """

    def __init__(self, *, layout: Layout, folder: Path, cold_s: float = 0.0) -> None:
        self.layout = layout
        self.folder = folder
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._cold_s = cold_s
        self._absent = 0
        write_files(layout, folder)

    @property
    def operator(self) -> OperatorClient:
        """A client in the name of the first operator."""
        return OperatorClient(settings=load_settings(str(self.folder / "operator.ini")))

    @property
    def second_operator(self) -> OperatorClient:
        """A client in the name of the second operator."""
        return OperatorClient(settings=load_settings(str(self.folder / "operator-2.ini")))

    def start_all(self, without_targets: tuple[str, ...] = ()) -> None:
        """Start everything but some targets and wait until it serves."""
        self.start_controllers()
        self.create_entries()
        for name in self.layout.balancers():
            self.start_daemon(name)
        for place in self.layout.targets():
            self.start_daemon(place.name)
            if place.name not in without_targets:
                self.start_target(place)
        self._absent = len(without_targets)
        self.wait_ready()

    def start_controllers(self) -> None:
        """Start the controllers and make them one group."""
        for name in self.layout.controllers():
            self.start_daemon(name)
        wait_until(self._controllers_answer, READY_TIMEOUT_S, "controllers answer")
        self.operator.bootstrap()
        self.wait_leader()

    def create_entries(self) -> None:
        """Create the entries of the shape."""
        for entry in self.layout.shape.entries:
            outcome = self.operator.change(entry, 0)
            if not is_accepted(outcome):
                raise ClusterError(f"entry {entry.name}: {outcome.reason}")

    def start_daemon(self, name: str) -> None:
        """Start one process of the system."""
        settings = self.folder / f"{name}.ini"
        self._spawn(name, ["-m", "lentilcourse.daemon", "--settings", str(settings)])

    def start_target(self, place: TargetPlace, cold_s: float | None = None) -> None:
        """Start the stand-in of one target."""
        self._spawn(
            f"target:{place.name}",
            [
                "-m",
                "lentilcourse.lab.target",
                *("--name", place.name, "--service", place.service.name),
                *("--host", place.host, "--agent", f"{place.host}:{ADMIN_PORT}"),
                *("--udp-port", str(TARGET_UDP_PORT), "--http-port", str(TARGET_HTTP_PORT)),
                *("--speed", str(place.speed), "--slots", str(place.service.slots)),
                *("--connections", str(place.service.connections)),
                *("--journal", str(self.journal(place.name))),
                *("--cold-s", str(self._cold_s if cold_s is None else cold_s)),
            ],
        )

    def wait_leader(self) -> str:
        """Wait for a leader and return its name."""
        wait_until(lambda: self._leader() != "", READY_TIMEOUT_S, "a controller leads")
        return self._leader()

    def wait_ready(self) -> None:
        """Wait until every target has joined and all processes have one version."""
        wait_until(self._ready, READY_TIMEOUT_S, "all targets joined, one version everywhere")

    def place(self, name: str) -> TargetPlace:
        """Return the place of a target."""
        return next(each for each in self.layout.targets() if each.name == name)

    def packet_addresses(self) -> list[tuple[str, int]]:
        """Return the packet addresses of the balancers."""
        return [(host, BALANCER_PACKET_PORT) for host in self.layout.balancers().values()]

    def request_addresses(self) -> list[tuple[str, int]]:
        """Return the request addresses of the balancers."""
        return [(host, BALANCER_REQUEST_PORT) for host in self.layout.balancers().values()]

    def target_stats(self, name: str) -> dict[str, Any]:
        """Return the counts of a target stand-in."""
        return dict(cattrs.structure(self._get(name, "/stats"), dict[str, Any]))

    def journal(self, name: str) -> Path:
        """Return the file in which a target notes each execution; it outlives the target."""
        return self.folder / f"{name}.executions"

    def executions(self) -> Counter[str]:
        """Return how often each request was executed, over all targets and all their runs."""
        counts: Counter[str] = Counter()
        for place in self.layout.targets():
            path = self.journal(place.name)
            if path.exists():
                counts.update(path.read_text(encoding="utf-8").split("\n")[:-1])
        return counts

    def stream_bytes(self, name: str) -> float:
        """Return the bytes that a process has sent and received on streams."""
        address = load_settings(str(self.folder / f"{name}.ini")).process.admin_address
        assert address is not None
        return sum(read_metrics(address.host, "lentilcourse_stream_bytes_"))

    def control_target(self, name: str, what: str, value: float = 0.0) -> None:
        """Tell a target stand-in to turn cold, drain or lie."""
        self._get(name, f"/control/{what}?value={value}")

    def signal(self, name: str, signum: signal.Signals) -> None:
        """Signal one process."""
        os.kill(self.processes[name].pid, signum)

    def kill(self, name: str) -> None:
        """Kill one process and reap it."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def terminate(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Stop one process gracefully and return its exit status."""
        process = self.processes.pop(name)
        process.terminate()
        try:
            return process.wait(timeout=timeout_s)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            raise ClusterError(f"{name} did not stop within {timeout_s} s") from None

    def stop_all(self) -> None:
        """Stop everything that is still running."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in self.processes.values():
            try:
                process.wait(timeout=max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.processes.clear()

    def _spawn(self, name: str, arguments: list[str]) -> None:
        log = self.folder / f"{name.replace(':', '-')}.log"
        with open(log, "ab") as handle:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=handle,
                stderr=handle,
            )

    def _controllers_answer(self) -> bool:
        try:
            statuses = self.operator.statuses()
        except LentilcourseError:
            return False
        return len(statuses) == len(self.layout.controllers())

    def _leader(self) -> str:
        try:
            return self.operator.leader()
        except LentilcourseError:
            return ""

    def _ready(self) -> bool:
        try:
            state = self.operator.state()
            reports = self.operator.reports()
        except LentilcourseError:
            return False
        expected = len(self.layout.targets()) + len(self.layout.balancers())
        joined = len(state.targets) == len(self.layout.targets()) - self._absent
        serving = joined and not any(target.lost for target in state.targets.values())
        versions = {report.version for report in reports}
        return serving and len(reports) == expected and versions == {state.version}

    def _get(self, name: str, path: str) -> Any:
        conn = HTTPConnection(self.place(name).host, TARGET_HTTP_PORT, timeout=2.0)
        try:
            conn.request("GET", path)
            return json.loads(conn.getresponse().read())
        finally:
            conn.close()
