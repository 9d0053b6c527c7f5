"""A fake of network links: TCP relays that can go silent in one or both directions.

A cut link keeps its connections open and takes new ones, and passes nothing on: this is how a
silent partition looks from both ends. A link that forgets its connections passes nothing on
them for good, not even their ends, while new connections work.
"""

from __future__ import annotations

import contextlib
import socket
import threading
from typing import Final

from lentilcourse.lab.shapes import AGENT_STREAM_PORT, Layout
from lentilcourse.options import Address, parse_address

RELAY_BYTES: Final = 256 * 1024
POLL_S: Final = 0.1
BACKLOG: Final = 128


class Connection:
    """One connection through a link.

    Attributes:
        forgotten: whether the link has lost track of it.
        ended: how many of its two ends have closed it.
    """

    def __init__(self, *, near: socket.socket, far: socket.socket) -> None:
        self.forgotten = False
        self.ended = 0
        self.near = near
        self.far = far


class Link:
    """The link to one process, from one other process or from all.

    Attributes:
        forward: whether bytes pass towards the process.
        backward: whether bytes pass back.
    """

    def __init__(self, *, listen: Address, connect: Address, stop: threading.Event) -> None:
        self.forward = True
        self.backward = True
        self._connect = connect
        self._stop = stop
        self._open: list[Connection] = []
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(listen.pair())
        self._listener.listen(BACKLOG)
        self._listener.settimeout(POLL_S)
        self._acceptor = threading.Thread(target=self._accept, daemon=True)
        self._acceptor.start()

    def join(self) -> None:
        """Wait until the listener is closed, after the stop was set."""
        self._acceptor.join()

    def forget(self) -> int:
        """Lose track of all connections there are; returns their number."""
        found = [conn for conn in list(self._open) if conn.ended == 0]
        for conn in found:
            conn.forgotten = True
        return len(found)

    def forgotten_held(self) -> int:
        """Return how many forgotten connections an end still holds open."""
        return sum(conn.forgotten and conn.ended < 2 for conn in list(self._open))

    def _accept(self) -> None:
        with self._listener:
            while not self._stop.is_set():
                try:
                    near, _ = self._listener.accept()
                except TimeoutError:
                    continue
                threading.Thread(target=self._join, args=(near,), daemon=True).start()

    def _join(self, near: socket.socket) -> None:
        while not (self.forward and self.backward):
            if self._stop.wait(timeout=POLL_S):
                near.close()
                return
        try:
            far = socket.create_connection(self._connect.pair(), timeout=2.0)
        except OSError:
            near.close()
            return
        conn = Connection(near=near, far=far)
        self._open.append(conn)
        back = threading.Thread(target=self._relay, args=(conn, False), daemon=True)
        back.start()
        self._relay(conn, True)
        back.join()
        self._open.remove(conn)
        near.close()
        far.close()

    def _relay(self, conn: Connection, forward: bool) -> None:
        source, sink = (conn.near, conn.far) if forward else (conn.far, conn.near)
        source.settimeout(POLL_S)
        while not self._stop.is_set():
            if not (self.forward if forward else self.backward):
                self._stop.wait(timeout=POLL_S)
                continue
            try:
                data = source.recv(RELAY_BYTES)
            except TimeoutError:
                continue
            except OSError:
                break
            if not data:
                break
            if conn.forgotten:
                continue
            try:
                sink.sendall(data)
            except OSError:
                break
        conn.ended += 1
        if not conn.forgotten:
            with contextlib.suppress(OSError):
                sink.shutdown(socket.SHUT_RDWR)


class LinkBoard:
    """All links of a layout.

    Each process has a link of its own to each controller; all processes share one link to the
    streams of each agent.
    """

    def __init__(self, *, layout: Layout) -> None:
        self._stop = threading.Event()
        self._links: dict[tuple[str, str], Link] = {}
        controllers = layout.controllers()
        for process in layout.processes():
            for name, listen in layout.controllers_seen_by(process).items():
                self._links[(process, name)] = Link(
                    listen=parse_address(listen),
                    connect=parse_address(controllers[name]),
                    stop=self._stop,
                )
        seen = layout.agents_seen()
        self._to_agents = [
            Link(
                listen=parse_address(seen[place.name]),
                connect=Address(host=place.host, port=AGENT_STREAM_PORT),
                stop=self._stop,
            )
            for place in layout.targets()
        ]

    def links_to_agents(self) -> list[Link]:
        """Return the links to the streams of the agents."""
        return list(self._to_agents)

    def links_to_controllers(self) -> list[Link]:
        """Return the links to the controllers."""
        return list(self._links.values())

    def cut(self, process: str, *, inbound: bool, outbound: bool) -> None:
        """Cut a process off: bytes towards it (inbound), and bytes that it sends."""
        for (source, destination), link in self._links.items():
            if source == process and source != destination:
                link.forward = link.forward and not outbound
                link.backward = link.backward and not inbound
            elif destination == process and source != destination:
                link.forward = link.forward and not inbound
                link.backward = link.backward and not outbound

    def cut_between(self, process: str, others: set[str]) -> None:
        """Cut a controller off from others, while its subscribers still reach it."""
        for (source, destination), link in self._links.items():
            outward = source == process and destination in others
            inward = destination == process and source in others
            if outward or inward:
                link.forward = link.backward = False

    def heal(self) -> None:
        """Let all links pass everything."""
        for link in self.links_to_controllers():
            link.forward = True
            link.backward = True

    def close(self) -> None:
        """End all links and free their addresses."""
        self._stop.set()
        for link in (*self.links_to_controllers(), *self.links_to_agents()):
            link.join()
