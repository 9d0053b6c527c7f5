"""Stand-ins for the platform, its operator, servers and clients; shared by the scripts here.

`Deployment` renders the templates of the deploy file and starts the project's own programs with
its commands, on loopback addresses. Servers, clients and the operator speak what PROTOCOL.md says.
Only the standard library is used.
"""

from __future__ import annotations

import json
import os
import re
import secrets
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import zlib
from collections.abc import Callable
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any, Final

ROOT: Final = Path(__file__).resolve().parent.parent
EXIT_HELD: Final = 0
EXIT_BROKEN: Final = 1
EXIT_NOT_RUN: Final = 2
STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

ZONES: Final = ("guj-west-a", "guj-west-b", "guj-west-c")
SERVICE: Final = "credit-desk"
ENTRY: Final = ("198.18.0.1", 443)
CONTROL_PORT: Final = 8166
READY_PORT: Final = 8167
APP_PORT: Final = 8165
OUTBOUND_PORT: Final = 8168
DATAGRAM_PORT: Final = 8172
INTERNAL_PORTS: Final = (7720, 7735)
METRICS_PORT: Final = 9464
HEARTBEAT_S: Final = 1.2
ANSWER_TIMEOUT_S: Final = 1.0
"""Callers of `control_plane` move on after a second without a response."""
BOUNDS: Final = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "stableWindowMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 3000,
    "graceS": 6,
    "configApplyMs": 3000,
    "maxStretchMs": 12000,
    "coldOverrun": 1.5,
    "coldSlack": 5,
    "evacuateMs": 5000,
    "recoveryS": 12,
    "reorderMs": 2000,
    "maxFlowS": 60,
}

HEAD: Final = struct.Struct(">III B3s H I 4sH 4sH")
FLAG_SYN, FLAG_ACK, FLAG_FIN, FLAG_RST, FLAG_BOUNCED = 64, 4, 8, 2, 32
SYN_COPIES_S: Final = (0.0, 0.2, 0.6)
SYN_TIMEOUT_S: Final = 1.4


class NotRunError(Exception):
    """The case could not run."""


class Record:
    """The file record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Add a line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
            self._file.flush()

    def say(self, text: str) -> None:
        """Add a line and print it."""
        self.write(text)
        print(text, flush=True)


# Settings.


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template of the deploy file: values, and sections on true or missing values."""

    def value(name: str) -> Any:
        found: Any = fields
        for part in name.split("."):
            if isinstance(found, (list, tuple)):
                found = found[int(part)]
            else:
                found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(match: re.Match[str]) -> str:
        return match[3] if bool(value(match[2])) is (match[1] == "#") else ""

    def text(match: re.Match[str]) -> str:
        found = value(match[1])
        if isinstance(found, (list, tuple)):
            return ",".join(str(each) for each in found)
        return "" if found is None else str(found)

    template = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", text, template)


class Node:
    """One process of the project, with the machine's address."""

    def __init__(self, *, name: str, role: str, zone: str, ip: str, settings: Path) -> None:
        self.name = name
        self.role = role
        self.zone = zone
        self.ip = ip
        self.settings = settings
        self.process: subprocess.Popen[bytes] | None = None


