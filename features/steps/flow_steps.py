"""Steps on flows: planned and unplanned events while flows run."""

from __future__ import annotations

import json
import random
import signal
import socket
import time
from collections import Counter
from http.client import HTTPConnection

import attrs
from behave import given, then, when
from cluster_steps import deploy
from control_steps import start_control
from deployments import BOARD, SMALL

from lentilcourse.actions import DeleteEntry, DrainTarget, PutEntry, SetDomain
from lentilcourse.commands.declared import as_put
from lentilcourse.lab.cluster import read_metrics, wait_until
from lentilcourse.lab.shapes import ADMIN_PORT, ServiceShape
from lentilcourse.operator_client import is_accepted

SETTLE_S = 30.0
TABLE_CHANGES_TIMEOUT_S = 240.0


def accept(deployment, action, version):
    """Make a change and wait until it is in force everywhere."""
    client = deployment.cluster.operator
    outcome = client.change(action, version)
    assert is_accepted(outcome), outcome
    assert client.wait_in_force(outcome.version, SETTLE_S) == []


def wait_while_running(deployment, condition, what):
    """Wait for a condition while flows run."""

    def check():
        deployment.run_flows(0.2)
        return condition()

    wait_until(check, SETTLE_S, what, 0.01)


def owner_counts(deployment):
    """Return the open flows by owner."""
    return Counter(flow.owner_name for flow in list(deployment.fabric.flows.values()))


def drain(deployment):
    """Drain the first target."""
    version = deployment.cluster.operator.state().targets["ordering-1"].version
    deployment.cluster.operator.change(DrainTarget(name="ordering-1"), version)
    deployment.run_flows(3.0)


def restart_agent(deployment):
    """Stop an agent gracefully and start it again; its target runs on."""
    deployment.cluster.terminate("ordering-2")
    start_agent(deployment)


def kill_agent(deployment):
    """Kill an agent and start it again; its target runs on."""
    deployment.cluster.kill("ordering-2")
    start_agent(deployment)


def start_agent(deployment):
    """Start the agent again after a moment."""
    deployment.run_flows(0.3)
    deployment.cluster.start_daemon("ordering-2")
    deployment.run_flows(4.0)
    deployment.cluster.wait_ready()


def restart_balancer(deployment):
    """Stop a balancer gracefully and start it again."""
    deployment.cluster.terminate("balancer-1")
    deployment.run_flows(1.0)
    deployment.cluster.start_daemon("balancer-1")
    deployment.run_flows(3.0)


def freeze_balancer(deployment):
    """Freeze a balancer while a target drains, and let it go on with an old table."""
    deployment.cluster.signal("balancer-1", signal.SIGSTOP)
    drain(deployment)
    deployment.cluster.signal("balancer-1", signal.SIGCONT)
    deployment.run_flows(2.0)


def kill_controllers(deployment):
    """Kill every controller."""
    for name in deployment.cluster.layout.controllers():
        deployment.cluster.kill(name)
    deployment.run_flows(5.0)


def freeze_agent(deployment):
    """Freeze an agent for so long that its streams are given up and its lease expires."""
    deployment.cluster.signal("ordering-2", signal.SIGSTOP)
    deployment.run_flows(3.0)
    deployment.cluster.signal("ordering-2", signal.SIGCONT)
    deployment.run_flows(3.0)


EVENTS = {
    "a target drains": drain,
    "an agent restarts as planned": restart_agent,
    "an agent is killed and restarted": kill_agent,
    "a balancer restarts": restart_balancer,
    "a balancer is frozen and resumed": freeze_balancer,
    "all controllers are killed": kill_controllers,
    "an agent is frozen for a moment": freeze_agent,
}


@when('flows run through "{event}"')
def run_through(context, event):
    """Bring an event about while flows run."""
    EVENTS[event](context.deployment)


@when('"{name}" is cut off from the controllers for {seconds:d} seconds while flows run')
def cut_for(context, name, seconds):
    """Cut one process off, so that its lease expires, and let it return."""
    context.board.cut(name, inbound=True, outbound=True)
    context.deployment.run_flows(seconds)
    context.board.heal()
    context.deployment.run_flows(3.0)


