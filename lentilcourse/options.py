"""Typed settings of a process; `settings_file` reads and checks them."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Mapping
from pathlib import Path
from typing import Final

import attrs

from lentilcourse import error_texts

MAX_PORT: Final = 65535
NAME_PATTERN: Final = re.compile(r"[A-Za-z][A-Za-z0-9._-]{0,62}")


@attrs.frozen(kw_only=True, order=True)
class Address:
    """An IPv4 address by number with a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    def pair(self) -> tuple[str, int]:
        """Return the form that the socket module takes."""
        return (self.host, self.port)


@attrs.frozen(kw_only=True)
class ProcessSettings:
    """Section [process].

    Attributes:
        name: unique name of the process; also the name of its VM.
        role: which role plug-in runs.
        domain: failure domain of the VM.
        admin_address: HTTP listener for metrics, health and announcements.
        log_level: lowest level that is logged.
        metrics_address: HTTP listener for metrics alone, where the admin listener is not to be
            reached from outside.
    """

    name: str
    role: str
    domain: str
    admin_address: Address | None
    log_level: str
    metrics_address: Address | None = None


@attrs.frozen(kw_only=True)
class DiscoverySettings:
    """Section [discovery]: controllers are found by seeds, not listed by name.

    Attributes:
        seeds: VMs on which controllers run, with the port of their stream listener.
        first_start: whether the whole system starts for the first time.
        lost_at_once: controllers that may be lost at the same time.
    """

    seeds: tuple[Address, ...]
    first_start: bool
    lost_at_once: int

    @property
    def voters(self) -> int:
        """Controllers that vote once the group is complete."""
        return 2 * self.lost_at_once + 1


@attrs.frozen(kw_only=True)
class ControllerSettings:
    """Section [controller].

    Attributes:
        address: listener for replicas, subscribers and operators.
        operator_interface: plug-in through which operators publish catalogues, "" for none.
        operator_address: listener of that plug-in.
        data_folder: folder of all durable state.
        snapshot_records: log records after which a snapshot is written.
        election_timeout_ms: shortest silence of a leader before an election.
        group_commit: whether proposals that arrive together share one sync.
    """

    address: Address
    data_folder: Path
    snapshot_records: int
    election_timeout_ms: int
    group_commit: bool
    operator_interface: str = ""
    operator_address: Address | None = None


@attrs.frozen(kw_only=True)
class BalancerSettings:
    """Section [balancer].

    Attributes:
        packet_address: UDP listener for encapsulated packets of the fabric.
        request_address: HTTP listener for callers' requests.
        max_connections: the most callers' connections at once.
        policy: candidate policy plug-in for requests.
    """

    packet_address: Address
    request_address: Address
    max_connections: int
    policy: str


@attrs.frozen(kw_only=True)
class AgentSettings:
    """Section [agent].

    Attributes:
        data_address: UDP listener for packets from balancers and agents.
        stream_address: TCP listener for requests and for other agents.
        advertised_stream_address: where the others reach that listener.
        fabric_address: UDP address that takes answers to callers.
        delivery: delivery plug-in for packets to the target.
        flow_idle_s: idle time in seconds after which a flow without a close is forgotten.
    """

    data_address: Address
    stream_address: Address
    advertised_stream_address: Address
    fabric_address: Address
    delivery: str
    flow_idle_s: float


@attrs.frozen(kw_only=True)
class SteeringBalancerSettings:
    """Section [steering] of a steering balancer.

    Attributes:
        packet_format: packet format plug-in.
        packet_address: UDP listener for packets of callers.
        peer_address: UDP listener for datagrams of agents.
        placement: placement policy plug-in for new flows.
        link_mbps: rate of the VM's link in Mbit/s.
    """

    packet_format: str
    packet_address: Address
    peer_address: Address
    placement: str
    link_mbps: float


@attrs.frozen(kw_only=True)
class SteeringAgentSettings:
    """Section [steering] of a steering agent.

    Attributes:
        packet_format: packet format plug-in.
        peer_address: UDP listener for datagrams of balancers and agents.
        outbound_address: UDP listener for packets of the target.
        target_address: UDP address of the target.
        target_interface: plug-in through which the target announces itself.
        announce_address: listener of that plug-in.
        caller_port: UDP port at which callers take packets; `caller_address` names it.
        announcement_life_s: time after an announcement for which the target is believed to be
            the one that sent it.
        cold_overrun: how far a cold target's rate may be exceeded, as a factor.
        cold_slack: requests in one second that a cold target takes beyond its rate.
        flow_life_s: age in seconds after which a flow may be forgotten.
    """

    packet_format: str
    peer_address: Address
    outbound_address: Address
    target_address: Address
    target_interface: str
    announce_address: Address
    caller_port: int
    announcement_life_s: float
    cold_overrun: float
    cold_slack: int
    flow_life_s: float


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of one process.

    Attributes:
        file: where the settings came from.
        process: section [process].
        controllers: section [controllers], address by controller name.
        cluster_key: key with which processes prove themselves.
        operator_keys: section [operators], key by operator name (controllers only).
        operator_key: the operator's own key (role operator only).
        controller: present for role controller.
        balancer: present for role balancer.
        agent: present for role agent.
        discovery: present where controllers are found by seeds.
        steering_balancer: present for role steering-balancer.
        steering_agent: present for role steering-agent.
    """

    file: str
    process: ProcessSettings
    controllers: Mapping[str, Address]
    cluster_key: bytes
    operator_keys: Mapping[str, bytes]
    operator_key: bytes
    controller: ControllerSettings | None
    balancer: BalancerSettings | None
    agent: AgentSettings | None
    discovery: DiscoverySettings | None = None
    steering_balancer: SteeringBalancerSettings | None = None
    steering_agent: SteeringAgentSettings | None = None


def parse_address(text: str) -> Address:
    """Parse IP:PORT; raises ValueError with a reason."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise ValueError(error_texts.NOT_AN_ADDRESS) from None
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(error_texts.NOT_AN_ADDRESS)
    return Address(host=host, port=int(port))


def parse_name(text: str) -> str:
    """Check a name; raises ValueError with a reason."""
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError(error_texts.NOT_A_NAME)
    return text
