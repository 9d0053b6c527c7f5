"""Steps on a running deployment: separate processes, load, and failures."""

from __future__ import annotations

import random
import time

from behave import given, then, when
from deployments import SMALL, Deployment

from lentilcourse.actions import PutEntry
from lentilcourse.lab.cluster import read_metrics
from lentilcourse.lab.request_load import RequestPlan, send_request
from lentilcourse.lab.shapes import ADMIN_PORT, Layout
from lentilcourse.messages.operators import AuditRequest
from lentilcourse.operator_client import is_accepted
from lentilcourse.settings_file import load_settings


def deploy(context, cold_s=0.0, shape=SMALL, skip=()):
    """Start a small deployment."""
    layout = Layout(shape=shape, prefix=context.prefix, folder=str(context.folder / "data"))
    context.deployment = Deployment(layout=layout, folder=context.folder, cold_s=cold_s)
    context.closers.append(context.deployment.stop)
    context.deployment.start(skip)


@given("a small deployment with flows and requests")
def small_deployment(context):
    """Start three controllers, two balancers and four targets."""
    deploy(context)


@when("{count:d} flows are opened")
def open_flows(context, count):
    """Open flows to the price board and wait until each has an answer."""
    context.deployment.open_flows(count)


@when('{count:d} flows are opened to "{address}"')
def open_flows_to(context, count, address):
    """Open flows to an address."""
    context.deployment.open_flows(count, address)


@when('{count:d} requests are sent to "{entry}"')
def send_requests(context, count, entry):
    """Send requests one after the other through random balancers."""
    rng = random.Random(7)
    addresses = context.deployment.cluster.request_addresses()
    for number in range(count):
        plan = RequestPlan(entry=entry, keyed=number % 2 == 0, answer_bytes=number * 1000)
        context.deployment.results.append(send_request(plan, rng, addresses))


@when('the operator creates entry "{name}" for service "{service}" at "{address}"')
def create_entry(context, name, service, address):
    """Create a UDP entry and wait until it is in force everywhere."""
    action = PutEntry(
        name=name,
        service=service,
        owner="floor-desk",
        traffic_class="standard",
        protocol="udp",
        address=address,
    )
    client = context.deployment.cluster.operator
    outcome = client.change(action, 0)
    assert is_accepted(outcome), outcome
    assert client.wait_in_force(outcome.version, 20.0) == []


@when('balancer "{name}" is killed while flows run')
def kill_balancer(context, name):
    """Kill a balancer; the fabric notices a second later."""
    deployment = context.deployment
    deployment.cluster.kill(name)
    deployment.run_flows(1.0)
    host = deployment.cluster.layout.balancers()[name]
    deployment.fabric.balancers = [each for each in deployment.fabric.balancers if each[0] != host]
    deployment.run_flows(3.0)


@then("{count:d} flows are open and none broke")
def flows_open(context, count):
    """Check the callers' counts."""
    deployment = context.deployment
    deployment.run_flows(1.0)
    deployment.settle_flows()
    counts = deployment.fabric.counts
    assert counts.broken == 0, (deployment.fabric.reasons, deployment.fabric.moved)
    assert deployment.fabric.open_count() == count, (counts, deployment.fabric.reasons)


@then("all requests were answered whole by their own target")
def requests_whole(context):
    """Check every result against what the targets executed."""
    deployment = context.deployment
    assert deployment.results
    assert all(each.outcome == "answered" for each in deployment.results), deployment.results
    check = deployment.check()
    assert check.doubled == check.false_no == check.crossed == check.missing == 0, check


@then("every process has the newest version in force")
def newest_version(context):
    """Compare the versions that all processes report."""
    client = context.deployment.cluster.operator
    assert client.wait_in_force(client.state().version, 20.0) == []


@then('the audit trail shows "{subject}" accepted for "{operator}"')
def audit_shows(context, subject, operator):
    """Search the audit trail."""
    records = context.deployment.cluster.operator.audit(AuditRequest(subject=subject))
    assert [record.verdict for record in records] == ["accepted"], records
    assert records[0].operator == operator
    assert records[0].version_after == records[0].version_before + 1


@when("every process is asked to stop")
def stop_all(context):
    """Send the stop signal to every process, roles in the order of an ordinary stop."""
    cluster = context.deployment.cluster
    context.statuses = {name: cluster.terminate(name) for name in list(cluster.processes)}


@then("each process ended with status 0")
def ended_well(context):
    """Check all exit statuses."""
    assert set(context.statuses.values()) == {0}, context.statuses


@then('"{process}" serves the metric "{metric}"')
def serves_metric(context, process, metric):
    """Read the metrics page of one process."""
    file = context.folder / f"{process}.ini"
    address = load_settings(str(file)).process.admin_address
    assert address is not None and address.port == ADMIN_PORT
    deadline = time.monotonic() + 10.0
    while time.monotonic() < deadline:
        if read_metrics(address.host, metric):
            return
        time.sleep(0.1)
    raise AssertionError(f"{metric} is not served")
