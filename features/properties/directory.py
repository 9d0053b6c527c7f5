"""Properties of the list of agents: what subscribers hold, and what keeping it current costs."""

from __future__ import annotations

import attrs
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from lentilcourse.codec import encode_message
from lentilcourse.directory import (
    RECORD_LIFE_S,
    REFRESH_INTERVAL_S,
    AgentDigest,
    AgentList,
    AgentNotice,
    AgentRecord,
    Directory,
)
from lentilcourse.feed import AGENTS_INTERVAL_S, Subscriber, _ListSender
from lentilcourse.options import Address
from properties import prop

AGENTS = 200
STATES = ("serving", "draining", "idle", "gone")
ONE_RECORD_BYTES = 200
BYTES_PER_REFRESH = 200
"""A checksum and its frame; a list of 200 agents takes 100 times as much."""


def record(number, state="serving"):
    """Return the record of an agent."""
    return AgentRecord(
        name=f"a{number}",
        address=Address(host=f"10.0.{number >> 8}.{number & 255}", port=1),
        service="board",
        domain=f"d{number % 5}",
        state=state,
        slots=1,
    )


class FeedSource:
    """A source with a directory and nothing else."""

    def __init__(self):
        self.directory = Directory()

    def agents(self):
        return self.directory

    def controllers(self):
        return None


class FeedLink:
    """A subscriber's stream, which hands messages over at once and counts their bytes."""

    def __init__(self, digests=True):
        self.directory = Directory()
        self.subscriber = Subscriber(stream=self, version=0, digests=digests)
        self.bytes = 0
        self.now = 0.0

    def send(self, msg):
        self.bytes += len(encode_message(msg))
        if isinstance(msg, AgentList):
            self.directory.offer(msg.notices, self.now)
        if isinstance(msg, AgentDigest) and not self.directory.renew(msg, self.now):
            self.subscriber.wants_agents = True


class FeedWorld:
    """A controller's directory and one subscriber that follows it."""

    def __init__(self, digests=True):
        self.now = 0.0
        self.source = FeedSource()
        self.follow(FeedLink(digests))

    def follow(self, link):
        """Connect a subscriber; the one before it is gone."""
        self.link = link
        self.sender = _ListSender(subscriber=link.subscriber, source=self.source)

    def report(self, numbers, state="serving"):
        """Let agents report themselves to the controller."""
        notices = tuple(AgentNotice(record=record(number, state)) for number in numbers)
        self.source.directory.offer(notices, self.now)

    def run(self, seconds, numbers=()):
        """Let time pass; some agents report themselves every second."""
        for _ in range(round(seconds / AGENTS_INTERVAL_S)):
            if round(self.now / AGENTS_INTERVAL_S) % 20 == 0:
                self.report(numbers)
            self.now += AGENTS_INTERVAL_S
            self.link.now = self.now
            self.source.directory.expire(self.now)
            self.link.directory.expire(self.now)
            self.sender.send_due(self.now)


@prop("directory.unchanged_agents_cost_nothing")
def check_idle_bytes():
    """Agents that do not change cost no list, however many there are (hundreds of machines).

    Whole lists every 4 s were a quarter of the bytes between failure domains at 200 machines.
    """
    world = FeedWorld()
    world.run(1.0, range(AGENTS))
    before = world.link.bytes
    world.run(3 * RECORD_LIFE_S, range(AGENTS))
    refreshes = 3 * RECORD_LIFE_S / REFRESH_INTERVAL_S
    assert world.link.bytes - before <= refreshes * BYTES_PER_REFRESH
    assert len(world.link.directory.records()) == AGENTS


@prop("directory.one_change_costs_one_record")
@given(st.integers(0, AGENTS - 1))
def check_change_bytes(number):
    """A change of one agent sends one record to a subscriber, not the list."""
    world = FeedWorld()
    world.run(1.0, range(AGENTS))
    before = world.link.bytes
    world.report([number], "draining")
    world.run(0.2)
    assert 0 < world.link.bytes - before <= ONE_RECORD_BYTES


@prop("directory.earlier_builds_get_whole_lists")
def check_earlier_build():
    """A subscriber that knows no checksum still holds all agents after their records' life."""
    world = FeedWorld(digests=False)
    world.run(3 * RECORD_LIFE_S, range(8))
    assert len(world.link.directory.records()) == 8


@prop("directory.silent_agents_are_dropped")
def check_silent():
    """Checksums do not keep an agent alive that the controller has not heard for a while."""
    world = FeedWorld()
    world.run(1.0, range(8))
    world.run(RECORD_LIFE_S + 2.0, range(4))
    assert {each.name for each in world.link.directory.records()} == {f"a{n}" for n in range(4)}


class FollowedDirectory(RuleBasedStateMachine):
    """A subscriber that moves between controllers whose lists differ for a while."""

    def __init__(self):
        super().__init__()
        self.world = FeedWorld()

    @rule(numbers=st.sets(st.integers(0, 7)), state=st.sampled_from(STATES))
    def report(self, numbers, state):
        self.world.report(numbers, state)

    @rule(seconds=st.sampled_from((0.1, 1.0, 5.0)))
    def wait(self, seconds):
        self.world.run(seconds)

    @rule(numbers=st.sets(st.integers(0, 7)), state=st.sampled_from(STATES))
    def hear_from_another(self, numbers, state):
        """Give the subscriber records that its controller does not have."""
        notices = tuple(AgentNotice(record=record(number, state)) for number in numbers)
        self.world.link.directory.offer(notices, self.world.now)

    @rule()
    def follow_again(self):
        """Connect once more, with the records held so far."""
        link = self.world.link
        link.subscriber = attrs.evolve(link.subscriber, wants_agents=True)
        self.world.follow(link)

    @invariant()
    def checksum_tells_the_records(self):
        """Equal checksums mean equal records."""
        own, other = self.world.link.directory, self.world.source.directory
        if own.digest == other.digest:
            assert own.records() == other.records() and own.gone() == other.gone()

    def teardown(self):
        """Once nothing changes any more, the subscriber holds what the controller holds."""
        self.world.run(RECORD_LIFE_S + 2 * REFRESH_INTERVAL_S, range(3))
        own, other = self.world.link.directory, self.world.source.directory
        assert own.records() == other.records()


@prop("directory.subscribers_agree_in_the_end")
def check_agreement():
    """A subscriber's list agrees with its controller's, whatever it held before."""
    run_state_machine_as_test(FollowedDirectory)
