"""Changes of the replicated state, and the rule by which each is accepted or refused.

A `Change` travels through the replicated log; every replica applies the same changes in the
same order with `decide_change`, which is deterministic: it reads only the state and the
change. An action is refused whole, with the field named, or applied whole.
"""

from __future__ import annotations

import enum
from functools import singledispatch
from typing import Final

import attrs

from lentilcourse import error_texts
from lentilcourse.actions import (
    ANY_VERSION,
    Change,
    DeleteEntry,
    DrainTarget,
    ForgetAgent,
    JoinTarget,
    LoseTarget,
    Outcome,
    PublishCatalogue,
    PutEntry,
    RefusedAccess,
    RegisterAgent,
    RemoveTarget,
    SetDomain,
    SetShares,
    Verdict,
)
from lentilcourse.catalogue import succeed_catalogue
from lentilcourse.errors import ChangeRefusedError, InvalidChangeError, VersionConflictError
from lentilcourse.model import (
    Domain,
    DomainState,
    Entry,
    Limits,
    Protocol,
    RegisteredAgent,
    State,
    StateDelta,
    Target,
    TargetState,
    TrafficClass,
)
from lentilcourse.options import Address, parse_address, parse_name

MAX_LIMIT: Final = 100_000_000
MAX_SLOTS: Final = 100_000
MAX_CONNECTIONS: Final = 10_000_000


def decide_change(state: State, change: Change) -> tuple[Outcome, StateDelta | None]:
    """Return the outcome of `change` against `state`, and the delta if it is accepted."""
    try:
        delta = build_delta(change.action, state, change.edit_version)
    except VersionConflictError as exc:
        outcome = Outcome(
            change_id=change.change_id,
            verdict=Verdict.CONFLICT,
            version=exc.current_version,
            reason=str(exc),
        )
        return outcome, None
    except InvalidChangeError as exc:
        outcome = Outcome(
            change_id=change.change_id,
            verdict=Verdict.INVALID,
            version=state.version,
            field=exc.field,
            reason=exc.reason,
        )
        return outcome, None
    version = delta.version if delta is not None else state.version
    accepted = Outcome(change_id=change.change_id, verdict=Verdict.ACCEPTED, version=version)
    return accepted, delta


@singledispatch
def build_delta(action: object, state: State, edit_version: int) -> StateDelta | None:
    """Return the delta of an action, None if it is accepted and changes nothing.

    Raises `ChangeRefusedError` for an action that is refused.
    """
    raise ChangeRefusedError(error_texts.MESSAGE_UNEXPECTED.format(name=type(action).__name__))


@build_delta.register
def _put_entry(action: PutEntry, state: State, edit_version: int) -> StateDelta:
    current = state.entries.get(action.name)
    _check_entry_version(action, current, edit_version)
    version = state.version + 1
    entry = Entry(
        name=_checked_name("name", action.name),
        entry_id=current.entry_id if current else version,
        version=version,
        service=_checked_name("service", action.service),
        owner=_checked_name("owner", action.owner),
        traffic_class=TrafficClass(_checked_choice("class", action.traffic_class, TrafficClass)),
        protocol=Protocol(_checked_choice("protocol", action.protocol, Protocol)),
        address=_checked_address("address", action.address),
        limits=_checked_limits(action),
    )
    _refuse_taken_address(entry, state)
    return StateDelta(version=version, entries=(entry,))


@build_delta.register
def _publish_catalogue(
    action: PublishCatalogue, state: State, edit_version: int
) -> StateDelta | None:
    if action.catalogue.number <= state.catalogue.number:
        return None
    catalogue = succeed_catalogue(state.catalogue, action.catalogue)
    return StateDelta(version=state.version + 1, catalogue=catalogue)


@build_delta.register
def _register_agent(action: RegisterAgent, state: State, edit_version: int) -> StateDelta | None:
    if action.name in state.agents:
        return None
    version = state.version + 1
    agent = RegisteredAgent(name=_checked_name("name", action.name), version=version)
    return StateDelta(version=version, agents=(agent,))