class Deployment:
    """The project's processes on loopback addresses, one address a machine."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.prefix = _free_prefix()
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text("utf-8"))
        self.nodes: dict[str, Node] = {}
        self._stopping = False
        cores = [(f"core-{zone}-1", "controller", zone) for zone in ZONES]
        edges = [(f"edge-{zone}-1", "balancer", zone) for zone in ZONES]
        sides = [(f"side-{zone}-1", "agent", zone) for zone in ZONES]
        for number, (name, role, zone) in enumerate([*cores, *edges, *sides], 10):
            self._add(name, role, zone, f"{self.prefix}.1.{number}")
        for node in self.nodes.values():
            self._write_settings(node, self.role("controller"), bootstrap=True)

    def role(self, role: str) -> list[Node]:
        """Return the nodes of a role."""
        return [node for node in self.nodes.values() if node.role == role]

    def start(self) -> None:
        """Start all processes."""
        for node in self.nodes.values():
            self._start(node)

    def add_controller(self, zone: str, seeds: list[Node]) -> Node:
        """Start a controller with an empty disk at a new address, as one that joins later."""
        node = self._add(f"core-{zone}-2", "controller", zone, f"{self.prefix}.1.99")
        self._write_settings(node, [*seeds, node], bootstrap=False)
        self._start(node)
        return node

    def signal(self, node: Node, number: signal.Signals) -> None:
        """Send a signal to a process of this deployment."""
        assert node.process is not None
        self.record.write(f"signal {number.name} to {node.name}")
        node.process.send_signal(number)

    def stop(self) -> None:
        """End all processes and remove the folder."""
        self._stopping = True
        for node in self.nodes.values():
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def ended(self) -> list[str]:
        """Return the names of processes that have ended by themselves."""
        return [
            node.name
            for node in self.nodes.values()
            if node.process is not None and node.process.poll() is not None
        ]

    def _add(self, name: str, role: str, zone: str, ip: str) -> Node:
        settings = self.folder / f"{name}.ini"
        node = Node(name=name, role=role, zone=zone, ip=ip, settings=settings)
        self.nodes[name] = node
        return node

    def _write_settings(self, node: Node, seeds: list[Node], bootstrap: bool) -> None:
        template = (ROOT / self.deploy["roles"][node.role]["template"]).read_text("utf-8")
        data_folder = self.folder / f"{node.name}.data"
        data_folder.mkdir()
        fields = {
            "nodeName": node.name,
            "zone": node.zone,
            "ip": node.ip,
            "internalPorts": INTERNAL_PORTS,
            "seeds": [f"{seed.ip}:{CONTROL_PORT}" for seed in seeds][:3],
            "bootstrap": bootstrap,
            "dataDir": str(data_folder),
            "app": f"{node.ip}:{APP_PORT}",
            "service": SERVICE,
            "listen": {
                "control": f"{node.ip}:{CONTROL_PORT}",
                "ready": f"{node.ip}:{READY_PORT}",
                "outbound": f"{node.ip}:{OUTBOUND_PORT}",
                "datagramAddr": f"{node.ip}:{DATAGRAM_PORT}",
            },
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "limits": {"linkMbps": 1000.0},
            "bounds": BOUNDS,
        }
        node.settings.write_text(render(template, fields), encoding="utf-8")

    def _start(self, node: Node) -> None:
        command = self.deploy["roles"][node.role]["run"].split()
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["LENTILCOURSE_SETTINGS"] = str(node.settings)
        log = (self.folder / f"{node.name}.log").open("ab")
        node.process = subprocess.Popen(command, cwd=ROOT, env=env, stdout=log, stderr=log)
        self.record.write(f"started {node.name} at {node.ip}")


def _free_prefix() -> str:
    """Return the first two parts of loopback addresses whose ports nobody uses."""
    ports = (CONTROL_PORT, READY_PORT, APP_PORT, OUTBOUND_PORT, DATAGRAM_PORT, METRICS_PORT)
    for _ in range(50):
        prefix = f"127.{20 + secrets.randbelow(200)}"
        try:
            for port in (*ports, *range(INTERNAL_PORTS[0], INTERNAL_PORTS[1] + 1)):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as sock:
                        sock.bind((f"{prefix}.1.10", port))
        except OSError:
            continue
        return prefix
    raise NotRunError("no free loopback addresses")


# HTTP calls.


def call(
    ip: str, method: str, path: str, body: bytes | None = None, timeout_s: float = ANSWER_TIMEOUT_S
) -> int:
    """Send one call to a control address; returns the status, 0 without an answer."""
    conn = HTTPConnection(ip, CONTROL_PORT, timeout=timeout_s)
    try:
        headers = {"Content-Type": "application/json"} if body is not None else {}
        conn.request(method, path, body=body, headers=headers)
        response = conn.getresponse()
        response.read()
        return response.status
    except (OSError, HTTPException):
        return 0
    finally:
        conn.close()


class Operator:
    """The operator: sends an order to a node, then to others until there is a clear answer."""

    def __init__(self, *, record: Record, ips: list[str]) -> None:
        self._record = record
        self._ips = ips

    def order(
        self, method: str, path: str, body: bytes | None = None, first: int = 0, for_s: float = 5.0
    ) -> tuple[int, float]:
        """Send an order until a 2xx or a final 4xx; returns the status and the time of it.

        A 400, 409, 412, 413 or 422 ends it at once, any other 4xx at the third attempt.
        """
        deadline = time.monotonic() + for_s
        attempt, pause_s, other_4xx = first, 0.1, 0
        while True:
            ip = self._ips[attempt % len(self._ips)]
            self._record.write(f"operator sends {method} {path} to {ip}")
            status = call(ip, method, path, body)
            now = time.monotonic()
            self._record.write(f"operator gets {status or 'no answer'} for {method} {path}")
            other_4xx += 400 <= status < 500 and status not in (408, 429)
            final = status in (400, 409, 412, 413, 422) or other_4xx >= 3
            if 200 <= status < 300 or final or now >= deadline:
                return status, now
            time.sleep(pause_s)
            pause_s = min(2 * pause_s, 1.0)
            attempt += 1


def document(version: int, **route: Any) -> dict[str, Any]:
    """Return a valid configuration with one route; `route` overrides fields of it."""
    fields = {
        "name": "r-feed",
        "hostname": ENTRY[0],
        "pathPrefix": f"/{ENTRY[1]}/",
        "routeType": "safe",
        "timeoutMs": 500,
        "targetLatencyMs": 100,
        "priority": 2,
        "service": SERVICE,
        "maxAttempts": 2,
    }
    service = {
        "name": SERVICE,
        "healthPath": "/health",
        "maxConns": 2000,
        "protocol": "h1",
        "tls": False,
        "coldStartS": 2.0,
        "coldPerS": 0.0,
    }
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 262144,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {
        "version": version,
        "routes": [{**fields, **route}],
        "services": [service],
        "limits": limits,
    }


def encoded(value: dict[str, Any]) -> bytes:
    """Return a JSON body."""
    return json.dumps(value).encode()


# Packets.


def pack(  # noqa: D103 - the fields of the header, in the words of the protocol
    *,
    src: tuple[str, int],
    dst: tuple[str, int],
    flags: int,
    seq: int = 0,
    ack: int = 0,
    data: bytes = b"",
) -> bytes:
    ends = (socket.inet_aton(src[0]), src[1], socket.inet_aton(dst[0]), dst[1])
    keyed = HEAD.pack(0x5EED, seq, ack, flags, bytes(3), len(data), 0, *ends) + data
    return HEAD.pack(zlib.crc32(keyed), seq, ack, flags, bytes(3), len(data), 0, *ends) + data


class Packet:
    """A parsed packet."""

    def __init__(self, raw: bytes) -> None:
        self.raw = raw
        head = HEAD.unpack_from(raw)
        self.sum, self.seq, self.ack, self.flags = head[:4]
        self.src = (socket.inet_ntoa(head[7]), head[8])
        self.dst = (socket.inet_ntoa(head[9]), head[10])
        self.data = raw[HEAD.size :]


class Server:
    """A server on a side machine: heartbeats, flows, and requests that it answers at once."""

    def __init__(self, *, record: Record, node: Node) -> None:
        self.id = f"i-{secrets.token_hex(4)}"
        self.zone = node.zone
        self.taken: list[tuple[float, tuple[str, int]]] = []
        self._record = record
        self._ip = node.ip
        self._born = int(time.time() * 1000)
        self._flows: dict[tuple[str, int], int] = {}
        self._open: set[tuple[str, int]] = set()
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((node.ip, APP_PORT))
        self._stopped = threading.Event()
        threading.Thread(target=self._beat, daemon=True).start()
        threading.Thread(target=self._serve, daemon=True).start()

    def stop(self) -> None:
        """End the server."""
        self._stopped.set()

    def _beat(self) -> None:
        sequence = 0
        while not self._stopped.is_set():
            sequence += 1
            body = {
                "service": SERVICE,
                "address": f"{self._ip}:{APP_PORT}",
                "zone": self.zone,
                "version": "v1",
                "slots": 1,
                "state": "ready",
                "coldLeftMs": 0,
                "sequence": sequence,
                "born": self._born,
            }
            call(self._ip, "PUT", f"/instances/{self.id}", encoded(body))
            self._stopped.wait(HEARTBEAT_S)

    def _serve(self) -> None:
        self._sock.settimeout(0.25)
        while not self._stopped.is_set():
            try:
                raw = self._sock.recv(2048)
            except TimeoutError:
                continue
            self._on_packet(Packet(raw))

    def _on_packet(self, packet: Packet) -> None:
        client = packet.src
        if packet.flags & FLAG_SYN:
            if client not in self._flows:
                self._flows[client] = secrets.randbelow(2**31)
                self.taken.append((time.monotonic(), client))
                self._record.write(f"server {self.id} in {self.zone} takes SYN of {client}")
            self._send(packet, FLAG_SYN | FLAG_ACK, self._flows[client], packet.seq + 1)
            return
        if client not in self._flows:
            raw = bytearray(packet.raw)
            raw[12] |= FLAG_BOUNCED
            raw[13:16] = bytes(3)
            self._sock.sendto(bytes(raw), (self._ip, OUTBOUND_PORT))
            return
        seq = self._flows[client] + 1
        if packet.data:
            ack = packet.seq + len(packet.data)
            self._record.write(f"server {self.id} in {self.zone} runs {packet.data.decode()}")
            self._send(packet, FLAG_ACK | FLAG_FIN, seq, ack, b"done " + packet.data)
        if packet.flags & FLAG_FIN:
            self._send(packet, FLAG_ACK, seq + 1, packet.seq + 1)

    def _send(self, packet: Packet, flags: int, seq: int, ack: int, data: bytes = b"") -> None:
        raw = pack(src=packet.dst, dst=packet.src, flags=flags, seq=seq, ack=ack, data=data)
        self._sock.sendto(raw, (self._ip, OUTBOUND_PORT))


class Client:
    """A client that opens a flow for each request."""

    def __init__(self, *, record: Record, prefix: str, balancer: Node) -> None:
        self._record = record
        self._balancer = (balancer.ip, DATAGRAM_PORT)
        self._ip = f"{prefix}.9.1"
        self._port = 20000
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((self._ip, DATAGRAM_PORT))

    def request(self, name: str) -> tuple[str, float, tuple[str, int]]:
        """Send one request; returns how it ended, when it was sent, and the client's end."""
        self._port += 1
        end = (self._ip, self._port)
        seq = secrets.randbelow(2**31)
        began = time.monotonic()
        self._record.write(f"client {end} opens a flow for {name}")
        outcome = self._exchange(end, seq, name.encode(), began)
        self._record.write(f"client {end} ends {name}: {outcome}")
        return outcome, began, end

    def _exchange(self, end: tuple[str, int], seq: int, data: bytes, began: float) -> str:
        copies = 0
        while (now := time.monotonic()) - began < SYN_TIMEOUT_S:
            if copies < len(SYN_COPIES_S) and now - began >= SYN_COPIES_S[copies]:
                self._send(end, FLAG_SYN, seq, copies)
                copies += 1
            packet = self._receive(end, 0.02)
            if packet is None:
                continue
            if packet.flags & FLAG_RST:
                return "reset"
            if packet.flags & FLAG_SYN:
                self._send(end, FLAG_ACK, seq + 1, packet.seq + 1, data)
                return self._await_answer(end, seq + 1, packet.seq + 1, data)
        return "no answer to SYN"

    def _await_answer(self, end: tuple[str, int], seq: int, ack: int, data: bytes) -> str:
        deadline, resend_at = time.monotonic() + 1.0, time.monotonic() + 0.2
        while time.monotonic() < deadline:
            packet = self._receive(end, 0.02)
            if packet is not None and packet.flags & FLAG_RST:
                return "reset"
            if packet is not None and packet.data:
                self._send(end, FLAG_ACK | FLAG_FIN, seq + len(data), packet.seq + 1)
                return "answered"
            if time.monotonic() >= resend_at:
                self._send(end, FLAG_ACK, seq, ack, data)
                resend_at += 0.4
        return "no answer"

    def _send(
        self, end: tuple[str, int], flags: int, seq: int, ack: int, data: bytes = b""
    ) -> None:
        raw = pack(src=end, dst=ENTRY, flags=flags, seq=seq, ack=ack, data=data)
        self._sock.sendto(raw, self._balancer)

    def _receive(self, end: tuple[str, int], timeout_s: float) -> Packet | None:
        self._sock.settimeout(timeout_s)
        try:
            packet = Packet(self._sock.recv(2048))
        except TimeoutError:
            return None
        return packet if packet.dst == end else None


