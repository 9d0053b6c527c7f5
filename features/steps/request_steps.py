"""Steps on requests: faults while orders run, limits, deadlines, bad input."""

from __future__ import annotations

import contextlib
import random
import signal
import socket
import threading
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection, HTTPException

from behave import given, then, when
from cluster_steps import deploy
from flow_steps import SETTLE_S, accept, change_limits, read_metric

from lentilcourse.actions import DrainTarget, SetDomain
from lentilcourse.lab.cluster import wait_until
from lentilcourse.lab.request_load import (
    RequestLoad,
    RequestPlan,
    check_executions,
    send_request,
)

CALLERS = 6
LARGE_BYTES = 20_000_000
CHUNK_BYTES = 65536


def kill_balancer(deployment):
    """Kill a balancer; callers go on through the other."""
    deployment.cluster.kill("balancer-1")


def restart_balancer(deployment):
    """Kill a balancer and start it again; callers meet it before it has a state."""
    deployment.cluster.kill("balancer-1")
    time.sleep(1.0)
    deployment.cluster.start_daemon("balancer-1")


def kill_agent(deployment, name="ordering-2"):
    """Kill an agent and start it again."""
    deployment.cluster.kill(name)
    time.sleep(0.5)
    deployment.cluster.start_daemon(name)


def kill_vm(deployment):
    """Kill an agent with its target."""
    deployment.cluster.kill("ordering-2")
    deployment.cluster.kill("target:ordering-2")


def freeze(name):
    """Return a fault that freezes a process for a time."""

    def fault(deployment):
        deployment.cluster.signal(name, signal.SIGSTOP)
        time.sleep(4.0)
        deployment.cluster.signal(name, signal.SIGCONT)

    return fault


def restart_target(deployment):
    """Kill a target and start it again."""
    deployment.cluster.kill("target:ordering-2")
    time.sleep(1.0)
    deployment.cluster.start_target(deployment.cluster.place("ordering-2"))


def domain_out_in(deployment):
    """Take a domain out and bring it back."""
    client = deployment.cluster.operator
    outcome = client.change(SetDomain(name="luzon-b", state="out"), 0)
    time.sleep(3.0)
    client.change(SetDomain(name="luzon-b", state="in"), outcome.version)


def kill_agents(deployment):
    """Kill agent after agent, each restarted before the next."""
    for name in ("ordering-1", "ordering-2", "ordering-3"):
        kill_agent(deployment, name)
        time.sleep(2.0)


def drain(deployment):
    """Drain a target by the operator."""
    version = deployment.cluster.operator.state().targets["ordering-2"].version
    deployment.cluster.operator.change(DrainTarget(name="ordering-2"), version)


def stop_target(deployment):
    """Stop a target gracefully: it drains, finishes and leaves."""
    deployment.cluster.terminate("target:ordering-2")


def stop_balancer(deployment):
    """Stop a balancer gracefully; callers are told by closed connections."""
    host = deployment.cluster.layout.balancers()["balancer-1"]
    deployment.load.balancers = [each for each in deployment.load.balancers if each[0] != host]
    time.sleep(0.2)
    deployment.cluster.terminate("balancer-1")


def restart_agent(deployment):
    """Stop an agent gracefully and start it again."""
    deployment.cluster.terminate("ordering-2", 40.0)
    deployment.cluster.start_daemon("ordering-2")


FAULTS = {
    "a balancer is killed": kill_balancer,
    "a balancer is killed and restarted": restart_balancer,
    "an agent is killed and restarted": kill_agent,
    "an agent and its target are killed": kill_vm,
    "an agent is frozen and resumed": freeze("ordering-2"),
    "a target is frozen and resumed": freeze("target:ordering-2"),
    "a target is killed and restarted": restart_target,
    "a domain goes out and comes back": domain_out_in,
    "agents are killed one after the other": kill_agents,
    "a target drains by the operator": drain,
    "a target stops gracefully": stop_target,
    "a balancer stops gracefully": stop_balancer,
    "an agent stops gracefully and starts": restart_agent,
}


