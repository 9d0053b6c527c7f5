"""Streams from a balancer to agents, over which requests travel.

One stream an agent, opened on demand, shared by all requests to it. A task reads the stream
and hands each message to the call that it belongs to, by request id; a message for a call
that has ended is dropped, so that a late answer never reaches another caller.
"""

from __future__ import annotations

import queue
import threading
import time
from typing import Final

import attrs

from lentilcourse.errors import StreamError
from lentilcourse.kernel.lifecycle import Lifecycle
from lentilcourse.messages.requests import (
    AnswerChunk,
    AnswerCut,
    AnswerRefused,
    AnswerStart,
    LoadEvidence,
    RequestStart,
)
from lentilcourse.model import Target
from lentilcourse.streams import Identity, Stream, connect_stream

MAX_AGENT_LINKS: Final = 512
EVIDENCE_LIFE_S: Final = 3.0


@attrs.frozen(kw_only=True)
class LinkLost:
    """Put into a call when the stream that carried it has broken."""


class Call:
    """One request that waits for its answer."""

    def __init__(self, *, request_id: str, link: AgentLink) -> None:
        self.request_id = request_id
        self._link = link
        self._messages: queue.SimpleQueue[object] = queue.SimpleQueue()

    def put(self, msg: object) -> None:
        """Add a message of the agent."""
        self._messages.put(msg)

    def next_message(self, timeout_s: float) -> object | None:
        """Return the next message, None after `timeout_s`."""
        try:
            return self._messages.get(timeout=timeout_s)
        except queue.Empty:
            return None

    def send(self, msg: object) -> None:
        """Send a message about this request to the agent; a broken stream is noticed later."""
        self._link.send(msg)

    def end(self) -> None:
        """Take no more messages."""
        self._link.end(self.request_id)


class AgentLink:
    """The stream to one agent.

    Attributes:
        outstanding: calls that have not ended.
        evidence: what the agent last said of its load.
        evidence_time: when it did (monotonic seconds).
    """

    def __init__(self, *, target: Target, identity: Identity) -> None:
        self.target = target
        self.evidence: LoadEvidence | None = None
        self.evidence_time = float("-inf")
        self._identity = identity
        self._lock = threading.Lock()
        self._calls: dict[str, Call] = {}
        self._stream: Stream | None = None

    @property
    def outstanding(self) -> int:
        """Calls that have not ended."""
        return len(self._calls)

    @property
    def usable(self) -> bool:
        """Whether the stream is open."""
        stream = self._stream
        return stream is not None and not stream.closed

    def connect(self) -> None:
        """Open the stream; raises `StreamError`."""
        self._stream = connect_stream(self.target.stream_address, self._identity)

    def start(self, req: RequestStart) -> Call:
        """Send a request; raises `StreamError` if it surely was not delivered."""
        stream = self._stream
        assert stream is not None
        call = Call(request_id=req.request_id, link=self)
        with self._lock:
            self._calls[req.request_id] = call
        try:
            stream.send(req)
        except StreamError:
            call.put(LinkLost())
        return call

    def send(self, msg: object) -> None:
        """Send a message about a running call."""
        stream = self._stream
        if stream is None:
            return
        try:
            stream.send(msg)
        except StreamError:
            return

    def end(self, request_id: str) -> None:
        """Forget a call."""
        with self._lock:
            self._calls.pop(request_id, None)

    def run(self) -> None:
        """Read the stream until it ends, then tell all calls."""
        stream = self._stream
        assert stream is not None
        try:
            while True:
                self._dispatch(stream.receive())
        except StreamError:
            pass
        finally:
            stream.close()
            with self._lock:
                calls = list(self._calls.values())
            for call in calls:
                call.put(LinkLost())

    def close(self) -> None:
        """Close the stream."""
        if self._stream is not None:
            self._stream.close()

    def _dispatch(self, msg: object) -> None:
        if isinstance(msg, LoadEvidence):
            self.evidence = msg
            self.evidence_time = time.monotonic()
        elif isinstance(msg, (AnswerStart, AnswerChunk, AnswerCut, AnswerRefused)):
            with self._lock:
                call = self._calls.get(msg.request_id)
            if call is not None:
                call.put(msg)


class AgentLinks:
    """The streams to all agents, by target."""

    def __init__(self, *, identity: Identity, lifecycle: Lifecycle) -> None:
        self._identity = identity
        self._lock = threading.Lock()
        self._links: dict[str, AgentLink] = {}
        self._connecting: dict[str, threading.Lock] = {}
        self._pool = lifecycle.pool(name="agent-link", limit=MAX_AGENT_LINKS)
        lifecycle.on_close(self.close)

    def peek(self, target: Target) -> AgentLink | None:
        """Return the open stream to a target, if there is one."""
        link = self._links.get(target.name)
        if link is None or not link.usable or link.target.target_id != target.target_id:
            return None
        return link

    def open(self, target: Target) -> AgentLink:
        """Return an open stream to a target; raises `StreamError`."""
        link = self.peek(target)
        if link is not None:
            return link
        with self._connecting_lock(target.name):
            link = self.peek(target)
            if link is not None:
                return link
            link = AgentLink(target=target, identity=self._identity)
            link.connect()
            with self._lock:
                self._links[target.name] = link
            self._pool.submit(link.run)
            return link

    def close(self) -> None:
        """Close all streams."""
        with self._lock:
            links = list(self._links.values())
        for link in links:
            link.close()

    def _connecting_lock(self, name: str) -> threading.Lock:
        with self._lock:
            return self._connecting.setdefault(name, threading.Lock())
