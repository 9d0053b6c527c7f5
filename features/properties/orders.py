"""Properties on operators' orders that outlive their callers."""

from __future__ import annotations

import socket
import threading

import attrs
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from lentilcourse.actions import PublishCatalogue, SetDomain, Verdict
from lentilcourse.catalogue import Catalogue
from lentilcourse.clocks import MS_PER_S, boot_time_s
from lentilcourse.controller.progress import NEVER, LeaderDeadline, Role
from lentilcourse.errors import OrderExpiredError
from lentilcourse.http_server import HttpServerConnection
from lentilcourse.model import DomainState
from lentilcourse.options import Address
from lentilcourse.sockets import accept_until
from lentilcourse.steering.target_watch import TargetReport, TargetWatch
from lentilcourse.steering.target_watch import Verdict as WatchVerdict
from properties import prop
from properties.broken_input import change
from properties.consensus import NAMES, group

PATIENCE_S = 1.0
DOMAIN = "zone-a"


@attrs.frozen(kw_only=True)
class HeldOrder:
    """An order that is delayed; its caller waits for it until `expires`.

    A controller holds it unread or, with a `bound`, has passed it on to the leader.
    """

    holder: str
    wanted: str
    expires: float
    bound: LeaderDeadline | None = None


class OrderMachine(RuleBasedStateMachine):
    """Callers give orders on one domain to controllers that hold them for any time.

    A caller that gives up sends its order elsewhere or gives another one; the last acknowledged
    order must stay in force.
    """

    def __init__(self):
        super().__init__()
        self.group = group()
        self.held = []
        self.sequence = 0
        self.acknowledged = None
        publish = PublishCatalogue(name="c", catalogue=Catalogue(number=1))
        assert self.append(publish, NEVER)

    def teardown(self):
        self.group.teardown()

    def leader(self):
        """Return the leader; nothing disturbs it here."""
        return next(each for each in self.group.replicas.values() if each.role is Role.LEADER)

    def append(self, action, expires):
        """Let the leader append a change; returns whether it has been applied."""
        self.sequence += 1
        fut = self.leader().propose(
            change(f"order-{self.sequence}", action), self.group.now, expires
        )
        self.leader().write_proposals(self.group.now)
        self.group.settle(None)
        return fut.done() and fut.exception() is None

    def submit(self, order):
        """Go on with an order, as its controller does; returns whether it has been applied."""
        action = SetDomain(name=DOMAIN, state=order.wanted)
        if order.bound is not None:
            if order.bound.term != self.leader().term:
                return False
            return self.append(action, order.bound.expires_ms / MS_PER_S)
        if self.group.now >= order.expires:
            return False
        return self.append(action, order.expires)

    @rule(
        holder=st.sampled_from(NAMES),
        wanted=st.sampled_from(("out", "in")),
        forwarded=st.booleans(),
    )
    def hold(self, holder, wanted, forwarded):
        """An order is delayed at a controller, or on its way from there to the leader."""
        expires = self.group.now + PATIENCE_S
        replica = self.group.replicas[holder]
        bound = replica.leader_deadline(expires) if forwarded else None
        self.held.append(HeldOrder(holder=holder, wanted=wanted, expires=expires, bound=bound))

    @rule(seconds=st.floats(0.0, 0.9))
    def wait(self, seconds):
        """Time passes, while the leader stays in touch."""
        self.group.now += seconds
        self.group.settle(None)

    @rule(holder=st.sampled_from(NAMES), wanted=st.sampled_from(("out", "in")))
    def order(self, holder, wanted):
        """A caller that has given up all former orders gives one, and gets its answer."""
        latest = max((each.expires for each in self.held), default=0.0)
        self.group.now = max(self.group.now, latest)
        self.group.settle(None)
        order = HeldOrder(holder=holder, wanted=wanted, expires=self.group.now + PATIENCE_S)
        if self.submit(order):
            self.acknowledged = wanted

    @rule(index=st.integers(0, 5))
    def wake(self, index):
        """A controller submits an order that it holds."""
        if not self.held:
            return
        order = self.held.pop(index % len(self.held))
        in_time = self.group.now < order.expires
        if self.submit(order) and in_time:
            self.acknowledged = order.wanted
        self.check()

    def check(self):
        """The last acknowledged order is in force."""
        for replica in self.group.replicas.values():
            domain = replica.machine.state.domains.get(DOMAIN)
            state = domain.state if domain is not None else DomainState.IN
            if self.acknowledged is not None and replica.role is Role.LEADER:
                assert state.value == self.acknowledged