@when('orders and other requests run for {seconds:d} seconds while "{fault}"')
def run_orders(context, seconds, fault):
    """Run keyed and repeatable requests and bring the fault about in the middle."""
    deployment = context.deployment
    with RequestLoad(balancers=deployment.cluster.request_addresses(), seed=3) as load:
        deployment.load = load
        load.start(RequestPlan(entry="orders", keyed=True, pause_s=0.05), CALLERS)
        load.start(RequestPlan(entry="orders", pause_s=0.05), CALLERS)
        started = time.monotonic()
        time.sleep(seconds / 4)
        FAULTS[fault](deployment)
        time.sleep(max(0.0, seconds - (time.monotonic() - started)))
    deployment.results = deployment.load.results


@then('no order ran twice, no "ran: no" was false, and no answer was crossed')
def orders_once(context):
    """Compare what callers were told with what the targets executed."""
    deployment = context.deployment
    time.sleep(1.0)
    executions = deployment.cluster.executions()
    check = check_executions(deployment.results, executions)
    assert len(deployment.results) > 100, len(deployment.results)
    reasons = {each.reason for each in deployment.results}
    assert not any("unknown-entry" in reason for reason in reasons), reasons
    assert check.doubled == check.false_no == check.crossed == 0, check


@then("requests are answered again")
def answered_again(context):
    """Send until a run of requests is answered, keyed ones too."""
    rng = random.Random(9)
    cluster = context.deployment.cluster
    addresses = [
        each
        for each, name in zip(cluster.request_addresses(), cluster.layout.balancers(), strict=True)
        if name in cluster.processes
    ]

    def all_answered():
        plans = [RequestPlan(entry="orders", keyed=number % 2 == 0) for number in range(10)]
        return all(send_request(plan, rng, addresses).outcome == "answered" for plan in plans)

    wait_until(all_answered, SETTLE_S, "requests answered again")


@then("no request was cut or lost")
def none_cut(context):
    """Check the callers' outcomes; a planned stop refuses nobody either."""
    counts = context.deployment.load.counts()
    assert set(counts) == {"answered"}, counts


def order(address, key, body, entry="orders", path="/work?size=1"):
    """Send one order and return status, headers and body."""
    conn = HTTPConnection(address[0], address[1], timeout=20.0)
    conn.request("POST", path, body, {"Host": entry, "Idempotency-Key": key})
    answer = conn.getresponse()
    found = (answer.status, dict(answer.getheaders()), answer.read())
    conn.close()
    return found


@when("one order is sent {count:d} times through all balancers")
def resend_order(context, count):
    """Send one order at once and again through every balancer."""
    addresses = context.deployment.cluster.request_addresses()
    context.key = str(uuid.UUID(int=77, version=4))
    with ThreadPoolExecutor(max_workers=count) as pool:
        futures = [
            pool.submit(order, addresses[number % len(addresses)], context.key, b"one")
            for number in range(count)
        ]
        context.answers = [fut.result() for fut in futures]


@then("each answer is the same and the order ran once")
def same_answer(context):
    """Compare the answers and count executions."""
    assert {status for status, _, _ in context.answers} == {200}, context.answers
    assert len({body for _, _, body in context.answers}) == 1
    assert context.deployment.cluster.executions()[context.key] == 1


@when("a key is used for two different orders")
def reuse_key(context):
    """Send two bodies under one key."""
    address = context.deployment.cluster.request_addresses()[0]
    key = str(uuid.UUID(int=78, version=4))
    assert order(address, key, b"one")[0] == 200
    context.answer = order(address, key, b"two")


@then('the second is refused with status {status:d}, cause "{cause}" and ran "{ran}"')
def refused_with(context, status, cause, ran):
    """Check one refusal."""
    found, headers, body = context.answer
    assert found == status, context.answer
    assert headers["refusal-ran"] == ran and cause.encode() in body, context.answer


