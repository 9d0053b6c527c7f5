"""A sample entry, its targets and state changes, shared by several property modules."""

from __future__ import annotations

from lentilcourse.actions import ANY_VERSION, JoinTarget, PutEntry
from lentilcourse.changes import decide_change
from lentilcourse.model import apply_delta
from properties.catalogue import as_change

NAMES = ("t1", "t2", "t3", "t4")


def change_state(state, action):
    """Return the state after an action, unchanged if the action is refused."""
    _, delta = decide_change(state, as_change(f"{state.version}", action, ANY_VERSION))
    return apply_delta(state, delta) if delta is not None else state


def join(name):
    """Return a `JoinTarget` action for a sample target."""
    number = name[1:]
    return JoinTarget(
        name=name,
        service="board",
        domain=f"d{number}",
        incarnation="run-1",
        draining=False,
        data_address=f"127.0.0.{number}:1",
        stream_address=f"127.0.0.{number}:2",
        slots=1,
        connections=100,
    )


ENTRY = PutEntry(
    name="price-board",
    service="board",
    owner="desk",
    traffic_class="standard",
    protocol="udp",
    address="10.0.0.1:4000",
)
