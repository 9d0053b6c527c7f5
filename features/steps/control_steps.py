"""Steps on controllers: faults, repairs, racing operators."""

from __future__ import annotations

import shutil
import signal
import subprocess
import sys
import threading
import time

import attrs
from behave import given, then, when
from deployments import CONTROL, Deployment

from lentilcourse.actions import DeleteEntry, PutEntry, Verdict
from lentilcourse.errors import LentilcourseError
from lentilcourse.ids import new_id
from lentilcourse.lab.cluster import wait_until
from lentilcourse.lab.links import LinkBoard
from lentilcourse.lab.shapes import Layout
from lentilcourse.messages.base import Failure
from lentilcourse.messages.consensus import ChangeReply
from lentilcourse.messages.operators import AuditRequest, ProposeChange, StateReply, StateRequest
from lentilcourse.operator_client import is_accepted
from lentilcourse.streams import KIND_OPERATOR, Identity, connect_stream

SETTLE_S = 40.0


def start_control(context, shape=CONTROL, **changes):
    """Start a deployment whose links to controllers can be cut."""
    layout = Layout(
        shape=shape,
        prefix=context.prefix,
        folder=str(context.folder / "data"),
        links=True,
        **changes,
    )
    context.board = LinkBoard(layout=layout)
    context.closers.append(context.board.close)
    context.deployment = Deployment(layout=layout, folder=context.folder, cold_s=0.0)
    context.closers.append(context.deployment.stop)
    context.cluster = context.deployment.cluster
    context.accepted = {}
    context.sent = {}
    context.heal = lambda: None


@given("a control deployment")
def control_deployment(context):
    """Start three controllers, a balancer and a target."""
    start_control(context)
    context.cluster.start_all()


@given("a control deployment with a snapshot every {records:d} records")
def control_deployment_with_snapshots(context, records):
    """Start a deployment that takes snapshots often."""
    start_control(context, snapshot_records=records)
    context.cluster.start_all()


def put(number):
    """Return the action that creates the entry with a number."""
    return PutEntry(
        name=f"entry-{number}",
        service="ordering",
        owner="floor-desk",
        traffic_class="standard",
        protocol="udp",
        address=f"10.79.{number // 200}.{number % 200 + 1}:4000",
    )


@when("{count:d} changes are accepted")
@then("{count:d} changes are accepted again")
def accept_changes(context, count):
    """Create entries, resending each change until its outcome is known."""
    for _ in range(count):
        number = len(context.sent) + 1
        change_id = new_id()
        context.sent[change_id] = put(number)
        outcome = context.cluster.operator.change(put(number), 0, change_id)
        assert is_accepted(outcome), outcome
        context.accepted[f"entry-{number}"] = outcome


@when('the leader is "{fault}"')
def fault_leader(context, fault):
    """Bring a fault about at the leader."""
    bring_about(context, context.cluster.wait_leader(), fault)


def bring_about(context, name, fault):
    """Bring a fault about, and remember how it ends."""
    cluster, board = context.cluster, context.board
    if fault == "killed":
        cluster.kill(name)
        context.heal = lambda: cluster.start_daemon(name)
    elif fault == "frozen":
        cluster.signal(name, signal.SIGSTOP)
        context.heal = lambda: cluster.signal(name, signal.SIGCONT)
    else:
        board.cut(name, inbound=fault != "unable to answer", outbound=fault != "cut off one way")
        context.heal = board.heal


@when("the fault ends")
def end_fault(context):
    """End the fault."""
    context.heal()


@when('a follower is "{fault}" for {seconds:d} seconds')
def fault_follower(context, fault, seconds):
    """Cut a follower off for a time and let it return."""
    cluster = context.cluster
    leader = cluster.wait_leader()
    context.leader = leader_status(context)
    name = next(each for each in cluster.layout.controllers() if each != leader)
    bring_about(context, name, fault)
    time.sleep(seconds)
    context.heal()
    wait_until(
        lambda: all(each.freshness_ms < 1000 for each in cluster.operator.statuses()),
        SETTLE_S,
        "all controllers fresh",
    )


