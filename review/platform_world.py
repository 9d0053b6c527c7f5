"""Stand-ins for the cases of the second review: platform, operator, servers and clients.

Starts the project's programs with the commands and templates of `deploy/system.toml` on loopback
addresses, and speaks what PROTOCOL.md of the users' pages says: packets of 34 bytes and data over
UDP, heartbeats and operator's calls over HTTP. Every process is ended by its own handle.
"""

from __future__ import annotations

import json
import os
import random
import re
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
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HEAD = struct.Struct(">IIIB3sHI4sH4sH")
SYN, ACK, FIN, RST, BOUNCED = 64, 4, 8, 2, 32
SUM_KEY = b"stand-in"
RESET_WINDOW = 76_800

CONTROL_PORT, READY_PORT, DATAGRAM_PORT, OUTBOUND_PORT, APP_PORT = 8166, 8167, 8172, 8173, 8627
INTERNAL_PORTS = (7720, 7735)
HEARTBEAT_S = 0.77
GRACE_S = 6.0
SYN_COPIES_S = (0.2, 0.6)
SYN_TIMEOUT_S = 1.4
OPERATOR_TIMEOUT_S = 1.0
BOUNDS = {
    "addrReuseS": 2,
    "stableWindowMs": 4000,
    "ackMs": 5000,
    "drainMs": 3000,
    "configApplyMs": 3000,
    "evacuateMs": 5000,
    "coldOverrun": 1.5,
    "coldSlack": 5,
    "maxFlowS": 60,
}


class EarlyStop:
    """Ends a case on SIGTERM: once, and not while its main thread starts a process."""

    def __init__(self) -> None:
        self.asked = False
        self._held = False

    def install(self) -> None:
        """Handle SIGTERM from now on."""
        signal.signal(signal.SIGTERM, self._on_signal)

    def __enter__(self) -> None:
        if threading.current_thread() is threading.main_thread():
            self._held = True

    def __exit__(self, *exc_info: object) -> None:
        if threading.current_thread() is threading.main_thread():
            self._held = False
            if self.asked:
                sys.exit(2)

    def _on_signal(self, number: int, frame: object) -> None:
        """Ignore further signals: `timeout` sends one to the case and one to its group."""
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        self.asked = True
        if not self._held:
            sys.exit(2)


EARLY_STOP = EarlyStop()


class CannotRunError(Exception):
    """The deployment did not come to serve, so the case says nothing."""


class Packet:
    """A packet as its sender wrote it; `sum` covers all but echo, pad and BOUNCED."""

    def __init__(self, raw: bytes) -> None:
        self.raw = raw
        fields = HEAD.unpack_from(raw)
        self.sum, self.seq, self.ack, self.flags, self.pad, self.length, self.echo = fields[:7]
        self.src, self.sport, self.dst, self.dport = fields[7:]
        self.data = raw[HEAD.size :]

    @property
    def sender(self) -> tuple[bytes, int]:
        """Address of the sender's end."""
        return self.src, self.sport

    @property
    def receiver(self) -> tuple[bytes, int]:
        """Address of the other end."""
        return self.dst, self.dport

    def is_genuine(self) -> bool:
        """Return whether the sum is the sender's."""
        return self.sum == keyed_sum(
            self.seq, self.ack, self.flags, self.data, self.sender, self.receiver
        )

    def returned(self) -> bytes:
        """Return the packet with BOUNCED set and pad cleared."""
        head = bytearray(self.raw[: HEAD.size])
        head[12] |= BOUNCED
        head[13:16] = b"\0\0\0"
        return bytes(head) + self.data


def keyed_sum(
    seq: int, ack: int, flags: int, data: bytes, sender: tuple[bytes, int], to: tuple[bytes, int]
) -> int:
    """Return the keyed sum of a packet, never 0."""
    head = struct.pack(">IIBH", seq, ack, flags & ~BOUNCED, len(data))
    ends = sender[0] + struct.pack(">H", sender[1]) + to[0] + struct.pack(">H", to[1])
    return zlib.crc32(SUM_KEY + head + ends + data) or 1


def build_packet(
    flags: int, seq: int, ack: int, sender: tuple[bytes, int], to: tuple[bytes, int], data: bytes
) -> bytes:
    """Return the bytes of a packet."""
    total = keyed_sum(seq, ack, flags, data, sender, to)
    head = HEAD.pack(total, seq, ack, flags, b"\0\0\0", len(data), 0, *sender, *to)
    return head + data


