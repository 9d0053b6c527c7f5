"""Steps that send operators' orders to controllers of the platform, over plain sockets."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from http.client import HTTPConnection, HTTPException

from behave import given, then, when
from properties.platform import DOCUMENT

from lentilcourse.lab.cluster import wait_until

SETTINGS = """[process]
name = controller-{number}
role = controller
domain = zone-{number}
admin_address = {prefix}.0.{number}:7001

[keys]
cluster = 00112233445566778899aabbccddeeff

[operators]

[discovery]
seeds = {prefix}.0.1:7003,{prefix}.0.2:7003,{prefix}.0.3:7003
stream_port = 7002
first_start = yes
lost_at_once = 1

[controller]
address = {prefix}.0.{number}:7002
data_folder = {folder}
operator_interface = platform-operator
operator_address = {prefix}.0.{number}:7003
"""
NUMBERS = (1, 2, 3)
DOMAIN = "zone-9"
METHODS = {"out": "POST", "in": "DELETE"}
FREEZE_S = 2.0
CALL_TIMEOUT_S = 1.0
ACKNOWLEDGED = 200


def address_of(context, number):
    """Return the operators' address of a controller."""
    return f"{context.prefix}.0.{number}", 7003


def call(context, number, method, path, body=None):
    """Send a call to one controller; returns its status, 0 for none within a second."""
    conn = HTTPConnection(*address_of(context, number), timeout=CALL_TIMEOUT_S)
    try:
        conn.request(method, path, body)
        return conn.getresponse().status
    except (OSError, HTTPException):
        return 0
    finally:
        conn.close()


def order(context, method, path, body=None, without=0):
    """Send a call to one controller after the other until it is acknowledged."""
    others = [number for number in NUMBERS if number != without]
    wait_until(
        lambda: any(call(context, number, method, path, body) == ACKNOWLEDGED for number in others),
        15.0,
        f"{method} {path} acknowledged",
    )


def is_leader(context, number):
    """Return whether a controller leads, by its metrics."""
    conn = HTTPConnection(f"{context.prefix}.0.{number}", 7001, timeout=2.0)
    try:
        conn.request("GET", "/metrics")
        lines = conn.getresponse().read().decode().splitlines()
    finally:
        conn.close()
    return any("controller_leader{" in line and line.endswith(" 1.0") for line in lines)


@given("three controllers of the platform with a configuration")
def start_controllers(context):
    """Start the daemons and publish a document."""
    context.folder.mkdir(parents=True)
    context.controllers, context.logs = {}, {}
    for number in NUMBERS:
        settings = context.folder / f"controller-{number}.ini"
        data = context.folder / f"data-{number}"
        settings.write_text(SETTINGS.format(number=number, prefix=context.prefix, folder=data))
        context.logs[number] = context.folder / f"controller-{number}.log"
        with context.logs[number].open("w") as handle:
            process = subprocess.Popen(
                [sys.executable, "-m", "lentilcourse.daemon", "--settings", str(settings)],
                stdout=handle,
                stderr=handle,
            )
        context.controllers[number] = process
        context.closers.append(process.wait)
        context.closers.append(process.kill)
    order(context, "PUT", "/config", json.dumps(DOCUMENT).encode())


@when('a domain is "{first}" and a frozen {role} holds an order to set it "{second}"')
def hold_order(context, first, role, second):
    """Freeze a controller, send it an order, and have another controller carry it out."""
    path = f"/evacuate/{DOMAIN}"
    order(context, METHODS["out"], path)
    order(context, METHODS[first], path)
    chosen = [number for number in NUMBERS if is_leader(context, number) == (role == "leader")]
    context.frozen = chosen[0]
    os.kill(context.controllers[context.frozen].pid, signal.SIGSTOP)
    context.frozen_at = time.monotonic()
    context.caller = socket.create_connection(address_of(context, context.frozen), timeout=5.0)
    head = f"{METHODS[second]} {path} HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n"
    context.caller.sendall(head.encode())
    time.sleep(CALL_TIMEOUT_S)
    order(context, METHODS[second], path, without=context.frozen)


@when('the domain is "{state}" again before the caller of the held order has "{end}"')
def set_again(context, state, end):
    """Order the domain's first state again, then let the frozen controller go on.

    A caller that is cut off cannot close its connection, so here it stays open.
    """
    order(context, METHODS[state], f"/evacuate/{DOMAIN}", without=context.frozen)
    if end == "closed":
        context.caller.close()
    time.sleep(max(0.0, context.frozen_at + FREEZE_S - time.monotonic()))
    os.kill(context.controllers[context.frozen].pid, signal.SIGCONT)


@then('the held order is refused, and the domain stays "{state}"')
def stays(context, state):
    """The held order was not executed, and an order sent now is."""
    time.sleep(1.5)
    changes = [
        json.loads(line)
        for log in context.logs.values()
        for line in log.read_text().splitlines()
        if '"operator_change"' in line
    ]
    last = max(changes, key=lambda line: line["timestamp"])
    assert last["subject"].endswith(f"state={state}"), last
    if context.caller.fileno() >= 0:
        answer = context.caller.recv(4096)
        context.caller.close()
        assert answer.startswith(b"HTTP/1.1 503"), answer
    order(context, METHODS["in"], f"/evacuate/{DOMAIN}")
