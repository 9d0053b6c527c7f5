"""Steps with processes of the platform's path, and with logs."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from http.client import HTTPConnection

from behave import given, then, when
from properties.logging import LINES

from lentilcourse.lab.cluster import wait_until

SETTINGS = """[process]
name = balancer-1
role = steering-balancer
domain = z
admin_address = {prefix}.0.1:7001

[keys]
cluster = 00112233445566778899aabbccddeeff

[discovery]
seeds = {prefix}.0.9:{seed}
stream_port = 7009

[steering]
packet_format = platform-packets
packet_address = {prefix}.0.1:7002
peer_address = {prefix}.0.1:7003
"""


def health(context):
    """Return the status of the health check, 0 while nobody listens."""
    conn = HTTPConnection(f"{context.prefix}.0.1", 7001, timeout=2.0)
    try:
        conn.request("GET", "/healthz")
        return conn.getresponse().status
    except OSError:
        return 0
    finally:
        conn.close()


@given("a steering balancer without controllers")
def start_balancer(context):
    """Start the daemon with settings whose seed is down."""
    context.folder.mkdir(parents=True)
    context.settings = context.folder / "balancer.ini"
    context.settings.write_text(SETTINGS.format(prefix=context.prefix, seed=7009))
    context.log = context.folder / "balancer.log"
    with context.log.open("w") as handle:
        context.process = subprocess.Popen(
            [sys.executable, "-m", "lentilcourse.daemon", "--settings", str(context.settings)],
            stdout=handle,
            stderr=handle,
        )
    context.closers.append(context.process.wait)
    context.closers.append(context.process.kill)
    wait_until(lambda: health(context) == 503, 10.0, "health check")


@when("its settings name another seed and it gets SIGHUP")
def reload_settings(context):
    """Change the file and send the signal, once the start is over."""
    wait_until(lambda: "process_started" in context.log.read_text(), 10.0, "log line")
    context.settings.write_text(SETTINGS.format(prefix=context.prefix, seed=7010))
    context.process.send_signal(signal.SIGHUP)
    wait_until(lambda: "process_reloading" in context.log.read_text(), 10.0, "log line")


@then("it still answers its health check")
def still_there(context):
    """The process has not ended."""
    time.sleep(0.2)
    assert context.process.poll() is None
    assert health(context) == 503


@given("logs of a balancer and an agent")
def write_logs(context):
    """Write log lines of two processes, the later file first in time."""
    context.folder.mkdir(parents=True)
    context.logs = [context.folder / "agent.log", context.folder / "balancer.log"]
    context.logs[0].write_text(LINES[2] + "\n")
    context.logs[1].write_text(LINES[1] + "\n")


def explain(context, *arguments):
    """Run the command."""
    context.done = subprocess.run(
        [sys.executable, "-m", "lentilcourse.client", "explain", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@when('the operator asks to explain the flow "{flow}"')
def explain_flow(context, flow):
    """Explain a flow from all logs."""
    explain(context, *map(str, context.logs), "--flow", flow)


@when('the operator asks to explain with "{arguments}"')
def explain_with(context, arguments):
    """Explain with given arguments; the logs are read unless a file is named."""
    files = [] if ".log" in arguments else map(str, context.logs)
    explain(context, *files, *arguments.split())


@then('the command prints "{first}" before "{second}"')
def prints_in_order(context, first, second):
    """Two words stand in the output in this order."""
    assert context.done.returncode == 0, context.done.stderr
    assert context.done.stdout.index(first) < context.done.stdout.index(second)


@then('the command fails naming "{text}"')
def fails_naming(context, text):
    """The command has failed and said why."""
    assert context.done.returncode != 0
    assert text in context.done.stderr, context.done.stderr
