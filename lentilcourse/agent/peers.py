"""Streams between the agents of one service.

Each agent keeps one outgoing stream to every other agent of its service; a task per peer sends
the messages queued for it. On each (re)connect the agent first sends a greeting: it registers all
its flows again, so that no registration is lost with a broken stream. Other messages are sent only
after the greeting. Incoming streams are read by separate tasks.
"""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable
from typing import Final

from lentilcourse.errors import PoolFullError, StreamError
from lentilcourse.kernel.lifecycle import Lifecycle
from lentilcourse.logs import get_logger
from lentilcourse.model import State, Target
from lentilcourse.streams import Identity, connect_stream

MAX_PEERS: Final = 256
MAX_QUEUED: Final = 100_000
RECONNECT_DELAY_S: Final = 0.1
QUEUE_POLL_S: Final = 0.25

_log = get_logger(__name__)


class AgentPeer:
    """Outgoing stream to one other agent.

    Attributes:
        target: the target of the peer.
        connected: whether the stream is open.
    """

    def __init__(self, *, target: Target) -> None:
        self.target = target
        self.connected = False
        self._lock = threading.Lock()
        self._queue: queue.Queue[object] = queue.Queue(maxsize=MAX_QUEUED)
        self._deferred: list[object] | None = None
        self._stop = threading.Event()

    def send(self, msg: object) -> None:
        """Queue a message, or drop it if there is no stream; the next greeting makes up for it.

        Messages are deferred until the greeting has been queued, because they may mark as complete
        what the greeting still has to send.
        """
        with self._lock:
            if not self.connected:
                return
            if self._deferred is not None:
                self._deferred.append(msg)
            else:
                self.send_first(msg)

    def send_first(self, msg: object) -> None:
        """Queue a message of the greeting, ahead of the deferred messages.

        If the queue is full, the stream is closed and opened again.
        """
        try:
            self._queue.put_nowait(msg)
        except queue.Full:
            self.connected = False

    def end(self) -> None:
        """Stop the task that serves this peer."""
        self._stop.set()

    def run(
        self,
        identity: Identity,
        lifecycle: Lifecycle,
        on_connected: Callable[[AgentPeer, float], None],
    ) -> None:
        """Keep a stream open to the peer until `end` is called or the process stops."""
        while not self._stop.is_set() and not lifecycle.stopped.is_set():
            try:
                self._serve(identity, lifecycle, on_connected)
            except StreamError:
                pass
            except Exception:
                _log.exception("peer_failed", target=self.target.name)
            self.connected = False
            self._stop.wait(timeout=RECONNECT_DELAY_S)

    def _serve(
        self,
        identity: Identity,
        lifecycle: Lifecycle,
        on_connected: Callable[[AgentPeer, float], None],
    ) -> None:
        stream = connect_stream(self.target.stream_address, identity)
        try:
            self._start_greeting()
            on_connected(self, time.monotonic())
            self._end_greeting()
            while self.connected and not stream.closed:
                if self._stop.is_set() or lifecycle.stopped.is_set():
                    return
                try:
                    stream.send(self._queue.get(timeout=QUEUE_POLL_S))
                except queue.Empty:
                    continue
        finally:
            stream.close()

    def _start_greeting(self) -> None:
        with self._lock:
            self._queue = queue.Queue(maxsize=MAX_QUEUED)
            self._deferred = []
            self.connected = True

    def _end_greeting(self) -> None:
        with self._lock:
            deferred, self._deferred = self._deferred or [], None
            for msg in deferred:
                self.send_first(msg)


class AgentPeers:
    """Outgoing streams to all other agents of the same service."""

    def __init__(
        self,
        *,
        name: str,
        identity: Identity,
        lifecycle: Lifecycle,
        on_connected: Callable[[AgentPeer, float], None],
    ) -> None:
        self._name = name
        self._identity = identity
        self._lifecycle = lifecycle
        self._on_connected = on_connected
        self._lock = threading.Lock()
        self._peers: dict[str, AgentPeer] = {}
        self._pool = lifecycle.pool(name="agent-peer", limit=MAX_PEERS)

    def on_state(self, state: State, service: str) -> None:
        """Open and close streams when the targets of the service change."""
        other_targets = {
            target.name: target
            for target in state.service_targets(service)
            if target.name != self._name
        }
        with self._lock:
            for name, peer in list(self._peers.items()):
                current = other_targets.get(name)
                if current is None or current.stream_address != peer.target.stream_address:
                    peer.end()
                    del self._peers[name]
            for name, target in other_targets.items():
                if name not in self._peers:
                    self._start(target)

    def send(self, name: str, msg: object) -> None:
        """Queue a message for one peer; dropped if the peer is unknown."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.send(msg)

    def is_connected(self, name: str) -> bool:
        """Return whether the stream to a peer is open."""
        peer = self._peers.get(name)
        return peer is not None and peer.connected

    def broadcast(self, msg: object) -> None:
        """Queue a message for every peer."""
        with self._lock:
            peers = list(self._peers.values())
        for peer in peers:
            peer.send(msg)

    def _start(self, target: Target) -> None:
        peer = AgentPeer(target=target)
        try:
            self._pool.submit(lambda: peer.run(self._identity, self._lifecycle, self._on_connected))
        except PoolFullError:
            return
        self._peers[target.name] = peer