@build_delta.register
def _forget_agent(action: ForgetAgent, state: State, edit_version: int) -> StateDelta | None:
    if action.name not in state.agents:
        return None
    return StateDelta(version=state.version + 1, removed_agents=(action.name,))


@build_delta.register
def _delete_entry(action: DeleteEntry, state: State, edit_version: int) -> StateDelta:
    current = state.entries.get(action.name)
    if current is None:
        raise InvalidChangeError("name", error_texts.NOT_FOUND.format(name=action.name))
    _check_version(current.version, edit_version)
    shares = [name for name, share in state.shares.items() if share.entry_id == current.entry_id]
    return StateDelta(
        version=state.version + 1,
        removed_entries=(action.name,),
        removed_shares=tuple(sorted(shares)),
    )


@build_delta.register
def _set_domain(action: SetDomain, state: State, edit_version: int) -> StateDelta:
    name = _checked_name("name", action.name)
    wanted = DomainState(_checked_choice("state", action.state, DomainState))
    current = state.domains.get(name)
    has_target = any(target.domain == name for target in state.targets.values())
    known = has_target or state.catalogue.number > 0
    if current is None and not known:
        raise InvalidChangeError("name", error_texts.NOT_FOUND.format(name=name))
    _check_version(current.version if current else 0, edit_version)
    now_in = current.state if current else DomainState.IN
    if now_in is wanted:
        text = error_texts.DOMAIN_UNCHANGED.format(name=name, state=wanted.value)
        raise InvalidChangeError("state", text)
    version = state.version + 1
    return StateDelta(version=version, domains=(Domain(name=name, version=version, state=wanted),))


@build_delta.register
def _drain_target(action: DrainTarget, state: State, edit_version: int) -> StateDelta:
    current = state.targets.get(action.name)
    if current is None:
        raise InvalidChangeError("name", error_texts.NOT_FOUND.format(name=action.name))
    _check_version(current.version, edit_version)
    if current.state is TargetState.DRAINING:
        text = error_texts.TARGET_UNCHANGED.format(name=action.name, state="draining")
        raise InvalidChangeError("state", text)
    return _target_delta(state, attrs.evolve(current, state=TargetState.DRAINING))


@build_delta.register
def _join_target(action: JoinTarget, state: State, edit_version: int) -> StateDelta:
    current = state.targets.get(action.name)
    same_run = current is not None and current.incarnation == action.incarnation
    joined = Target(
        name=_checked_name("name", action.name),
        target_id=current.target_id if current and same_run else state.version + 1,
        version=state.version + 1,
        service=_checked_name("service", action.service),
        domain=_checked_name("domain", action.domain),
        incarnation=action.incarnation,
        state=TargetState.DRAINING if action.draining else TargetState.ACTIVE,
        lost=False,
        data_address=_checked_address("data_address", action.data_address),
        stream_address=_checked_address("stream_address", action.stream_address),
        slots=_checked_range("slots", action.slots, 1, MAX_SLOTS),
        connections=_checked_range("connections", action.connections, 1, MAX_CONNECTIONS),
        agent_run=action.agent_run,
        agent_restarts=_agent_restarts(action, current) if same_run else 0,
    )
    if current and same_run and current.state is TargetState.DRAINING:
        joined = attrs.evolve(joined, state=TargetState.DRAINING)
    if current and attrs.evolve(joined, version=current.version) == current:
        text = error_texts.TARGET_UNCHANGED.format(name=action.name, state=current.state.value)
        raise InvalidChangeError("incarnation", text)
    return _target_delta(state, joined)


