"""Stand-in of a target: a UDP echo service and an HTTP service with a model of its speed.

It announces itself to its agent, can be cold (it then bears a fraction of its load and falls
over above it), counts every execution, and can be told over HTTP to lie about its load, turn
cold, drain or leave.
"""

from __future__ import annotations

import json
import os
import secrets
import signal
import socket
import sys
import threading
import time
from collections import Counter
from http.client import HTTPConnection, HTTPException
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, Final
from urllib.parse import parse_qs, urlsplit

import attrs
import defopt

ANNOUNCE_INTERVAL_S: Final = 0.3
COLD_BEARS: Final = 0.1
FALL_S: Final = 3.0
BASE_SERVICE_S: Final = 0.02
COLD_FACTOR: Final = 4.0
DRAIN_S: Final = 0.5
"""Time for which a target goes on serving once its agent knows that it leaves: requests that were
admitted before are on their way to it, and are not counted as running yet."""
LEAVE_POLL_S: Final = 0.05


@attrs.define(kw_only=True)
class TargetModel:
    """Speed, coldness and what was executed.

    Attributes:
        name: target.
        service: service that it offers.
        speed: relative speed.
        slots: requests that it runs at once.
        connections: flows that it holds.
        warm_at: time at which it is warm (monotonic seconds).
        fallen_until: time until which it answers nothing.
        journal: descriptor of the file that notes each execution; negative for none.
        reported: load to report instead of the true one; None to tell the truth.
    """

    name: str
    service: str
    speed: float
    slots: int
    connections: int
    incarnation: str
    warm_at: float
    journal: int = -1
    state: str = "serving"
    fallen_until: float = 0.0
    falls: int = 0
    reported: float | None = None
    running: int = 0
    most_running: int = 0
    busy_s: float = 0.0
    flows: set[tuple[str, int]] = attrs.field(factory=set)
    messages: int = 0
    executions: Counter[str] = attrs.field(factory=Counter)
    cancelled: int = 0
    shed: int = 0
    started_late: int = 0
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def service_s(self, size: float, now: float) -> float:
        """Return how long a request of relative `size` runs."""
        factor = COLD_FACTOR if now < self.warm_at else 1.0
        return BASE_SERVICE_S * size * factor / self.speed

    def bears_slots(self, now: float) -> int:
        """Return how many requests at once the target bears now."""
        if now < self.warm_at:
            return max(1, int(self.slots * COLD_BEARS))
        return self.slots

    def enter(self, now: float) -> bool:
        """Start a request; returns False if it is shed, and falls over under overload."""
        with self.lock:
            if now < self.fallen_until or self.running >= self.slots:
                self.shed += 1
                return False
            self.running += 1
            self.most_running = max(self.most_running, self.running)
            if self.running > self.bears_slots(now):
                self.fallen_until = now + FALL_S
                self.falls += 1
            return True

    def note_execution(self, token: str) -> None:
        """Count an execution, in memory and in the journal."""
        with self.lock:
            self.executions[token] += 1
        if self.journal >= 0:
            os.write(self.journal, f"{token}\n".encode())

    def leave(self, seconds: float) -> None:
        """End a request."""
        with self.lock:
            self.running -= 1
            self.busy_s += seconds

    def utilisation(self) -> float:
        """Return the load that is reported."""
        if self.reported is not None:
            return self.reported
        return self.running / self.slots

    def stats(self) -> dict[str, Any]:
        """Return all counts."""
        with self.lock:
            return {
                "name": self.name,
                "speed": self.speed,
                "slots": self.slots,
                "falls": self.falls,
                "running": self.running,
                "most_running": self.most_running,
                "busy_s": self.busy_s,
                "flows": len(self.flows),
                "messages": self.messages,
                "executions": dict(self.executions),
                "cancelled": self.cancelled,
                "shed": self.shed,
                "started_late": self.started_late,
            }


def serve_udp(model: TargetModel, sock: socket.socket) -> None:
    """Answer each datagram with the identity of this run and the payload."""
    prefix = f"{model.service}|{model.name}|{model.incarnation}|".encode()
    while True:
        payload, source = sock.recvfrom(65535)
        model.messages += 1
        model.flows.add(source)
        sock.sendto(prefix + str(source[1]).encode() + b"|" + payload, source)