def leader_status(context):
    """Return name and term of the leader."""
    statuses = context.cluster.operator.statuses()
    return next((each.name, each.term) for each in statuses if each.role == "leader")


@then("the leader and its term are as before")
def same_leader(context):
    """Compare with what was before the fault."""
    assert leader_status(context) == context.leader


@when("a controller with subscribers is cut off from the other controllers")
def cut_subscribed(context):
    """Cut off the controller that "balancer-1" follows; the balancer still reaches it."""
    cluster, board = context.cluster, context.board
    followed = next(
        status.name
        for status in cluster.operator.statuses()
        if any(report.name == "balancer-1" for report in status.reports)
    )
    board.cut_between(followed, set(cluster.layout.controllers()) - {followed})


@then("all accepted changes are in force in every process")
def in_force_everywhere(context):
    """Wait until every process reports the newest version, and look at the entries."""
    cluster = context.cluster
    newest = max((each.version for each in context.accepted.values()), default=0)
    expected = len(cluster.layout.balancers()) + len(cluster.layout.targets())

    def in_force():
        try:
            reports = cluster.operator.reports()
        except LentilcourseError:
            return False
        fresh = [each for each in reports if each.version >= newest and each.age_ms < 3000]
        return len(fresh) == expected

    wait_until(in_force, SETTLE_S, "accepted changes in force everywhere")
    entries = cluster.operator.state().entries
    assert set(context.accepted) <= set(entries)


@then("every controller holds all accepted changes")
def all_hold(context):
    """Read the state of each controller."""
    members_hold(context, list(context.cluster.layout.controllers()))


@then("every voter holds all accepted changes")
def voters_hold(context):
    """Read the state of each voting controller that runs."""
    wait_until(lambda: context.cluster._leader() != "", SETTLE_S, "a controller leads")
    statuses = context.cluster.operator.statuses()
    names = [
        status.name
        for status in statuses
        if (own := status.membership.find(status.replica_id)) is not None and own.voter
    ]
    assert len(names) >= 2, statuses
    members_hold(context, names)


def members_hold(context, names):
    """Wait until controllers hold every accepted entry."""
    client = context.cluster.operator

    def held():
        try:
            states = [client._one(name, StateRequest(), StateReply).state for name in names]
        except LentilcourseError:
            return False
        return all(set(context.accepted) <= set(state.entries) for state in states)

    wait_until(held, SETTLE_S, f"{names} hold all accepted changes")


@when('controller "{name}" loses its data folder')
def lose_folder(context, name):
    """Kill a controller, remove its folder and start it again."""
    context.cluster.kill(name)
    shutil.rmtree(context.folder / "data" / name)
    context.cluster.start_daemon(name)
    wait_until(context.cluster._controllers_answer, SETTLE_S, "all controllers answer")


@then('"{name}" is no voter')
def no_voter(context, name):
    """Check that the new replica is not a member yet."""
    status = next(each for each in context.cluster.operator.statuses() if each.name == name)
    leader = context.cluster.wait_leader()
    group = next(each for each in context.cluster.operator.statuses() if each.name == leader)
    assert group.membership.find(status.replica_id) is None


def command(context, *arguments, settings="operator.ini"):
    """Run the operators' command line."""
    return subprocess.run(
        [
            *(sys.executable, "-m", "lentilcourse.client", *arguments),
            *("--settings", str(context.folder / settings)),
        ],
        capture_output=True,
        text=True,
        timeout=90,
        check=False,
    )


@when('the operator repairs "{name}"')
def repair(context, name):
    """Use the repair command, again if the group has no leader yet."""

    def repaired():
        context.done = command(context, "controller-repair", name)
        return context.done.returncode == 0

    wait_until(repaired, SETTLE_S, f"repair of {name}", 0.5)


