"""Properties of admission: cold starts, answer times, rates and entry limits."""

from __future__ import annotations

import attrs
from hypothesis import example, given, settings
from hypothesis import strategies as st

from lentilcourse.actions import DrainTarget, SetDomain
from lentilcourse.agent.admission import AdmissionView, Decline, cold_limit, decide_new_flow
from lentilcourse.agent.cold_detection import (
    MIN_RECENT_SAMPLES,
    MIN_SAMPLES,
    RELEARN_S,
    ColdDetector,
    responses_turned_slow,
)
from lentilcourse.agent.rate_window import RateWindow
from lentilcourse.agent.target import TargetHealth
from lentilcourse.controller.shares import due_shares
from lentilcourse.messages.state import Announcement, EntryUsage
from lentilcourse.model import LIMIT_FIELDS, Limits, State, share_name
from properties import prop
from properties.members import ENTRY, NAMES, change_state, join

LOADS = {
    "open_flows": st.integers(0, 120),
    "connections": st.integers(1, 100),
    "cold_since": st.floats(0, 100),
    "entry_flows": st.integers(0, 50),
    "open_share": st.none() | st.integers(0, 50),
    "rate_left": st.none() | st.integers(-2, 5),
}
views = st.builds(
    AdmissionView,
    health=st.sampled_from(TargetHealth),
    draining=st.booleans(),
    domain_out=st.booleans(),
    stopping=st.booleans(),
    **LOADS,
)
ready_views = st.builds(
    AdmissionView,
    health=st.just(TargetHealth.SERVING),
    draining=st.just(False),
    domain_out=st.just(False),
    stopping=st.just(False),
    **LOADS,
)


@prop("flows.admission_is_safe")
@settings(max_examples=400)
@given(views | ready_views, st.floats(0, 12))
def check_admission(view, age):
    """A flow is accepted exactly if target and agent are in service and all limits have room."""
    now = view.cold_since + age
    decline = decide_new_flow(view, now)
    expected = (
        view.health is TargetHealth.SERVING
        and not (view.draining or view.domain_out or view.stopping)
        and view.open_flows
        < min(view.connections, cold_limit(view.connections, view.cold_since, now))
        and (view.open_share is None or view.entry_flows < view.open_share)
        and (view.rate_left is None or view.rate_left > 0)
    )
    assert (decline is Decline.NONE) == expected