def read_large(address, token, pause_s=0.0):
    """Read a large answer; returns whether it was whole."""
    conn = HTTPConnection(address[0], address[1], timeout=30.0)
    path = f"/work?id={token}&bytes={LARGE_BYTES}"
    conn.request("GET", path, headers={"Host": "intake"})
    answer = conn.getresponse()
    size = 0
    try:
        while chunk := answer.read(CHUNK_BYTES):
            size += len(chunk)
            time.sleep(pause_s)
    except (OSError, HTTPException):
        return False
    finally:
        conn.close()
    return size > LARGE_BYTES and answer.status == 200


@when("{count:d} answers of 20 MB are read at once")
def read_at_once(context, count):
    """Read large answers in parallel."""
    addresses = context.deployment.cluster.request_addresses()
    with ThreadPoolExecutor(max_workers=count) as pool:
        futures = [
            pool.submit(read_large, addresses[number % 2], f"large-{number}")
            for number in range(count)
        ]
        context.whole = [fut.result() for fut in futures]


@then("all of them are whole")
def all_whole(context):
    """Check every large answer."""
    assert context.whole and all(context.whole), context.whole


@when("an answer of 20 MB is read slowly and its target is killed")
def read_and_kill(context):
    """Kill the target while its answer is on the way."""
    cluster = context.deployment.cluster
    with ThreadPoolExecutor(max_workers=1) as pool:
        fut = pool.submit(read_large, cluster.request_addresses()[0], "cut", 0.02)
        time.sleep(1.0)
        cluster.kill("target:inspection-1")
        context.whole = [fut.result()]


@then("the answer is plainly cut")
def plainly_cut(context):
    """The caller's client must notice."""
    assert context.whole == [False]


def ask(cluster, plan, seed):
    """Send one request without resending it."""
    return send_request(plan, random.Random(seed), cluster.request_addresses(), resends=1)


@when('the only target of "{entry}" is busy and a request with a deadline of {ms:d} ms waits')
def wait_past_deadline(context, entry, ms):
    """Fill all slots with long requests and send one more with a deadline."""
    cluster = context.deployment.cluster
    with ThreadPoolExecutor(max_workers=4) as pool:
        long = [
            pool.submit(ask, cluster, RequestPlan(entry=entry, size=150), seed) for seed in range(3)
        ]
        wait_until(lambda: cluster.target_stats("inspection-1")["running"] == 3, SETTLE_S, "busy")
        context.late = ask(cluster, RequestPlan(entry=entry, timeout_ms=ms), 50)
        assert all(fut.result().outcome == "answered" for fut in long)


@then('it is refused with cause "{cause}" and ran "{ran}", and never ran')
def refused_late(context, cause, ran):
    """Check the refusal against the executions."""
    assert context.late.outcome == "refused" and cause in context.late.reason, context.late
    assert context.late.ran == ran
    assert context.deployment.cluster.executions()[context.late.token] == 0


@when("{count:d} long requests are cancelled by their callers")
def cancel_requests(context, count):
    """Send long requests and close the connections while they run."""
    cluster = context.deployment.cluster
    context.cancelled = cluster.target_stats("inspection-1")["cancelled"]
    conns = []
    for number in range(count):
        host, port = cluster.request_addresses()[number % 2]
        conn = HTTPConnection(host, port, timeout=10.0)
        conn.request("GET", f"/work?id=long-{number}&size=2000", headers={"Host": "intake"})
        conns.append(conn)
    wait_until(
        lambda: cluster.target_stats("inspection-1")["running"] == count, SETTLE_S, "running"
    )
    for conn in conns:
        conn.close()


@then("the target counts {count:d} cancelled, and its slots are free again")
def slots_free(context, count):
    """Check the target's counts."""
    cluster = context.deployment.cluster

    def freed():
        stats = cluster.target_stats("inspection-1")
        return stats["cancelled"] - context.cancelled == count and stats["running"] == 0

    wait_until(freed, SETTLE_S, "cancelled requests ended")
    assert ask(cluster, RequestPlan(entry="intake"), 60).outcome == "answered"