@given("a small deployment with links to its controllers")
def links_deployment(context):
    """Start the small deployment with links that can be cut."""
    start_control(context, SMALL)
    context.deployment.start()


@given("a small deployment with spare agents")
def spare_deployment(context):
    """Start four targets, and two more agents whose targets only the scenario announces."""
    shape = attrs.evolve(
        SMALL,
        services=(
            *SMALL.services,
            ServiceShape(name="spare", speeds=(1, 1), slots=1, connections=10),
        ),
    )
    deploy(context, shape=shape, skip=("spare-1", "spare-2"))


def announce_spare(deployment, name, state, run):
    """Announce a target of the ordering service at a spare agent."""
    place = deployment.cluster.place(name)
    body = json.dumps(
        {
            "service": "ordering",
            "incarnation": f"{name}-{run}",
            "slots": 1,
            "connections": 1,
            "state": state,
        }
    )
    conn = HTTPConnection(place.host, ADMIN_PORT, timeout=5.0)
    conn.request("POST", "/announce", body)
    assert conn.getresponse().status == 200
    conn.close()


@when("spare targets join and leave until {count:d} table changes have passed")
def change_tables(context, count):
    """Let two spare targets come and go, with a balancer and an agent restarting midway."""
    deployment = context.deployment
    first = deployment.cluster.operator.state().version
    deadline = time.monotonic() + TABLE_CHANGES_TIMEOUT_S
    passed, run = 0, 0
    while passed < count and time.monotonic() < deadline:
        run += 1
        for state in ("serving", "leaving"):
            for name in ("spare-1", "spare-2"):
                announce_spare(deployment, name, state, run)
            deployment.run_flows(0.35)
        if run in (20, 60):
            deployment.cluster.terminate("balancer-1")
            deployment.cluster.start_daemon("balancer-1")
        if run in (30, 70):
            deployment.cluster.terminate("ordering-2")
            deployment.cluster.start_daemon("ordering-2")
        passed = deployment.cluster.operator.state().version - first
    assert passed >= count, passed
    deployment.run_flows(2.0)


@when('the VM of target "{name}" is lost while flows run')
def lose_vm(context, name):
    """Kill agent and target at once."""
    deployment = context.deployment
    context.owned = owner_counts(deployment).get(name, 0)
    assert context.owned > 0
    deployment.cluster.kill(name)
    deployment.cluster.kill(f"target:{name}")
    wait_while_running(
        deployment,
        lambda: deployment.fabric.counts.broken >= context.owned,
        "the callers of the lost VM told",
    )


@then('only the flows of "{name}" ended, and their callers were told')
def only_lost(context, name):
    """Check owners and reasons."""
    deployment = context.deployment
    deployment.run_flows(2.0)
    assert deployment.fabric.counts.broken == context.owned, deployment.fabric.reasons
    reasons = deployment.fabric.reasons
    assert set(reasons) == {"broken: refused by the system: target-gone"}, reasons
    assert name not in owner_counts(deployment)


@when('"{who}" is cut off from the controllers while domain "{domain}" goes out')
def cut_and_out(context, who, domain):
    """Take a domain out while one process hears no controller."""
    deployment = context.deployment
    cluster = deployment.cluster
    context.names = [each.name for each in cluster.layout.targets() if each.domain == domain]
    context.owned = sum(owner_counts(deployment).get(name, 0) for name in context.names)
    assert context.owned > 0
    if who != "nobody":
        context.board.cut(who, inbound=True, outbound=True)
    cluster.operator.change(SetDomain(name=domain, state="out"), 0)
    deployment.run_flows(8.0)


@when('"{who}" is cut off from the controllers and domain "{domain}" goes out')
def cut_then_out(context, who, domain):
    """Cut a process off for good and make a change."""
    context.board.cut(who, inbound=True, outbound=True)
    outcome = context.deployment.cluster.operator.change(SetDomain(name=domain, state="out"), 0)
    assert is_accepted(outcome)
    context.version = outcome.version