class Record:
    """Lines of `record.txt`, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._started = time.monotonic()

    def line(self, text: str) -> None:
        """Write a line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started:9.3f} {text}\n")
            self._file.flush()


class Program:
    """One of the project's processes, on its own loopback address."""

    def __init__(self, world: World, role: str, name: str, ip: str, zone: str, **more: Any) -> None:
        self.world, self.role, self.name, self.ip, self.zone = world, role, name, ip, zone
        self.folder = world.folder / name
        self.folder.mkdir()
        self._more = more
        self._process: subprocess.Popen[bytes] | None = None

    def start(self, bootstrap: bool = False) -> None:
        """Start the process with the command of the deploy file."""
        deploy = self.world.deploy["roles"][self.role]
        template = (ROOT / deploy["template"]).read_text()
        settings = self.folder / "local.ini"
        settings.write_text(render(template, self._fields(bootstrap)))
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["LENTILCOURSE_SETTINGS"] = str(settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with EARLY_STOP, self.world.starting, (self.folder / "log").open("ab") as log:
            if self.world.over.is_set():
                return
            self._process = subprocess.Popen(
                deploy["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.world.record.line(f"start {self.name} at {self.ip}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self.world.record.line(f"{number.name} to {self.name}")
        self._process.send_signal(number)

    def wait_end(self, timeout_s: float) -> int | None:
        """Return the exit status, None if the process still runs after a time."""
        assert self._process is not None
        try:
            return self._process.wait(timeout=timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def stop(self) -> None:
        """Stop it as planned: SIGTERM, and SIGKILL after the grace time."""
        self.signal(signal.SIGTERM)
        if self.wait_end(GRACE_S) is None:
            self.end()

    def end(self) -> None:
        """Kill the process if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()

    def is_ready(self) -> bool:
        """Return whether its health check answers 200."""
        return call(self.ip, READY_PORT, "GET", "/healthz", timeout_s=0.4)[0] == 200

    def _fields(self, bootstrap: bool) -> dict[str, Any]:
        return {
            "nodeName": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "internalPorts": list(INTERNAL_PORTS),
            "seeds": [f"{each.ip}:{CONTROL_PORT}" for each in self.world.controllers],
            "bootstrap": bootstrap,
            "listen": {
                "datagramAddr": f"{self.ip}:{DATAGRAM_PORT}",
                "ready": f"{self.ip}:{READY_PORT}",
                "control": f"{self.ip}:{CONTROL_PORT}",
                "outbound": f"{self.ip}:{OUTBOUND_PORT}",
            },
            "limits": {"linkMbps": 1000.0},
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "dataDir": str(self.folder / "data"),
            **self._more,
        }


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a settings template: values, lists, and sections on a value that is true or not."""

    def section(found: re.Match[str]) -> str:
        kind, name, inner = found.groups()
        return inner if bool(look_up(name)) == (kind == "#") else ""

    def look_up(name: str) -> Any:
        value: Any = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    def value(found: re.Match[str]) -> str:
        filled = look_up(found.group(1))
        return ",".join(map(str, filled)) if isinstance(filled, list) else str(filled)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


def call(
    host: str, port: int, method: str, path: str, body: bytes | None = None, timeout_s: float = 1.0
) -> tuple[int, bytes]:
    """Make one HTTP call; returns status 0 if there is no answer."""
    conn = HTTPConnection(host, port, timeout=timeout_s)
    try:
        conn.request(method, path, body, {"Content-Type": "application/json"} if body else {})
        answer = conn.getresponse()
        return answer.status, answer.read()
    except (OSError, HTTPException):
        return 0, b""
    finally:
        conn.close()


class Server:
    """A sound server beside an agent: heartbeats, flows, and the requests that it has run."""

    def __init__(
        self, world: World, agent: Program, service: str, server_id: str, cold_s: float = 0.0
    ) -> None:
        self.world, self.agent, self.service, self.server_id = world, agent, service, server_id
        self.ran: list[tuple[str, str, float]] = []
        self.taken: list[tuple[tuple[bytes, int, bytes, int], int, float]] = []
        self.arrivals: list[tuple[tuple[bytes, int, bytes, int], float]] = []
        self.cold_until = time.monotonic() + cold_s
        self.draining = False
        self.born_ms = time.time_ns() // 1_000_000
        self._sequence = 0
        self._flows: dict[tuple[bytes, int, bytes, int], dict[str, Any]] = {}
        self._ended: set[tuple[bytes, int, bytes, int]] = set()
        self._stop = threading.Event()
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((agent.ip, APP_PORT))
        self._sock.settimeout(0.1)
        for task in (self._receive, self._announce):
            world.spawn(task)

    @property
    def open_flows(self) -> int:
        """Number of flows whose handshake has ended here."""
        return sum(flow["open"] for flow in self._flows.values())

    def holds(self, flow: tuple[bytes, int, bytes, int]) -> bool:
        """Return whether a flow is open here."""
        held = self._flows.get(flow)
        return held is not None and bool(held["open"])

    def heartbeat(self) -> int:
        """Say once that this server is there; returns the status of the answer."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": f"{self.agent.ip}:{APP_PORT}",
            "zone": self.agent.zone,
            "version": "v1",
            "slots": 3,
            "state": "draining" if self.draining else "ready",
            "coldLeftMs": max(0, int((self.cold_until - time.monotonic()) * 1000)),
            "sequence": self._sequence,
            "born": self.born_ms,
        }
        path = f"/instances/{self.server_id}"
        status, _ = call(
            self.agent.ip, CONTROL_PORT, "PUT", path, json.dumps(body).encode(), timeout_s=1.0
        )
        return status

    def end(self) -> None:
        """End the server; its flows are gone."""
        self._stop.set()

    def _announce(self) -> None:
        while not self._stop.is_set() and not self.world.over.is_set():
            self.heartbeat()
            self._stop.wait(timeout=HEARTBEAT_S)

    def _receive(self) -> None:
        while not self._stop.is_set() and not self.world.over.is_set():
            try:
                raw = self._sock.recv(2048)
            except TimeoutError:
                continue
            self._on_packet(Packet(raw))
        self._sock.close()

    def _send(self, raw: bytes) -> None:
        self._sock.sendto(raw, (self.agent.ip, OUTBOUND_PORT))

    def _on_packet(self, packet: Packet) -> None:
        if not packet.is_genuine():
            self.world.record.line(f"{self.server_id} gets a packet that its sender did not write")
            return
        key = (*packet.sender, *packet.receiver)
        flow = self._flows.get(key)
        if not packet.flags & SYN:
            self.arrivals.append((key, time.monotonic()))
        if packet.flags & SYN:
            self._on_syn(packet, key, flow)
        elif flow is not None:
            self._on_flow(packet, key, flow)
        elif key not in self._ended:
            self._send(packet.returned())
        elif packet.flags & FIN:
            self._send(
                build_packet(ACK, packet.ack, packet.seq, packet.receiver, packet.sender, b"")
            )
        elif packet.data:
            reset = build_packet(RST, packet.ack, 0, packet.receiver, packet.sender, b"")
            self._send(reset)

    def _on_syn(self, packet: Packet, key: Any, flow: dict[str, Any] | None) -> None:
        if flow is None:
            flow = {"isn": random.randrange(2**31), "open": False, "answers": {}}
            self._flows[key] = flow
            self._ended.discard(key)
            self.taken.append((key, packet.ack, time.monotonic()))
        accept = build_packet(
            SYN | ACK, flow["isn"], packet.seq + 1, packet.receiver, packet.sender, b""
        )
        self._send(accept)

    def _on_flow(self, packet: Packet, key: Any, flow: dict[str, Any]) -> None:
        if packet.flags & RST:
            self._forget(key)
            return
        if not flow["open"]:
            if packet.ack != flow["isn"] + 1:
                self._send(packet.returned())
                return
            flow["open"] = True
        if packet.data:
            if packet.seq not in flow["answers"]:
                flow["answers"][packet.seq] = self._run(packet)
            answer = flow["answers"][packet.seq]
            seq, ack = packet.ack, packet.seq + len(packet.data)
            self._send(build_packet(ACK, seq, ack, packet.receiver, packet.sender, answer))
        if packet.flags & FIN:
            self._forget(key)
            end = build_packet(
                FIN | ACK, packet.ack, packet.seq + 1, packet.receiver, packet.sender, b""
            )
            self._send(end)

    def _forget(self, key: Any) -> None:
        self._flows.pop(key, None)
        self._ended.add(key)

    def _run(self, packet: Packet) -> bytes:
        head, _, _ = packet.data.partition(b"\r\n\r\n")
        request_id = re.search(rb"Request-Id: (\S+)", head)
        text = request_id.group(1).decode() if request_id else "?"
        entry = f"{socket.inet_ntoa(packet.dst)}:{packet.dport}"
        self.ran.append((text, entry, time.monotonic()))
        self.world.record.line(f"{self.server_id} ({self.service}) runs {text} sent to {entry}")
        stamp = f"HTTP/1.1 200 OK\r\nServer-Stamp: {self.server_id}/{text}\r\n"
        return f"{stamp}Content-Length: 2\r\n\r\nok".encode()


class Flow:
    """A client's flow: `state` is opening, open, reset, silent or closed."""

    def __init__(self, client: Client, sport: int, entry: tuple[bytes, int]) -> None:
        self.client = client
        self.sender = (socket.inet_aton(client.ip), sport)
        self.entry = entry
        self.state = "opening"
        self.reset_by_system = False
        self.isn = random.randrange(2**30)
        self.next_seq = self.isn + 1
        self.last_ack = 0
        self.answer: bytes | None = None
        self.opening_sent_at: list[float] = []
        self.changed = threading.Condition()

    @property
    def key(self) -> tuple[bytes, int, bytes, int]:
        """Key of the flow: both ends."""
        return (*self.sender, *self.entry)

    def open(self) -> str:
        """Open the flow; returns its state."""
        began = time.monotonic()
        due = [0.0, *SYN_COPIES_S]
        with self.changed:
            for attempt, at in enumerate(due):
                self._wait(lambda: self.state != "opening", began + at)
                if self.state != "opening":
                    return self.state
                self.opening_sent_at.append(time.monotonic())
                self._send(SYN, self.isn, attempt, b"")
            self._wait(lambda: self.state != "opening", began + SYN_TIMEOUT_S)
            if self.state == "opening":
                self.state = "silent"
            return self.state

    def request(self, request_id: str, deadline_s: float) -> bytes | None:
        """Send a request and return the answer, None if there is none by the deadline."""
        head = f"POST /order HTTP/1.1\r\nHost: x\r\nRequest-Id: {request_id}\r\n"
        data = f"{head}Content-Length: 5\r\n\r\norder".encode()
        until = time.monotonic() + deadline_s
        pause_s = 0.2
        with self.changed:
            self.answer = None
            seq = self.next_seq
            while self.answer is None and self.state == "open" and time.monotonic() < until:
                self._send(ACK, seq, self.last_ack, data)
                self._wait(
                    lambda: self.answer is not None or self.state != "open",
                    min(until, time.monotonic() + pause_s),
                )
                pause_s = min(1.6, 2 * pause_s)
            if self.answer is not None:
                self.next_seq = seq + len(data)
                self.last_ack += len(self.answer)
                self._send(ACK, self.next_seq, self.last_ack, b"")
            return self.answer

    def close(self) -> None:
        """Close the flow."""
        with self.changed:
            if self.state == "open":
                self._send(FIN | ACK, self.next_seq, self.last_ack, b"")
                self.state = "closed"

    def on_packet(self, packet: Packet) -> None:
        """Handle a packet for this end."""
        with self.changed:
            if packet.flags & RST:
                self._on_reset(packet)
            elif packet.flags & SYN and self.state == "opening":
                self.state = "open"
                self.last_ack = packet.seq + 1
                self._send(ACK, self.next_seq, self.last_ack, b"")
            elif packet.data and packet.ack > self.next_seq:
                self.answer = packet.data
            self.changed.notify_all()

    def _on_reset(self, packet: Packet) -> None:
        by_system = packet.sum == 0
        if by_system and self.state == "open":
            if abs(packet.seq - self.last_ack) > RESET_WINDOW:
                return
        elif not by_system and not packet.is_genuine():
            return
        if self.state in ("opening", "open"):
            self.reset_by_system = by_system
            self.state = "reset"

    def _wait(self, condition: Callable[[], bool], until: float) -> None:
        self.changed.wait_for(condition, timeout=max(0.0, until - time.monotonic()))

    def _send(self, flags: int, seq: int, ack: int, data: bytes) -> None:
        self.client.send(build_packet(flags, seq, ack, self.sender, self.entry, data))


class Client:
    """A client machine; its packets enter through the routers."""

    def __init__(self, world: World, ip: str) -> None:
        self.world, self.ip = world, ip
        self._next_port = 40000
        self._flows: dict[int, Flow] = {}
        self._lock = threading.Lock()
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((ip, DATAGRAM_PORT))
        self._sock.settimeout(0.1)
        world.spawn(self._receive)

    def flow(self, entry: str) -> Flow:
        """Return a new flow from a new port to an entry, IP:PORT."""
        host, _, port = entry.partition(":")
        with self._lock:
            self._next_port += 1
            flow = Flow(self, self._next_port, (socket.inet_aton(host), int(port)))
            self._flows[self._next_port] = flow
        return flow

    def send(self, raw: bytes) -> None:
        """Send a packet through the routers."""
        balancer = self.world.routers.choose(raw)
        if balancer is not None and not self.world.over.is_set():
            self._sock.sendto(raw, (balancer.ip, DATAGRAM_PORT))

    def _receive(self) -> None:
        while not self.world.over.is_set():
            try:
                packet = Packet(self._sock.recv(2048))
            except TimeoutError:
                continue
            flow = self._flows.get(packet.dport)
            if flow is not None:
                flow.on_packet(packet)
        self._sock.close()


class Routers:
    """The platform's routers: steady hashing over the balancers in rotation."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._misses: dict[str, int] = {}
        world.spawn(self._probe)

    def in_rotation(self) -> list[Program]:
        """Return the balancers in rotation, all of them if there is none."""
        balancers = self._world.balancers
        ready = [each for each in balancers if self._misses.get(each.name, 2) < 2]
        return ready if 2 * len(ready) >= len(balancers) else list(balancers)

    def choose(self, raw: bytes) -> Program | None:
        """Return the balancer for a packet."""
        ends = raw[22:34]
        return max(
            self.in_rotation(), key=lambda each: zlib.crc32(ends + each.name.encode()), default=None
        )

    def _probe(self) -> None:
        while not self._world.over.wait(timeout=0.5):
            for each in self._world.balancers:
                misses = 0 if each.is_ready() else self._misses.get(each.name, 2) + 1
                self._misses[each.name] = misses


class World:
    """A small deployment with its stand-ins; use as a context manager."""

    def __init__(self, case: Path, services: dict[str, int], balancers: int = 2) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(case / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="lentilcourse-review-"))
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.over = threading.Event()
        self.starting = threading.Lock()
        self._threads: list[threading.Thread] = []
        self.prefix = free_prefix()
        self.controllers: list[Program] = []
        for number in range(1, 4):
            ip = f"{self.prefix}.0.{number}"
            self.controllers.append(Program(self, "controller", f"core-{number}", ip, zone(number)))
        self.balancers = [
            Program(self, "balancer", f"edge-{n}", f"{self.prefix}.1.{n}", zone(n))
            for n in range(1, balancers + 1)
        ]
        self.agents: list[Program] = []
        self.servers: list[Server] = []
        self._plan = [name for name, count in services.items() for _ in range(count)]
        self.routers = Routers(self)
        self.cold_start_s = 2.0
        self.cold_per_s = 0.0
        self._version = 0

    def __enter__(self) -> World:
        return self

    def __exit__(self, *exc_info: object) -> None:
        with self.starting:
            self.over.set()
        for each in (*self.controllers, *self.balancers, *self.agents):
            each.end()
        for thread in self._threads:
            thread.join(timeout=5.0)
        shutil.rmtree(self.folder, ignore_errors=True)

    def spawn(self, task: Callable[[], None]) -> threading.Thread:
        """Run a task in a thread that ends with the world."""
        thread = threading.Thread(target=task, daemon=True)
        self._threads.append(thread)
        thread.start()
        return thread

    def start(self, routes: dict[str, str]) -> None:
        """Start everything and wait until it serves; `routes` are services by entry."""
        for each in self.controllers:
            each.start(bootstrap=True)
        for each in self.balancers:
            each.start(bootstrap=True)
        for service in self._plan:
            self.add_agent(service, bootstrap=True)
        for agent, service in zip(self.agents, self._plan, strict=True):
            self.add_server(agent, service)
        self.publish(routes)
        self.wait(lambda: all(each.is_ready() for each in self.balancers), 20.0, "balancers")
        time.sleep(2.5)

    def add_agent(self, service: str, bootstrap: bool = False) -> Program:
        """Start another machine for a server of a service, with its agent."""
        number = len(self.agents) + 1
        ip = f"{self.prefix}.2.{number}"
        more = {"app": f"{ip}:{APP_PORT}", "service": service}
        agent = Program(self, "agent", f"side-{number}", ip, zone(number), **more)
        agent.start(bootstrap=bootstrap)
        self.agents.append(agent)
        return agent

    def add_server(self, agent: Program, service: str, cold_s: float = 0.0) -> Server:
        """Start a server beside an agent."""
        server = Server(self, agent, service, f"i-{len(self.servers) + 1:04d}", cold_s)
        self.servers.append(server)
        self.record.line(f"start server {server.server_id} of {service} beside {agent.name}")
        return server

    def wait(self, condition: Callable[[], bool], timeout_s: float, what: str) -> None:
        """Wait for a condition; raises `CannotRunError` after a time."""
        until = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > until:
                raise CannotRunError(f"not within {timeout_s} s: {what}")
            time.sleep(0.05)

    def document(self, routes: dict[str, str], **limits: int) -> dict[str, Any]:
        """Return the next configuration."""
        self._version += 1
        return {
            "version": self._version,
            "routes": [
                {
                    "name": f"r-{number}",
                    "hostname": entry.partition(":")[0],
                    "pathPrefix": f"/{entry.partition(':')[2]}/",
                    "routeType": "unsafe",
                    "timeoutMs": 1200,
                    "targetLatencyMs": 200,
                    "priority": 1,
                    "service": service,
                    "maxAttempts": 2,
                }
                for number, (entry, service) in enumerate(routes.items())
            ],
            "services": [
                {
                    "name": name,
                    "healthPath": "/health",
                    "maxConns": 2000,
                    "protocol": "h1",
                    "tls": False,
                    "coldStartS": self.cold_start_s,
                    "coldPerS": self.cold_per_s,
                }
                for name in dict.fromkeys(self._plan)
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
                **limits,
            },
        }

    def publish(self, routes: dict[str, str]) -> None:
        """Publish a configuration; returns once it is acknowledged."""
        body = json.dumps(self.document(routes)).encode()
        if self.order("PUT", "/config", body, 25.0) != 200:
            raise CannotRunError("the configuration was not acknowledged")

    def order(self, method: str, path: str, body: bytes | None, timeout_s: float) -> int:
        """Give an order as the operator does: again and to other nodes until it is answered."""
        until = time.monotonic() + timeout_s
        number = 0
        while time.monotonic() < until:
            node = self.controllers[number % len(self.controllers)]
            number += 1
            status, _ = call(node.ip, CONTROL_PORT, method, path, body, OPERATOR_TIMEOUT_S)
            self.record.line(f"operator: {method} {path} to {node.name}: {status or 'no answer'}")
            if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                return status
            time.sleep(0.1)
        return 0

    def entry(self, number: int, port: int = 443) -> str:
        """Return an address of the platform that clients use."""
        return f"{self.prefix}.18.{number}:{port}"

    def client(self, number: int) -> Client:
        """Return a client machine."""
        return Client(self, f"{self.prefix}.9.{number}")


def zone(number: int) -> str:
    """Return the zone of a machine."""
    return "luzon-" + "abc"[(number - 1) % 3]


def free_prefix() -> str:
    """Return the first two bytes of loopback addresses that nobody uses."""
    rng = random.Random()
    for _ in range(50):
        prefix = f"127.{rng.randrange(20, 250)}"
        try:
            for host, port in ((f"{prefix}.0.1", INTERNAL_PORTS[0]), (f"{prefix}.1.1", READY_PORT)):
                with socket.socket() as sock:
                    sock.bind((host, port))
        except OSError:
            continue
        return prefix
    raise CannotRunError("no free addresses")


def run_case(play: Callable[[], str]) -> None:
    """Play a case and exit: 1 if it returns what was broken, 0 if nothing, 2 if it can't run.

    A case that is stopped early ends its processes, too.
    """
    EARLY_STOP.install()
    try:
        broken = play()
    except CannotRunError as exc:
        print(f"cannot run: {exc}")
        sys.exit(2)
    print(broken or "the rule held")
    sys.exit(1 if broken else 0)