@prop("orders.last_acknowledged_order_wins")
def check_register():
    """An order that its caller has given up takes no effect, whoever held it.

    A frozen controller executed the return of a domain that had been emptied again.
    """
    run_state_machine_as_test(OrderMachine)


@prop("orders.expired_order_is_not_appended")
@given(st.floats(0.0, 3.0))
def check_expiry(waited):
    """An order that waits in the leader's queue past its time is dropped, with that reason."""
    machine = group()
    leader = machine.replicas["a"]
    last = leader.last_index
    order = change("late", SetDomain(name=DOMAIN, state="out"))
    fut = leader.propose(order, machine.now, machine.now + PATIENCE_S)
    leader.write_proposals(machine.now + waited)
    if waited >= PATIENCE_S:
        assert (
            isinstance(fut.exception(timeout=1.0), OrderExpiredError) and leader.last_index == last
        )
    else:
        machine.settle(None)
        assert fut.result(timeout=1.0).verdict in (Verdict.ACCEPTED, Verdict.INVALID)
    machine.teardown()


@prop("orders.converted_time_is_never_late")
@given(st.floats(-1000, 1000), st.floats(0.0, 5.0), st.floats(0.0, 5.0))
def check_conversion(skew, delay, age):
    """A follower's bound by the leader's clock is not later than the true one.

    `skew` is the follower's clock minus the leader's, `delay` the time that the leader's message
    was on its way, and `age` the time since it came.
    """
    machine = group()
    leader, follower = machine.replicas["a"], machine.replicas["b"]
    machine.now += 1.0
    req = leader.next_request(follower.replica_id, machine.now)
    follower.on_append_request(req, machine.now + delay + skew)
    true_expiry = machine.now + delay + age + PATIENCE_S
    bound = follower.leader_deadline(true_expiry + skew)
    assert bound.term == leader.term
    early_s = true_expiry - bound.expires_ms / MS_PER_S
    assert -1e-6 <= early_s <= delay + 0.01
    machine.teardown()


@prop("orders.queued_connection_is_old")
def check_queue():
    """A request that waited in the listener's queue or in its socket tells so."""
    listener = socket.create_server(("127.0.0.1", 0))
    listener.settimeout(0.2)
    began = boot_time_s()
    accepting = accept_until(listener, threading.Event())
    old = socket.create_connection(listener.getsockname())
    accepted = [next(accepting)]
    old.sendall(b"POST /evacuate/z HTTP/1.1\r\nhost: x\r\n\r\n")
    conn = HttpServerConnection(sock=accepted[0].sock, opened_after=accepted[0].opened_after)
    assert began <= accepted[0].opened_after <= boot_time_s()
    assert conn.wait_for_request(lambda: True)
    req = conn.read_request()
    assert req.sent_after == accepted[0].opened_after and not req.caller_left(0.0)
    others = [socket.create_connection(listener.getsockname()) for _ in range(2)]
    waiting_since = boot_time_s()
    accepted += [next(accepting) for _ in others]
    assert all(each.opened_after <= waiting_since for each in accepted[1:])
    old.close()
    assert req.caller_left(1.0)
    for each in (listener, *others, *(each.sock for each in accepted)):
        each.close()


@prop("orders.late_leave_ends_no_later_run")
def check_leave():
    """A frozen agent reads a target's leave after the target has announced itself again."""
    address = Address(host="10.0.0.1", port=80)
    watch = TargetWatch(address=address, announcement_life_s=5.0)
    runs = [
        TargetReport(
            target_id="t",
            born_ms=born,
            sequence=1,
            service="s",
            address=address,
            slots=1,
            draining=False,
            cold_s=0.0,
        )
        for born in (100, 200)
    ]
    watch.record_announcement(runs[0], 1.0)
    watch.record_announcement(runs[1], 9.0)
    assert not watch.remove("t", 5.0) and watch.is_present(9.0)
    assert watch.record_announcement(attrs.evolve(runs[1], sequence=2), 9.1) is WatchVerdict.RENEWED
    assert watch.remove("t", 9.5) and watch.has_left