@then('"{who}" has the newest version in force, by its own word')
def newest_by_own_word(context, who):
    """Read the process's own metric, since no controller hears it."""
    host = context.deployment.cluster.layout.balancers()[who]
    wait_until(
        lambda: read_metric(host, "lentilcourse_state_version") >= context.version,
        SETTLE_S,
        f"{who} at version {context.version}",
    )


def read_metric(host, metric):
    """Return the value of one metric of a process."""
    values = read_metrics(host, metric)
    return values[0] if values else 0.0


@then('the targets of domain "{domain}" get no more packets')
def no_packets(context, domain):
    """Compare the targets' message counts while flows run."""
    deployment = context.deployment
    before = [deployment.cluster.target_stats(name)["messages"] for name in context.names]
    for _ in range(10):
        deployment.fabric.open_flow(BOARD, time.monotonic())
    deployment.run_flows(2.0)
    after = [deployment.cluster.target_stats(name)["messages"] for name in context.names]
    assert before == after


@then('only flows of domain "{domain}" were given up, and their callers were told')
def only_domain(context, domain):
    """Check the callers' counts."""
    deployment = context.deployment
    counts = deployment.fabric.counts
    assert counts.broken == 0, deployment.fabric.reasons
    assert counts.broken_domain_out == context.owned, deployment.fabric.reasons
    deployment.settle_flows()
    assert not set(owner_counts(deployment)) & set(context.names)


def board_of(service):
    """Return the action that gives the board's address to another service."""
    return PutEntry(
        name="price-board",
        service=service,
        owner="millers-desk",
        traffic_class="bulk",
        protocol="udp",
        address=BOARD,
    )


@when('the entry of the flows is deleted and its address given to "{service}"')
def reuse_address(context, service):
    """Delete the entry and create another with the same address."""
    deployment = context.deployment
    version = deployment.cluster.operator.state().entries["price-board"].version
    accept(deployment, DeleteEntry(name="price-board"), version)
    accept(deployment, board_of(service), 0)
    deployment.run_flows(0.5)


def service_messages(deployment, service):
    """Return the packets that each target of a service has got."""
    return {
        each.name: deployment.cluster.target_stats(each.name)["messages"]
        for each in deployment.cluster.layout.targets()
        if each.service.name == service
    }


@when('the address is given to "{service}" while "{balancer}" is frozen, which then goes on')
def reuse_behind_back(context, service, balancer):
    """Reuse the address while a balancer hears nothing, and let it send by its old table."""
    deployment = context.deployment
    client = deployment.cluster.operator
    deployment.cluster.signal(balancer, signal.SIGSTOP)
    version = client.state().entries["price-board"].version
    assert is_accepted(client.change(DeleteEntry(name="price-board"), version))
    outcome = client.change(board_of(service), 0)
    assert is_accepted(outcome)
    assert client.wait_in_force(outcome.version, 5.0) == [balancer]
    context.messages = service_messages(deployment, "ordering")
    deployment.run_flows(2.0)
    deployment.cluster.signal(balancer, signal.SIGCONT)
    deployment.run_flows(2.0)


@then('no target of "{service}" has got a packet since then')
def none_since(context, service):
    """Compare the targets' message counts."""
    assert service_messages(context.deployment, service) == context.messages


@then('no target of "{service}" gets a packet that was sent later')
def former_service_quiet(context, service):
    """Compare the former targets' message counts while old and new flows send."""
    deployment = context.deployment
    before = service_messages(deployment, service)
    for _ in range(20):
        deployment.fabric.open_flow(BOARD, time.monotonic())
    deployment.run_flows(3.0)
    assert service_messages(deployment, service) == before
    fresh = [flow for flow in deployment.fabric.flows.values() if flow.state == "open"]
    assert any(flow.owner.startswith(b"inspection|") for flow in fresh)


def change_limits(deployment, name, **limits):
    """Edit the limits of an entry."""
    entry = deployment.cluster.operator.state().entries[name]
    accept(deployment, attrs.evolve(as_put(entry), **limits), entry.version)


