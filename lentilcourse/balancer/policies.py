"""Candidate policies for requests: which target is tried first.

A policy orders the targets that take new work. `two-choices` compares two random targets by
in-band evidence; the others are baselines for measurements.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Sequence
from typing import Final, TypeAlias

from lentilcourse.balancer.links import EVIDENCE_LIFE_S, AgentLinks
from lentilcourse.kernel.registry import Registry
from lentilcourse.model import Target

Policy: TypeAlias = Callable[[Sequence[Target], AgentLinks, float], list[Target]]

POLICY_PLUGINS: Final[Registry[Policy]] = Registry(kind="policy")

_rng = random.Random()
_turn = itertools.count()


@POLICY_PLUGINS.register("two-choices")
def order_by_two_choices(targets: Sequence[Target], links: AgentLinks, now: float) -> list[Target]:
    """Put the less loaded of two random targets first, the rest in random order behind."""
    ordered = _rng.sample(list(targets), len(targets))
    pair = sorted(ordered[:2], key=lambda target: expected_wait(target, links, now))
    return pair + ordered[2:]


@POLICY_PLUGINS.register("random")
def order_randomly(targets: Sequence[Target], links: AgentLinks, now: float) -> list[Target]:
    """Order targets at random."""
    return _rng.sample(list(targets), len(targets))


@POLICY_PLUGINS.register("round-robin")
def order_by_turn(targets: Sequence[Target], links: AgentLinks, now: float) -> list[Target]:
    """Order targets by turn."""
    start = next(_turn) % len(targets) if targets else 0
    return list(targets[start:]) + list(targets[:start])


def expected_wait(target: Target, links: AgentLinks, now: float) -> float:
    """Return the expected time in ms until `target` would answer one more request.

    Evidence older than `EVIDENCE_LIFE_S` counts as no evidence: the target is then judged by
    the requests that this balancer has there.
    """
    link = links.peek(target)
    if link is None:
        return 0.0
    evidence = link.evidence
    if evidence is None or now - link.evidence_time > EVIDENCE_LIFE_S:
        return float(link.outstanding)
    waiting = max(evidence.in_flight, link.outstanding) + 1
    return waiting / max(1, evidence.capacity) * max(evidence.answer_ms, 0.1)