@given("a small deployment that is warm")
def warm_deployment(context):
    """Start the small deployment and wait until every agent admits all slots."""
    deploy(context)
    places = context.deployment.cluster.layout.targets()
    wait_until(
        lambda: all(
            read_metric(place.host, "lentilcourse_requests_slots") == place.service.slots
            for place in places
        ),
        SETTLE_S,
        "all targets warm",
        0.2,
    )


@given("a small deployment whose targets start cold")
def cold_deployment(context):
    """Start targets that are cold for a while."""
    deploy(context, cold_s=6.0)


@when('{count:d} callers at once ask the targets of "{service}"')
def ask_at_once(context, count, service):
    """Put far more load on a service than it has slots."""
    deployment = context.deployment
    with RequestLoad(balancers=deployment.cluster.request_addresses(), seed=4) as load:
        load.start(RequestPlan(entry="orders", pause_s=0.01), count)
        time.sleep(6.0)
    deployment.results = load.results
    assert load.counts()["answered"] > 0, load.counts()


@then("no target ran more requests at once than it has slots")
def slots_held(context):
    """Check each target's highest count."""
    for place in context.deployment.cluster.layout.targets():
        stats = context.deployment.cluster.target_stats(place.name)
        assert stats["most_running"] <= stats["slots"], stats
        assert stats["shed"] == 0, stats


@then("no target fell over")
def none_fell(context):
    """Check that no cold target got more than it bears."""
    for place in context.deployment.cluster.layout.targets():
        stats = context.deployment.cluster.target_stats(place.name)
        assert stats["falls"] == 0, stats


@when('load runs while "{name}" turns cold for {seconds:d} seconds and reports no load')
def turn_cold(context, name, seconds):
    """Turn a target cold without a word, under load."""
    deployment = context.deployment
    cluster = deployment.cluster
    with RequestLoad(balancers=cluster.request_addresses(), seed=6) as load:
        load.start(RequestPlan(entry="orders", pause_s=0.02), 16)
        time.sleep(3.0)
        cluster.control_target(name, "report", 0.0)
        cluster.control_target(name, "cold", float(seconds))
        time.sleep(seconds + 2.0)
        context.executed = sum(cluster.target_stats(name)["executions"].values())
        time.sleep(6.0)


@when(
    'load runs while domain "{domain}" goes out and its targets come back cold'
    " for {seconds:d} seconds"
)
def return_cold(context, domain, seconds):
    """Take a domain out and back in under load; its targets are cold when it returns."""
    cluster = context.deployment.cluster
    context.names = [each.name for each in cluster.layout.targets() if each.domain == domain]
    with RequestLoad(balancers=cluster.request_addresses(), seed=10) as load:
        load.start(RequestPlan(entry="orders", pause_s=0.01), 30)
        time.sleep(2.0)
        accept(context.deployment, SetDomain(name=domain, state="out"), 0)
        time.sleep(1.0)
        for name in context.names:
            cluster.control_target(name, "cold", float(seconds))
        version = cluster.operator.state().domains[domain].version
        accept(context.deployment, SetDomain(name=domain, state="in"), version)
        context.before = executed(cluster, context.names)
        time.sleep(seconds + 2.0)


def executed(cluster, names):
    """Return how many requests the named targets of the ordering service have executed."""
    return {
        name: sum(cluster.target_stats(name)["executions"].values())
        for name in names
        if name.startswith("ordering")
    }


@then('the targets of domain "{domain}" serve again')
def serve_again(context, domain):
    """Compare with what was executed when the domain came back."""
    after = executed(context.deployment.cluster, context.names)
    assert after and all(after[name] > context.before[name] for name in after), after


@then('"{name}" fell over at most once and serves its share in the end')
def fell_once(context, name):
    """The first overload shows the coldness; after that the target gets what it bears."""
    stats = context.deployment.cluster.target_stats(name)
    assert stats["falls"] <= 1, stats["falls"]
    assert sum(stats["executions"].values()) > context.executed