@build_delta.register
def _lose_target(action: LoseTarget, state: State, edit_version: int) -> StateDelta:
    current = _same_run_target(state, action.name, action.incarnation)
    if current.lost:
        text = error_texts.TARGET_UNCHANGED.format(name=action.name, state="lost")
        raise InvalidChangeError("state", text)
    return _target_delta(state, attrs.evolve(current, lost=True, planned_stop=action.planned))


@build_delta.register
def _remove_target(action: RemoveTarget, state: State, edit_version: int) -> StateDelta:
    current = _same_run_target(state, action.name, action.incarnation)
    return StateDelta(version=state.version + 1, removed_targets=(current.name,))


@build_delta.register
def _set_shares(action: SetShares, state: State, edit_version: int) -> StateDelta:
    if action.name not in state.entries:
        raise InvalidChangeError("name", error_texts.NOT_FOUND.format(name=action.name))
    version = state.version + 1
    shares = tuple(attrs.evolve(share, version=version) for share in action.shares)
    return StateDelta(version=version, shares=shares, removed_shares=action.removed)


@build_delta.register
def _refused_access(action: RefusedAccess, state: State, edit_version: int) -> StateDelta:
    raise InvalidChangeError("key", action.reason)


def _agent_restarts(action: JoinTarget, current: Target | None) -> int:
    if current is None:
        return 0
    return current.agent_restarts + (action.agent_run != current.agent_run)


def _target_delta(state: State, target: Target) -> StateDelta:
    version = state.version + 1
    return StateDelta(version=version, targets=(attrs.evolve(target, version=version),))


def _same_run_target(state: State, name: str, incarnation: str) -> Target:
    current = state.targets.get(name)
    if current is None or current.incarnation != incarnation:
        raise InvalidChangeError("incarnation", error_texts.NOT_FOUND.format(name=name))
    return current


def _check_entry_version(action: PutEntry, current: Entry | None, edit_version: int) -> None:
    if current is None and edit_version > 0:
        raise InvalidChangeError("name", error_texts.NOT_FOUND.format(name=action.name))
    _check_version(current.version if current else 0, edit_version)


def _check_version(current_version: int, edit_version: int) -> None:
    if edit_version not in (ANY_VERSION, current_version):
        raise VersionConflictError(current_version)


def _checked_name(field: str, text: str) -> str:
    try:
        return parse_name(text)
    except ValueError as exc:
        raise InvalidChangeError(field, str(exc)) from None


def _checked_choice(field: str, text: str, choices: type[enum.Enum]) -> str:
    values = [choice.value for choice in choices]
    if text not in values:
        reason = error_texts.NOT_A_CHOICE.format(choices=", ".join(values))
        raise InvalidChangeError(field, reason)
    return text


def _checked_address(field: str, text: str) -> Address:
    try:
        return parse_address(text)
    except ValueError as exc:
        raise InvalidChangeError(field, str(exc)) from None


def _checked_range(field: str, value: int, low: int, high: int) -> int:
    if not low <= value <= high:
        reason = error_texts.NOT_IN_RANGE.format(low=low, high=high)
        raise InvalidChangeError(field, reason)
    return value


def _checked_limits(action: PutEntry) -> Limits:
    return Limits(
        open_flows=_checked_limit("open_flows", action.open_flows),
        new_flows_per_s=_checked_limit("new_flows_per_s", action.new_flows_per_s),
        requests_in_flight=_checked_limit("requests_in_flight", action.requests_in_flight),
    )


def _checked_limit(field: str, value: int) -> int:
    if not 0 <= value <= MAX_LIMIT:
        raise InvalidChangeError(field, error_texts.LIMIT_RANGE.format(low=1, high=MAX_LIMIT))
    return value


def _refuse_taken_address(entry: Entry, state: State) -> None:
    for other in state.entries.values():
        same_address = other.address == entry.address and other.protocol is entry.protocol
        if same_address and other.name != entry.name:
            text = error_texts.ADDRESS_TAKEN.format(
                address=entry.address, protocol=entry.protocol.value, name=other.name
            )
            raise InvalidChangeError("address", text)
