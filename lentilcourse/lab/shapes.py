"""Shapes of deployments, and the settings files of all their processes.

Each VM has a loopback address of its own under a network prefix such as 127.10, so that many
deployments can run side by side on one machine.
"""

from __future__ import annotations

import configparser
import io
from pathlib import Path
from typing import Final

import attrs

from lentilcourse.actions import PutEntry

CONTROLLER_PORT: Final = 7100
BALANCER_PACKET_PORT: Final = 6081
BALANCER_REQUEST_PORT: Final = 8080
AGENT_DATA_PORT: Final = 6081
AGENT_STREAM_PORT: Final = 7200
ADMIN_PORT: Final = 9100
TARGET_UDP_PORT: Final = 5000
TARGET_HTTP_PORT: Final = 8000
FABRIC_PORT: Final = 6000
AGENT_NETWORK: Final = 2
LINK_NETWORK: Final = 10
AGENT_LINK_NETWORK: Final = 30
OPERATOR: Final = "operator-1"
SECOND_OPERATOR: Final = "operator-2"
CLUSTER_KEY: Final = "5e" * 16
OPERATOR_KEY: Final = "a1" * 16
SECOND_OPERATOR_KEY: Final = "b2" * 16


@attrs.frozen(kw_only=True)
class ServiceShape:
    """One service: its targets and the entries that name it.

    Attributes:
        name: service.
        speeds: relative speed of each target; their number is the number of targets.
        slots: requests that each target runs at once.
        connections: flows that each target holds.
    """

    name: str
    speeds: tuple[float, ...]
    slots: int
    connections: int


@attrs.frozen(kw_only=True)
class Shape:
    """One deployment."""

    name: str
    domains: tuple[str, ...]
    controllers: int
    balancers: int
    services: tuple[ServiceShape, ...]
    entries: tuple[PutEntry, ...]


@attrs.frozen(kw_only=True)
class TargetPlace:
    """Where one target and its agent run.

    Attributes:
        name: agent and target.
        domain: failure domain.
        host: address of the VM.
        service: shape of its service.
        speed: relative speed.
    """

    name: str
    domain: str
    host: str
    service: ServiceShape
    speed: float


SAMAHAN: Final = Shape(
    name="samahan",
    domains=("luzon-a", "luzon-b", "luzon-c"),
    controllers=3,
    balancers=3,
    services=(
        ServiceShape(name="ordering", speeds=(1, 1.5, 2, 2, 2.5, 3, 4), slots=3, connections=2000),
        ServiceShape(name="inspection", speeds=(1, 2, 4), slots=3, connections=2000),
    ),
    entries=(
        PutEntry(
            name="price-board",
            service="ordering",
            owner="floor-desk",
            traffic_class="standard",
            protocol="udp",
            address="10.77.0.1:4000",
        ),
        PutEntry(
            name="orders",
            service="ordering",
            owner="floor-desk",
            traffic_class="interactive",
            protocol="http",
            address="10.77.0.1:80",
        ),
        PutEntry(
            name="inspection-intake",
            service="inspection",
            owner="millers-desk",
            traffic_class="bulk",
            protocol="http",
            address="10.77.0.2:80",
        ),
    ),
)

PAREKH: Final = Shape(
    name="parekh",
    domains=("guj-west-a", "guj-west-b", "guj-west-c"),
    controllers=3,
    balancers=3,
    services=(
        ServiceShape(
            name="credit-desk", speeds=(1, 1.5, 2, 2, 2.5, 3, 4), slots=1, connections=2000
        ),
        ServiceShape(name="archive", speeds=(1, 2, 4), slots=1, connections=2000),
    ),
    entries=(
        PutEntry(
            name="amendments",
            service="credit-desk",
            owner="credit-desk",
            traffic_class="interactive",
            protocol="http",
            address="10.78.0.1:80",
        ),
        PutEntry(
            name="discrepancy-feeds",
            service="credit-desk",
            owner="credit-desk",
            traffic_class="standard",
            protocol="udp",
            address="10.78.0.1:4000",
        ),
        PutEntry(
            name="lading-scans",
            service="archive",
            owner="archive-desk",
            traffic_class="bulk",
            protocol="http",
            address="10.78.0.2:80",
        ),
    ),
)

SHAPES: Final = {shape.name: shape for shape in (SAMAHAN, PAREKH)}


