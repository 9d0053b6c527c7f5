"""The replicated state machine: catalogue state, outcomes by change ID and audit trail.

`CatalogueMachine.apply` is deterministic. Outcomes are kept so that a change resent with the same
change ID returns the first outcome, also after a restart and from another controller. The numbers
of outcomes and audit records are bounded; the oldest are evicted first.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import Final

import attrs

from lentilcourse import error_texts
from lentilcourse.actions import Change, Outcome, Verdict, subject, summarize
from lentilcourse.changes import decide_change
from lentilcourse.codec import pack_record, unpack_record
from lentilcourse.logs import get_logger
from lentilcourse.messages.operators import AuditRecord, AuditRequest
from lentilcourse.model import State, StateDelta, apply_delta

_log = get_logger(__name__)

MAX_OUTCOMES: Final = 20_000
MAX_AUDIT_RECORDS: Final = 20_000
MAX_DELTAS: Final = 1_000
MAX_DELTA_BYTES: Final = 1024 * 1024
"""Maximum document bytes in the kept deltas; a subscriber further behind gets the full state."""


@attrs.frozen(kw_only=True)
class MachineImage:
    """Complete content of the state machine as stored in a snapshot."""

    state: State
    outcomes: tuple[Outcome, ...]
    audit: tuple[AuditRecord, ...]
    next_sequence: int


def document_bytes(delta: StateDelta) -> int:
    """Return the size of the catalogue document in a delta, 0 if it has none."""
    return len(delta.catalogue.document) if delta.catalogue is not None else 0


class CatalogueMachine:
    """Applies committed changes in log order.

    Attributes:
        state: state after the last applied change.
    """

    def __init__(self) -> None:
        self.state = State()
        self._outcomes: OrderedDict[str, Outcome] = OrderedDict()
        self._audit: deque[AuditRecord] = deque(maxlen=MAX_AUDIT_RECORDS)
        self._next_sequence = 1
        self._deltas: deque[StateDelta] = deque(maxlen=MAX_DELTAS)

    def apply(self, change: Change) -> Outcome:
        """Apply one committed change and return its outcome; a resend returns the first outcome."""
        first = self._outcomes.get(change.change_id)
        if first is not None:
            return first
        before = self.state.version
        outcome, delta, self.state = self._decide(change)
        if delta is not None:
            self._keep_delta(delta)
        self._keep_outcome(outcome)
        self._append_audit_record(change, outcome, before)
        return outcome

    def _decide(self, change: Change) -> tuple[Outcome, StateDelta | None, State]:
        """Return the outcome, the delta and the state after it.

        A change that makes the rules fail is refused: every replica meets it at the same entry,
        and none could apply what follows.
        """
        try:
            outcome, delta = decide_change(self.state, change)
            state = apply_delta(self.state, delta) if delta is not None else self.state
        except MemoryError:
            raise
        except Exception as exc:
            _log.exception("change_failed", change_id=change.change_id)
            outcome = Outcome(
                change_id=change.change_id,
                verdict=Verdict.INVALID,
                version=self.state.version,
                reason=error_texts.CHANGE_FAILED.format(cause=type(exc).__name__),
            )
            return outcome, None, self.state
        return outcome, delta, state

    def _keep_delta(self, delta: StateDelta) -> None:
        """Keep a delta for subscribers and evict the oldest above `MAX_DELTA_BYTES`."""
        self._deltas.append(delta)
        size = sum(document_bytes(each) for each in self._deltas)
        while size > MAX_DELTA_BYTES and len(self._deltas) > 1:
            size -= document_bytes(self._deltas.popleft())

    def outcome_of(self, change_id: str) -> Outcome | None:
        """Return the outcome of an applied change, None if it is unknown or evicted."""
        return self._outcomes.get(change_id)

    def deltas_after(self, version: int) -> list[StateDelta] | None:
        """Return all deltas after `version`, None if they are no longer available."""
        if version == self.state.version:
            return []
        if not self._deltas or version > self.state.version:
            return None
        first = self._deltas[0].version
        if version + 1 < first:
            return None
        return list(self._deltas)[version + 1 - first :]

    def search_audit(self, req: AuditRequest) -> tuple[AuditRecord, ...]:
        """Return the most recent matching audit records, oldest first; "" matches any value."""
        found = [
            record
            for record in self._audit
            if req.subject in ("", record.subject)
            and req.operator in ("", record.operator)
            and req.verdict in ("", record.verdict)
        ]
        return tuple(found[-req.last :])

    def image(self) -> bytes:
        """Return the encoded `MachineImage` for a snapshot."""
        return pack_record(
            MachineImage(
                state=self.state,
                outcomes=tuple(self._outcomes.values()),
                audit=tuple(self._audit),
                next_sequence=self._next_sequence,
            )
        )

    def restore(self, packed: bytes) -> None:
        """Replace all content by that of an encoded `MachineImage`; kept deltas are dropped."""
        image = unpack_record(packed, MachineImage)
        self.state = image.state
        self._outcomes = OrderedDict((each.change_id, each) for each in image.outcomes)
        self._audit = deque(image.audit, maxlen=MAX_AUDIT_RECORDS)
        self._next_sequence = image.next_sequence
        self._deltas.clear()

    def _keep_outcome(self, outcome: Outcome) -> None:
        self._outcomes[outcome.change_id] = outcome
        while len(self._outcomes) > MAX_OUTCOMES:
            self._outcomes.popitem(last=False)

    def _append_audit_record(self, change: Change, outcome: Outcome, version_before: int) -> None:
        self._audit.append(
            AuditRecord(
                sequence=self._next_sequence,
                at_ms=change.at_ms,
                operator=change.operator,
                source=change.source,
                change_id=change.change_id,
                subject=subject(change.action),
                summary=summarize(change.action),
                version_before=version_before,
                version_after=self.state.version,
                verdict=outcome.verdict.value,
                reason=f"{outcome.field} {outcome.reason}".strip(),
            )
        )
        self._next_sequence += 1