@prop("flows.cold_limit_grows")
@given(st.integers(1, 10_000), st.floats(0, 100), st.floats(0, 100))
def check_cold_limit(full, first, second):
    """The cold limit starts small, never decreases over time and reaches the full limit."""
    early, late = sorted((first, second))
    assert 1 <= cold_limit(full, 0.0, early) <= cold_limit(full, 0.0, late) <= full
    assert cold_limit(full, 0.0, 0.0) <= max(1, full // 10)
    assert cold_limit(full, 0.0, 60.0) == full


@prop("flows.pulse_notices_coldness")
@given(
    st.lists(st.floats(0.05, 0.1), min_size=30, max_size=60),
    st.floats(4.5, 20.0),
    st.booleans(),
)
def check_cold_detection(answers, factor, fails):
    """Steady answers keep a target warm; a failure makes it cold at once, slow answers soon."""
    cold_detector = ColdDetector()
    for number, seconds in enumerate(answers):
        cold_detector.observe_answer(seconds, float(number))
    assert cold_detector.turned_cold == 0
    if fails:
        cold_detector.observe_failure(500.0)
        assert cold_detector.cold_since == 500.0
        return
    slow = max(answers) * factor
    for number in range(12):
        cold_detector.observe_answer(slow, 600.0 + number)
    assert cold_detector.turned_cold >= 1
    assert not responses_turned_slow(1.0, 0.1, 0)


@prop("flows.cold_target_stays_cold")
@given(
    st.floats(0.03, 1.0),
    st.floats(4.0, 20.0),
    st.integers(1, 200),
    st.sampled_from(("domain", "start", "failure")),
)
def check_stays_cold(warm_s, factor, cold_answers, why):
    """A cold target warms up only once its answers are as fast as before.

    The exception is a target that has been slow for `RELEARN_S`: its new speed counts as warm.
    """
    cold_detector, now = ColdDetector(), 1000.0
    for _ in range(60):
        now += warm_s
        cold_detector.observe_answer(warm_s, now)
    if why == "failure":
        cold_detector.observe_failure(now)
    else:
        cold_detector.start_cold(now)
    cold_start = now
    for _ in range(cold_answers):
        now += warm_s * factor
        cold_detector.observe_answer(warm_s * factor, now)
        if now - cold_start < RELEARN_S:
            assert now - cold_detector.cold_since <= MIN_RECENT_SAMPLES * warm_s * factor + 1e-9
    for _ in range(MIN_SAMPLES * 10):
        now += warm_s
        cold_detector.observe_answer(warm_s, now)
    assert now - cold_detector.cold_since > MIN_SAMPLES * warm_s


@prop("flows.slow_target_is_learnt")
@given(st.floats(0.03, 0.3), st.floats(4.0, 20.0))
def check_relearns(warm_s, factor):
    """A target that stays slow regains its full limit within twice `RELEARN_S`."""
    cold_detector, now = ColdDetector(), 1000.0
    for _ in range(60):
        now += warm_s
        cold_detector.observe_answer(warm_s, now)
    end = now + 2 * RELEARN_S
    while now < end:
        now += warm_s * factor
        cold_detector.observe_answer(warm_s * factor, now)
    assert cold_limit(100, cold_detector.cold_since, now) == 100


@prop("flows.rate_never_exceeded")
@given(st.lists(st.floats(0, 0.4), max_size=60), st.integers(1, 6))
def check_rate(gaps, limit):
    """No interval of one second contains more events than the limit."""
    window = RateWindow()
    now, accepted = 0.0, []
    for gap in gaps:
        now += gap
        if window.count(7, now) < limit:
            window.add(7, now)
            accepted.append(now)
    for start in accepted:
        assert sum(start <= each <= start + 1.0 for each in accepted) <= limit


@attrs.define(kw_only=True)
class LaggingAgent:
    """An agent that may have an outdated state and always uses its whole share."""

    state: State
    used: int = 0


SHRINK_WHILE_USED = [
    ("join", "t1", 1),
    ("share", "t1", 1),
    ("learn", "t1", 1),
    ("join", "t2", 1),
    ("share", "t1", 1),
    ("share", "t1", 1),
    ("learn", "t2", 1),
]


@prop("limits.never_exceeded")
@example(SHRINK_WHILE_USED)
@settings(max_examples=300)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(("join", "drain", "out", "in", "learn", "share", "end", "limit")),
            st.sampled_from(NAMES),
            st.integers(1, 12),
        ),
        max_size=60,
    )
)
def check_limits(steps):
    """Agents that use their whole share of outdated versions never exceed a constant limit."""
    state = change_state(State(), attrs.evolve(ENTRY, open_flows=12))
    agents = {name: LaggingAgent(state=state) for name in NAMES}
    for what, name, number in steps:
        agent = agents[name]
        if what == "join":
            state = change_state(state, join(name))
        elif what == "drain":
            state = change_state(state, DrainTarget(name=name))
        elif what in ("out", "in"):
            state = change_state(state, SetDomain(name=f"d{name[1:]}", state=what))
        elif what == "learn":
            agent.state = state
        elif what == "end":
            agent.used = max(0, agent.used - number)
        elif what == "share":
            announcements = {
                each: announce(each, agents[each]) for each in NAMES if each in state.targets
            }
            for action in due_shares(state, announcements):
                state = change_state(state, action)
        for each in NAMES:
            share = agents[each].state.shares.get(share_name("price-board", each))
            if share is not None:
                agents[each].used = max(agents[each].used, share.granted.open_flows)
        assert sum(each.used for each in agents.values()) <= 12
        bounds = sum(share.bound.open_flows for share in state.shares.values())
        assert bounds <= 12


def announce(name, agent):
    """Return the announcement of a lagging agent."""
    entry = agent.state.entries["price-board"]
    return Announcement(
        service="board",
        domain=f"d{name[1:]}",
        incarnation="run-1",
        draining=False,
        leaving=False,
        data_address="127.0.0.1:1",
        stream_address="127.0.0.1:2",
        slots=1,
        connections=100,
        version=agent.state.version,
        usage=(EntryUsage(entry_id=entry.entry_id, used=Limits(open_flows=agent.used)),),
    )


@prop("limits.whole_limit_is_usable")
@given(st.integers(1, 200), st.integers(1, 4))
def check_limit_is_usable(limit, count):
    """Once all agents have confirmed, the shares add up to the limit."""
    state = change_state(State(), attrs.evolve(ENTRY, open_flows=limit, new_flows_per_s=limit))
    for name in NAMES[:count]:
        state = change_state(state, join(name))
    for _ in range(4):
        agents = {name: LaggingAgent(state=state) for name in NAMES[:count]}
        announcements = {name: announce(name, agents[name]) for name in agents}
        for action in due_shares(state, announcements):
            state = change_state(state, action)
    for field in LIMIT_FIELDS[:2]:
        assert sum(getattr(share.granted, field) for share in state.shares.values()) == limit