@attrs.frozen(kw_only=True)
class Layout:
    """A shape laid out under a network prefix.

    Attributes:
        shape: the deployment.
        prefix: first two parts of all addresses.
        folder: folder of data and logs, as written in the settings.
        election_timeout_ms: of the controllers.
        snapshot_records: of the controllers.
        flow_idle_s: of the agents.
        policy: candidate policy of the balancers.
        links: whether processes reach controllers and agents through links that can be cut.
    """

    shape: Shape
    prefix: str
    folder: str
    election_timeout_ms: int = 600
    snapshot_records: int = 2000
    flow_idle_s: float = 14400.0
    policy: str = "two-choices"
    group_commit: bool = True
    links: bool = False

    def controllers_seen_by(self, process: str) -> dict[str, str]:
        """Return the addresses of the controllers in the settings of one process.

        With links, each process reaches each controller through a link of its own.
        """
        if not self.links:
            return self.controllers()
        own = self.processes().index(process) + 1
        return {
            name: f"{self.prefix}.{LINK_NETWORK + number}.{own}:{CONTROLLER_PORT}"
            for number, name in enumerate(self.controllers())
        }

    def agents_seen(self) -> dict[str, str]:
        """Return the address at which the other processes reach each agent's streams."""
        network = AGENT_LINK_NETWORK if self.links else AGENT_NETWORK
        return {
            place.name: f"{self.prefix}.{network}.{number}:{AGENT_STREAM_PORT}"
            for number, place in enumerate(self.targets(), 1)
        }

    def processes(self) -> list[str]:
        """Return the names of all processes of the system, and of the operators."""
        agents = [place.name for place in self.targets()]
        return [*self.controllers(), *self.balancers(), *agents, OPERATOR, SECOND_OPERATOR]

    def controllers(self) -> dict[str, str]:
        """Return the address of each controller."""
        return {
            f"controller-{number}": f"{self.prefix}.0.{number}:{CONTROLLER_PORT}"
            for number in range(1, self.shape.controllers + 1)
        }

    def balancers(self) -> dict[str, str]:
        """Return the VM address of each balancer."""
        return {
            f"balancer-{number}": f"{self.prefix}.1.{number}"
            for number in range(1, self.shape.balancers + 1)
        }

    def targets(self) -> list[TargetPlace]:
        """Return the place of each target; they alternate over the failure domains."""
        places: list[TargetPlace] = []
        for service in self.shape.services:
            for number, speed in enumerate(service.speeds, 1):
                index = len(places)
                place = TargetPlace(
                    name=f"{service.name}-{number}",
                    domain=self.shape.domains[index % len(self.shape.domains)],
                    host=f"{self.prefix}.{AGENT_NETWORK}.{index + 1}",
                    service=service,
                    speed=speed,
                )
                places.append(place)
        return places

    @property
    def fabric(self) -> str:
        """Address of the stand-in of the fabric."""
        return f"{self.prefix}.3.1:{FABRIC_PORT}"

    def domain_of(self, number: int) -> str:
        """Return the failure domain of the controller or balancer with a number."""
        return self.shape.domains[(number - 1) % len(self.shape.domains)]

    def files(self) -> dict[str, str]:
        """Return the text of each settings file by name."""
        files: dict[str, str] = {}
        for number, name in enumerate(self.controllers(), 1):
            files[f"{name}.ini"] = self._controller_file(name, number)
        for number, name in enumerate(self.balancers(), 1):
            files[f"{name}.ini"] = self._balancer_file(name, number)
        for place in self.targets():
            files[f"{place.name}.ini"] = self._agent_file(place)
        files["operator.ini"] = self._operator_file(OPERATOR, OPERATOR_KEY)
        files["operator-2.ini"] = self._operator_file(SECOND_OPERATOR, SECOND_OPERATOR_KEY)
        return files

    def _controller_file(self, name: str, number: int) -> str:
        address = self.controllers()[name]
        return _ini(
            {
                "process": {
                    "name": name,
                    "role": "controller",
                    "domain": self.domain_of(number),
                    "admin_address": f"{self.prefix}.0.{number}:{ADMIN_PORT}",
                },
                "keys": {"cluster": CLUSTER_KEY},
                "operators": {OPERATOR: OPERATOR_KEY, SECOND_OPERATOR: SECOND_OPERATOR_KEY},
                "controllers": self.controllers_seen_by(name),
                "controller": {
                    "address": address,
                    "data_folder": f"{self.folder}/{name}",
                    "election_timeout_ms": str(self.election_timeout_ms),
                    "snapshot_records": str(self.snapshot_records),
                    "group_commit": "yes" if self.group_commit else "no",
                },
            }
        )

    def _balancer_file(self, name: str, number: int) -> str:
        host = self.balancers()[name]
        return _ini(
            {
                "process": {
                    "name": name,
                    "role": "balancer",
                    "domain": self.domain_of(number),
                    "admin_address": f"{host}:{ADMIN_PORT}",
                },
                "keys": {"cluster": CLUSTER_KEY},
                "controllers": self.controllers_seen_by(name),
                "balancer": {
                    "packet_address": f"{host}:{BALANCER_PACKET_PORT}",
                    "request_address": f"{host}:{BALANCER_REQUEST_PORT}",
                    "policy": self.policy,
                },
            }
        )

    def _agent_file(self, place: TargetPlace) -> str:
        return _ini(
            {
                "process": {
                    "name": place.name,
                    "role": "agent",
                    "domain": place.domain,
                    "admin_address": f"{place.host}:{ADMIN_PORT}",
                },
                "keys": {"cluster": CLUSTER_KEY},
                "controllers": self.controllers_seen_by(place.name),
                "agent": {
                    "data_address": f"{place.host}:{AGENT_DATA_PORT}",
                    "stream_address": f"{place.host}:{AGENT_STREAM_PORT}",
                    **self._advertised(place),
                    "fabric_address": self.fabric,
                    "flow_idle_s": str(self.flow_idle_s),
                },
            }
        )

    def _advertised(self, place: TargetPlace) -> dict[str, str]:
        if not self.links:
            return {}
        return {"advertised_stream_address": self.agents_seen()[place.name]}

    def _operator_file(self, name: str, key: str) -> str:
        return _ini(
            {
                "process": {"name": name, "role": "operator"},
                "keys": {"operator": key},
                "controllers": self.controllers_seen_by(name),
            }
        )


def write_files(layout: Layout, folder: Path) -> None:
    """Write all settings files of a layout."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, text in layout.files().items():
        (folder / name).write_text(text, encoding="utf-8")


def _ini(sections: dict[str, dict[str, str]]) -> str:
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(sections)
    buffer = io.StringIO()
    parser.write(buffer)
    return buffer.getvalue().rstrip() + "\n"