@when('the operator limits "{name}" to {limit:d} requests in flight')
def limit_requests(context, name, limit):
    """Set the limit and wait until the shares are divided."""
    client = context.deployment.cluster.operator
    change_limits(context.deployment, name, requests_in_flight=limit)

    def divided():
        shares = client.state().shares.values()
        return sum(share.granted.requests_in_flight for share in shares) == limit

    wait_until(divided, SETTLE_S, "limit divided into shares")
    assert client.wait_in_force(client.state().version, SETTLE_S) == []


@when('{count:d} long requests to "{entry}" run at once')
def run_long(context, count, entry):
    """Send long requests at once."""
    cluster = context.deployment.cluster
    with ThreadPoolExecutor(max_workers=count) as pool:
        futures = [
            pool.submit(ask, cluster, RequestPlan(entry=entry, size=80), seed)
            for seed in range(count)
        ]
        context.deployment.results = [fut.result() for fut in futures]


@then('never more than {limit:d} ran at once, and the others were refused naming "{name}"')
def limit_named(context, limit, name):
    """Check the target's highest count and the refusals."""
    stats = context.deployment.cluster.target_stats("inspection-1")
    assert stats["most_running"] <= limit, stats
    results = context.deployment.results
    refused = [each for each in results if each.outcome == "refused"]
    assert refused and all(f"owner-limit {name}" in each.reason for each in refused), results
    assert sum(each.outcome == "answered" for each in results) >= limit


def raw_request(address, data):
    """Send raw bytes and return status and header text of the answer."""
    with socket.create_connection(address, timeout=20.0) as conn:
        with contextlib.suppress(OSError):
            conn.sendall(data)
        head = b""
        while b"\r\n\r\n" not in head:
            part = conn.recv(4096)
            if not part:
                break
            head += part
    return int(head.split()[1]), head.decode("latin-1").lower()


INPUTS = {
    "unknown service": b"GET / HTTP/1.1\r\nHost: nowhere\r\n\r\n",
    "malformed request": b"\x01\x02 nonsense\r\n\r\n",
    "huge header": b"GET / HTTP/1.1\r\nHost: orders\r\nX: " + b"x" * 100_000 + b"\r\n\r\n",
    "huge body": b"POST / HTTP/1.1\r\nHost: orders\r\nContent-Length: 9000000\r\n\r\n"
    + b"x" * 9_000_000,
    "malformed key": b"POST / HTTP/1.1\r\nHost: orders\r\nIdempotency-Key: a b\r\n"
    b"Content-Length: 0\r\n\r\n",
    "malformed deadline": b"GET / HTTP/1.1\r\nHost: orders\r\nRequest-Timeout-Ms: soon\r\n\r\n",
}


@then('input "{name}" is answered with status {status:d} and ran "{ran}"')
def bad_input(context, name, status, ran):
    """Send bad input and read the refusal."""
    address = context.deployment.cluster.request_addresses()[0]
    found, head = raw_request(address, INPUTS[name])
    assert found == status, head
    assert f"refusal-ran: {ran}" in head and "refusal-reason: system" in head, head


@when("{count:d} senders send one byte a second")
def slow_senders(context, count):
    """Open connections that send a request very slowly."""
    stop = threading.Event()
    address = context.deployment.cluster.request_addresses()

    def drip(number):
        with socket.create_connection(address[number % 2], timeout=30.0) as conn:
            for byte in b"GET / HTTP/1.1\r\nHost: orders\r\nX-Slow: " + b"y" * 100:
                if stop.wait(timeout=1.0):
                    return
                try:
                    conn.sendall(bytes((byte,)))
                except OSError:
                    return

    threads = [
        threading.Thread(target=drip, args=(number,), daemon=True) for number in range(count)
    ]
    for thread in threads:
        thread.start()
    context.closers.append(stop.set)
    time.sleep(2.0)