def limit_board(context, **limits):
    """Edit the limits of the price board and wait until the shares are divided."""
    deployment = context.deployment
    change_limits(deployment, "price-board", **limits)

    def divided():
        state = deployment.cluster.operator.state()
        granted = sum(
            getattr(share.granted, name) for share in state.shares.values() for name in limits
        )
        behind = [r for r in deployment.cluster.operator.reports() if r.version < state.version]
        return granted == sum(limits.values()) and not behind

    wait_until(divided, SETTLE_S, "limit divided into shares")


@when('the operator limits "price-board" to {limit:d} open flows')
def limit_open(context, limit):
    """Set the limit of open flows."""
    limit_board(context, open_flows=limit)


@when('the operator limits "price-board" to {limit:d} new flows a second')
def limit_new(context, limit):
    """Set the limit of new flows a second."""
    limit_board(context, new_flows_per_s=limit)


@when("{count:d} flows are tried")
def try_flows(context, count):
    """Open flows and wait until each is open or refused."""
    deployment = context.deployment
    for _ in range(count):
        deployment.fabric.open_flow(BOARD, time.monotonic())
        deployment.run_flows(0.02)
    deployment.settle_flows()


@when("{count:d} flows are tried within {seconds:d} seconds")
def try_flows_within(context, count, seconds):
    """Open flows at an even pace and note when each is first answered."""
    deployment = context.deployment
    context.accepted_at = []
    known = set()
    for _ in range(count):
        deployment.fabric.open_flow(BOARD, time.monotonic())
        end = time.monotonic() + seconds / count
        while time.monotonic() < end:
            deployment.fabric.pace(0.2, time.monotonic())
            for flow in list(deployment.fabric.flows.values()):
                if flow.state == "open" and flow.key not in known:
                    known.add(flow.key)
                    context.accepted_at.append(time.monotonic())
            time.sleep(0.002)


@then("no second saw more than {limit:d} new flows accepted")
def rate_held(context, limit):
    """Count by the agents' own clocks: all agents accepted no more than the limit allows."""
    times = context.accepted_at
    assert times
    span = int(times[-1] - times[0]) + 2
    assert len(times) <= limit * span, (len(times), span)
    assert context.deployment.fabric.counts.refused > 0
    reasons = set(context.deployment.fabric.reasons)
    assert any("new_flows_per_s" in reason for reason in reasons), reasons


@then('{count:d} flows are open, and {refused:d} were refused naming "{entry}" and "{limit}"')
def limit_held(context, count, refused, entry, limit):
    """Check the callers' counts and the words of the refusals."""
    fabric = context.deployment.fabric
    assert fabric.open_count() == count, (fabric.counts, fabric.reasons)
    assert fabric.counts.refused == refused, fabric.reasons
    assert all(entry in reason and limit in reason for reason in fabric.reasons), fabric.reasons


@when('target "{name}" drains')
def drain_target(context, name):
    """Drain a target and wait until the change is in force."""
    version = context.deployment.cluster.operator.state().targets[name].version
    accept(context.deployment, DrainTarget(name=name), version)


@then("at most {count:d} flows are open")
def at_most(context, count):
    """Check the callers' count."""
    assert context.deployment.fabric.open_count() <= count


@when("random bytes are sent to every packet address and every listener")
def send_noise(context):
    """Send noise by UDP and TCP."""
    rng = random.Random(5)
    cluster = context.deployment.cluster
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    hosts = [each.host for each in cluster.layout.targets()]
    packet_addresses = [*cluster.packet_addresses(), *((host, 6081) for host in hosts)]
    for address in packet_addresses:
        for _ in range(50):
            sock.sendto(rng.randbytes(rng.randrange(0, 200)), address)
    sock.close()
    streams = [(host, 7200) for host in hosts]
    streams += [tuple(each.split(":")) for each in cluster.layout.controllers().values()]
    for host, port in [*streams, *cluster.request_addresses()]:
        with socket.create_connection((host, int(port)), timeout=5.0) as conn:
            conn.sendall(rng.randbytes(500) + b"\r\n\r\n")
    context.deployment.run_flows(2.0)
    assert all(process.poll() is None for process in cluster.processes.values())


@then('"{process}" serves a metric "{metric}" above 0')
def metric_above(context, process, metric):
    """Read one counter."""
    host = context.deployment.cluster.layout.balancers()[process]
    assert read_metric(host, metric) > 0
