"""Properties of the fault soak's drawn disturbances."""

from __future__ import annotations

import itertools
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from lentilcourse.lab.shapes import SAMAHAN, Layout
from lentilcourse.lab.soak import (
    MAX_AGENT_DOWN_S,
    MEMORY_LOSS_GAP_S,
    MEMORY_LOSSES,
    SIGNAL_KINDS,
    draw_disturbances,
)
from properties import prop

LAYOUT = Layout(shape=SAMAHAN, prefix="127.1", folder=str(Path("run")), links=True)
SECONDS = 30.0


@prop("soak.disturbances_stay_within_the_design")
@given(st.integers(0, 10_000))
def check_disturbances(seed):
    """A seed draws the same disturbances again, and none that the design does not promise to bear.

    One balancer stays undisturbed, signals to one process do not overlap, and two agents do not
    lose their memory within the time that records need to be restored.
    """
    drawn = draw_disturbances(seed, LAYOUT, SECONDS)
    assert drawn == draw_disturbances(seed, LAYOUT, SECONDS)
    assert all(each.process != "balancer-1" for each in drawn)
    agents = {place.name for place in LAYOUT.targets()}
    losses = [each for each in drawn if each.kind in MEMORY_LOSSES and each.process in agents]
    for earlier, later in itertools.pairwise(losses):
        assert later.at_s - earlier.at_s - earlier.for_s >= MEMORY_LOSS_GAP_S
    links = [each for each in drawn if each.kind not in SIGNAL_KINDS]
    for loss in losses:
        assert loss.for_s <= MAX_AGENT_DOWN_S
        for link in links:
            first, second = sorted((loss, link), key=lambda each: each.at_s)
            assert second.at_s - first.at_s - first.for_s >= MEMORY_LOSS_GAP_S
    signalled = [each for each in drawn if each.kind in SIGNAL_KINDS]
    for index, each in enumerate(signalled):
        for later in signalled[index + 1 :]:
            assert later.process != each.process or later.at_s > each.at_s + each.for_s