@when('the log of a follower is "{damage}"')
def damage_log(context, damage):
    """Kill a follower, damage the end of its log and start it again."""
    cluster = context.cluster
    leader = cluster.wait_leader()
    name = next(each for each in cluster.layout.controllers() if each != leader)
    cluster.kill(name)
    path = context.folder / "data" / name / "log"
    raw = bytearray(path.read_bytes())
    if damage == "torn":
        del raw[-20:]
    else:
        raw[-30] ^= 0x10
    path.write_bytes(bytes(raw))
    cluster.start_daemon(name)
    context.damaged = name
    log = context.folder / f"{name}.log"
    wait_until(lambda: "log_damaged" in log.read_text(), SETTLE_S, "damage noticed")


@then("no controller is damaged any more")
def none_damaged(context):
    """Wait until the leader has given back what was lost."""
    client = context.cluster.operator
    wait_until(
        lambda: not any(status.damaged for status in client.statuses()), SETTLE_S, "no damage"
    )


@when("two operators edit the same version {rounds:d} times at once")
def race(context, rounds):
    """Let both operators edit one entry at the same moment."""
    clients = (context.cluster.operator, context.cluster.second_operator)
    action = put(1)
    version = clients[0].change(action, 0).version
    context.rounds = []
    for number in range(rounds):
        barrier = threading.Barrier(2)
        outcomes = [None, None]

        def edit(index, wanted=number, at=version, gate=barrier, found=outcomes):
            limit = wanted * 2 + index + 1
            gate.wait()
            found[index] = clients[index].change(attrs.evolve(action, open_flows=limit), at)

        threads = [threading.Thread(target=edit, args=(index,)) for index in (0, 1)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        version = max(each.version for each in outcomes)
        context.rounds.append(outcomes)


@then("each time one was accepted and the other saw the version in force")
def one_won(context):
    """Check all rounds."""
    for outcomes in context.rounds:
        won = [each for each in outcomes if each.verdict is Verdict.ACCEPTED]
        lost = [each for each in outcomes if each.verdict is Verdict.CONFLICT]
        assert len(won) == len(lost) == 1, outcomes
        assert lost[0].version == won[0].version, outcomes


@when("all controllers are restarted")
def restart_all(context):
    """Stop and start every controller."""
    for name in context.cluster.layout.controllers():
        context.cluster.terminate(name)
    for name in context.cluster.layout.controllers():
        context.cluster.start_daemon(name)
    context.cluster.wait_leader()


@then("each change sent again to any controller returns its first outcome")
def resend_all(context):
    """Send every change again to each controller."""
    client = context.cluster.operator
    outcomes = list(context.accepted.values())
    for name in context.cluster.layout.controllers():
        for (change_id, action), first in zip(context.sent.items(), outcomes, strict=True):
            req = ProposeChange(change_id=change_id, edit_version=0, action=action)
            assert client._one(name, req, ChangeReply).outcome == first


@when('"{name}" is frozen while {count:d} changes are accepted')
def freeze_while(context, name, count):
    """Freeze a process, let changes pass it by, and let it go on."""
    context.cluster.signal(name, signal.SIGSTOP)
    accept_changes(context, count)
    context.cluster.signal(name, signal.SIGCONT)


@given("a control deployment of one controller that others can join")
def one_controller(context):
    """Bootstrap a group of one; two more controllers run empty."""
    start_control(context)
    cluster = context.cluster
    for name in cluster.layout.controllers():
        cluster.start_daemon(name)
    wait_until(cluster._controllers_answer, SETTLE_S, "controllers answer")
    lines = (context.folder / "operator.ini").read_text(encoding="utf-8").splitlines()
    alone = [line for line in lines if not line.startswith(("controller-2", "controller-3"))]
    first = context.folder / "first.ini"
    first.write_text("\n".join(alone), encoding="utf-8")
    done = command(context, "bootstrap", settings=first.name)
    assert done.returncode == 0, done.stderr
    cluster.wait_leader()


@when('the operator adds "{first}" and "{second}"')
def add_controllers(context, first, second):
    """Add controllers one after the other."""
    for name in (first, second):
        done = command(context, "controller-add", name)
        assert done.returncode == 0, done.stderr


@when('the operator removes "{name}"')
def remove_controller(context, name):
    """Remove a controller, which may be the leader."""
    done = command(context, "controller-remove", name)
    assert done.returncode == 0, done.stderr
    wait_until(lambda: context.cluster._leader() not in ("", name), SETTLE_S, "another leads")


@then("the change of members is refused when it would lose the quorum")
def unsafe_refused(context):
    """Kill one of two voters and try to remove the leader itself."""
    leader = context.cluster.wait_leader()
    other = next(name for name in ("controller-2", "controller-3") if name != leader)
    context.cluster.signal(other, signal.SIGSTOP)
    try:
        done = command(context, "controller-remove", leader)
        assert done.returncode != 0, done.stdout
    finally:
        context.cluster.signal(other, signal.SIGCONT)
    context.cluster.wait_leader()


@when("an operator with a wrong key sends a change")
def wrong_key(context):
    """Send a change under a known name with another key."""
    file = context.folder / "operator.ini"
    text = file.read_text(encoding="utf-8")
    wrong = context.folder / "wrong.ini"
    wrong.write_text(text.replace("a1" * 16, "ff" * 16), encoding="utf-8")
    arguments = ("entry-delete", "price-board", "--version", "1")
    context.done = command(context, *arguments, settings=wrong.name)


@then("the change is refused and the audit trail tells of it")
def refusal_audited(context):
    """Look for the refused access."""
    assert context.done.returncode == 1, context.done
    assert "did not prove its key" in context.done.stderr
    assert "price-board" in context.cluster.operator.state().entries
    found = AuditRequest(operator="unknown", verdict="invalid")
    wait_until(lambda: context.cluster.operator.audit(found), SETTLE_S, "audited")


@when('the operator edits "{name}" setting "{field}" to "{value}"')
def edit_entry(context, name, field, value):
    """Edit one field by the command line; another entry holds 10.77.0.5:4000."""
    client = context.cluster.operator
    client.change(attrs.evolve(put(1), name="other", address="10.77.0.5:4000"), 0)
    context.before = client.state().entries[name]
    version = str(context.before.version)
    context.done = command(context, "entry-edit", name, "--version", version, f"--{field}={value}")


@then('the command ends with status 4 and names "{named}"')
def command_refused(context, named):
    """Check exit status and message."""
    assert context.done.returncode == 4, context.done
    assert f"refused: {named}:" in context.done.stderr, context.done.stderr


@then('the audit trail shows a refusal that names "{named}"')
def audit_names(context, named):
    """Search the refused changes."""
    records = context.cluster.operator.audit(AuditRequest(verdict="invalid"))
    assert any(record.reason.startswith(named) for record in records), records


@then('entry "{name}" is as before')
def entry_unchanged(context, name):
    """Compare the entry."""
    assert context.cluster.operator.state().entries[name] == context.before


@when("a frozen controller holds a change that creates an entry for {seconds:f} seconds")
def hold_change(context, seconds):
    """Send a change to a follower that freezes after the handshake."""
    cluster = context.cluster
    leader = cluster.wait_leader()
    context.frozen = next(each for each in cluster.layout.controllers() if each != leader)
    operator = cluster.operator
    identity = Identity(name="operator-1", kind=KIND_OPERATOR, key=operator.settings.operator_key)
    context.held = connect_stream(operator.controllers[context.frozen], identity)
    cluster.signal(context.frozen, signal.SIGSTOP)
    context.held.send(ProposeChange(change_id=new_id(), edit_version=0, action=put(1)))
    time.sleep(seconds)


@when("the entry is created and deleted through the others, and the controller goes on")
def create_and_delete(context):
    """Change the entry twice while the held change waits."""
    cluster = context.cluster
    created = cluster.operator.change(put(1), 0)
    deleted = cluster.operator.change(DeleteEntry(name=put(1).name), created.version)
    assert is_accepted(created) and is_accepted(deleted), (created, deleted)
    cluster.signal(context.frozen, signal.SIGCONT)


@then("the entry does not exist, and the held change was refused")
def not_created(context):
    """The frozen controller has read the change and not executed it."""
    context.held.set_timeout(5.0)
    answer = context.held.receive()
    context.held.close()
    assert isinstance(answer, Failure) and answer.code == "OrderExpiredError", answer
    assert put(1).name not in context.cluster.operator.state().entries