def make_handler(model: TargetModel) -> type[BaseHTTPRequestHandler]:
    """Return the HTTP handler of a model."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def log_message(self, format: str, *args: object) -> None:
            """Write no log."""

        def do_GET(self) -> None:
            """Serve control and work."""
            url = urlsplit(self.path)
            if url.path == "/stats":
                self._reply(200, json.dumps(model.stats()).encode())
            elif url.path == "/load":
                self._reply(200, json.dumps({"utilisation": model.utilisation()}).encode())
            elif url.path == "/health":
                self._reply(200, b'{"health": "ok"}')
            elif url.path.startswith("/control/"):
                self._control(url.path, parse_qs(url.query))
            else:
                self._work(parse_qs(url.query), b"")

        def do_POST(self) -> None:
            """Serve work with a body."""
            length = int(self.headers.get("Content-Length", "0"))
            self._work(parse_qs(urlsplit(self.path).query), self.rfile.read(length))

        def _control(self, path: str, query: dict[str, list[str]]) -> None:
            value = float(query.get("value", ["0"])[0])
            if path == "/control/cold":
                model.warm_at = time.monotonic() + value
            elif path == "/control/report":
                model.reported = value
            elif path == "/control/drain":
                model.state = "draining"
            self._reply(200, b"{}")

        def _work(self, query: dict[str, list[str]], body: bytes) -> None:
            started = time.monotonic()
            if not model.enter(started):
                self._reply(503, b"shed", {"Refusal-Ran": "no", "Retry-After": "1"})
                return
            try:
                answer = self._execute(query, body, started)
            finally:
                model.leave(time.monotonic() - started)
            if answer is not None:
                self._reply(200, answer, {"Answered-By": model.name})

        def _execute(
            self, query: dict[str, list[str]], body: bytes, started: float
        ) -> bytes | None:
            """Return the answer's body, None if the request was cancelled."""
            token = self.headers.get("Idempotency-Key") or query.get("id", [""])[0]
            model.note_execution(token)
            size = float(query.get("size", ["1"])[0])
            if not self._run_for(model.service_s(size, started)):
                return None
            length = int(query.get("bytes", ["0"])[0])
            text = f"{token}|{model.name}|".encode() + body
            return text + b"x" * length

        def _run_for(self, seconds: float) -> bool:
            """Run until done; returns False if the caller has cancelled."""
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                time.sleep(min(0.01, max(0.0, end - time.monotonic())))
                if self._cancelled():
                    model.cancelled += 1
                    self.close_connection = True
                    return False
            return True

        def _cancelled(self) -> bool:
            try:
                return not self.connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            except BlockingIOError:
                return False
            except OSError:
                return True

        def _reply(self, status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
            if time.monotonic() < model.fallen_until and not self.path.startswith("/stats"):
                self.close_connection = True
                return
            self.send_response(status)
            for name, value in (headers or {}).items():
                self.send_header(name, value)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

    return Handler


def announce(model: TargetModel, agent: str, udp: str, http: str) -> bool:
    """Post one announcement; returns whether the agent took it."""
    body = json.dumps(
        {
            "service": model.service,
            "incarnation": model.incarnation,
            "slots": model.slots,
            "connections": model.connections,
            "udp_address": udp,
            "http_address": http,
            "state": model.state,
            "utilisation": model.utilisation(),
        }
    )
    conn = HTTPConnection(agent, timeout=1.0)
    try:
        conn.request("POST", "/announce", body, {"Content-Type": "application/json"})
        return conn.getresponse().status == 200
    except (OSError, HTTPException):
        return False
    finally:
        conn.close()


def run(
    *,
    name: str,
    service: str,
    host: str,
    agent: str,
    udp_port: int,
    http_port: int,
    speed: float = 1.0,
    slots: int = 3,
    connections: int = 2000,
    cold_s: float = 0.0,
    journal: str = "",
) -> None:
    """Run one target until SIGTERM, then finish what runs and leave.

    :param name: name of the target
    :param service: service that it offers
    :param host: IP address to listen on
    :param agent: admin address of the agent, IP:PORT
    :param udp_port: port of the UDP service
    :param http_port: port of the HTTP service
    :param speed: relative speed
    :param slots: requests that it runs at once
    :param connections: flows that it holds
    :param cold_s: seconds for which it is cold after its start
    :param journal: file that notes each execution, empty for none
    """
    model = TargetModel(
        name=name,
        service=service,
        speed=speed,
        slots=slots,
        connections=connections,
        incarnation=secrets.token_hex(6),
        warm_at=time.monotonic() + cold_s,
        journal=os.open(journal, os.O_WRONLY | os.O_CREAT | os.O_APPEND) if journal else -1,
    )
    stopping = threading.Event()
    signal.signal(signal.SIGTERM, lambda signum, frame: stopping.set())
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * 1024 * 1024)
    sock.bind((host, udp_port))
    ThreadingHTTPServer.request_queue_size = 256
    server = ThreadingHTTPServer((host, http_port), make_handler(model))
    server.daemon_threads = True
    threading.Thread(target=serve_udp, args=(model, sock), daemon=True).start()
    threading.Thread(target=server.serve_forever, daemon=True).start()
    udp, http = f"{host}:{udp_port}", f"{host}:{http_port}"
    while not stopping.wait(timeout=ANNOUNCE_INTERVAL_S):
        announce(model, agent, udp, http)
    model.state = "draining"
    announce(model, agent, udp, http)
    time.sleep(DRAIN_S)
    while model.running:
        time.sleep(LEAVE_POLL_S)
    model.state = "leaving"
    announce(model, agent, udp, http)
    sys.exit(0)


if __name__ == "__main__":
    defopt.run(run)