# Running a case.


def wait_for(check: Callable[[], bool], timeout_s: float, what: str) -> None:
    """Wait until a check holds; raises `NotRunError` after the timeout."""
    deadline = time.monotonic() + timeout_s
    while not check():
        if time.monotonic() >= deadline:
            raise NotRunError(f"not in time: {what}")
        time.sleep(0.1)


def is_ready(node: Node) -> bool:
    """Return whether a balancer says that it is ready."""
    conn = HTTPConnection(node.ip, READY_PORT, timeout=1.0)
    try:
        conn.request("GET", "/healthz")
        return conn.getresponse().status == 200
    except (OSError, HTTPException):
        return False
    finally:
        conn.close()


def _stop_case(number: int, frame: object) -> None:
    """End the case early, so that its processes are ended with it."""
    raise NotRunError(f"stopped by {signal.Signals(number).name}")


def run_case(folder: Path, case: Callable[[Record, Deployment, bool], bool]) -> int:
    """Run a case with or without its trouble; returns the exit status of the script."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    if not (ROOT / "target" / "deps" / ".installed").exists():
        record.say("run the build command of deploy/system.toml first")
        return EXIT_NOT_RUN
    for number in STOP_SIGNALS:
        signal.signal(number, _stop_case)
    try:
        deployment = Deployment(record)
    except NotRunError as exc:
        record.say(f"not run: {exc}")
        return EXIT_NOT_RUN
    try:
        record.write(f"trouble: {trouble}")
        deployment.start()
        held = case(record, deployment, trouble)
    except Exception as exc:
        record.say(f"not run: {type(exc).__name__}: {exc}")
        return EXIT_NOT_RUN
    finally:
        for number in STOP_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        deployment.stop()
    record.say("the rule held" if held else "the rule was BROKEN")
    return EXIT_HELD if held else EXIT_BROKEN


if __name__ == "__main__":
    sys.exit("a library of the scripts in this folder")
