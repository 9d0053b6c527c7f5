"""Reads the INI file of a process into checked `options.Settings`.

`load_settings` reads the whole file, refuses unknown sections and keys, and returns one
typed `Settings`. Each error names file, section and key. docs/OPERATORS.md lists the keys.
"""

from __future__ import annotations

import configparser
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Final, TypeVar

import attrs

from lentilcourse import error_texts
from lentilcourse.errors import SettingsError
from lentilcourse.options import (
    MAX_PORT,
    Address,
    AgentSettings,
    BalancerSettings,
    ControllerSettings,
    DiscoverySettings,
    ProcessSettings,
    Settings,
    SteeringAgentSettings,
    SteeringBalancerSettings,
    parse_address,
    parse_name,
)

T = TypeVar("T")


MIN_KEY_HEX_DIGITS: Final = 32


ROLES: Final = (
    "balancer",
    "agent",
    "controller",
    "operator",
    "steering-balancer",
    "steering-agent",
)


LOG_LEVELS: Final = ("DEBUG", "INFO", "WARNING", "ERROR")


def load_settings(file: str) -> Settings:
    """Read and check `file`; raises `SettingsError` on the first fault."""
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        with open(file, encoding="utf-8") as handle:
            parser.read_file(handle)
    except (OSError, UnicodeDecodeError) as exc:
        text = error_texts.SETTINGS_UNREADABLE.format(file=file, cause=exc)
        raise SettingsError(text) from exc
    except configparser.Error as exc:
        cause = str(exc).replace("\n", " ")
        raise SettingsError(error_texts.SETTINGS_NOT_INI.format(file=file, cause=cause)) from exc
    return _Reader(file=file, parser=parser).settings()


def _parse_key(text: str) -> bytes:
    if len(text) < MIN_KEY_HEX_DIGITS:
        raise ValueError(error_texts.NOT_A_KEY.format(length=MIN_KEY_HEX_DIGITS))
    try:
        return bytes.fromhex(text)
    except ValueError:
        reason = error_texts.NOT_A_KEY.format(length=MIN_KEY_HEX_DIGITS)
        raise ValueError(reason) from None


def _choice(choices: tuple[str, ...]) -> Callable[[str], str]:
    def parse(text: str) -> str:
        if text not in choices:
            raise ValueError(error_texts.NOT_A_CHOICE.format(choices=", ".join(choices)))
        return text

    return parse


def _integer(low: int, high: int) -> Callable[[str], int]:
    def parse(text: str) -> int:
        if not text.isdecimal() or not low <= int(text) <= high:
            raise ValueError(error_texts.NOT_IN_RANGE.format(low=low, high=high))
        return int(text)

    return parse


def _decimal(low: float, high: float) -> Callable[[str], float]:
    def parse(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            value = float("nan")
        if not low <= value <= high:
            raise ValueError(error_texts.NOT_IN_RANGE.format(low=low, high=high))
        return value

    return parse


def _switch(text: str) -> bool:
    choices = ("yes", "no")
    return _choice(choices)(text) == "yes"


def _addresses(text: str) -> tuple[Address, ...]:
    return tuple(parse_address(each.strip()) for each in text.split(","))


def _optional_address(text: str) -> Address | None:
    return parse_address(text) if text else None


def _optional_name(text: str) -> str:
    return parse_name(text) if text else ""


@attrs.define(kw_only=True)
class _Reader:
    """Turns a parsed INI file into `Settings`."""

    file: str
    parser: configparser.ConfigParser
    _seen: dict[str, set[str]] = attrs.field(factory=dict)

    def settings(self) -> Settings:
        process = self._process()
        settings = Settings(
            file=self.file,
            process=process,
            controllers=self._controllers(),
            cluster_key=self._cluster_key(process.role),
            operator_keys=self._operator_keys(process.role),
            operator_key=self._operator_key(process.role),
            controller=self._controller() if process.role == "controller" else None,
            balancer=self._balancer() if process.role == "balancer" else None,
            agent=self._agent() if process.role == "agent" else None,
            discovery=self._discovery(),
            steering_balancer=(
                self._steering_balancer() if process.role == "steering-balancer" else None
            ),
            steering_agent=self._steering_agent() if process.role == "steering-agent" else None,
        )
        self._refuse_unknown()
        return settings

    def _process(self) -> ProcessSettings:
        role = self._value("process", "role", _choice(ROLES))
        has_admin = role != "operator"
        return ProcessSettings(
            name=self._value("process", "name", parse_name),
            role=role,
            domain=self._value("process", "domain", parse_name, default="none"),
            admin_address=(
                self._value("process", "admin_address", parse_address) if has_admin else None
            ),
            log_level=self._value("process", "log_level", _choice(LOG_LEVELS), default="INFO"),
            metrics_address=self._value(
                "process", "metrics_address", _optional_address, default=""
            ),
        )

    def _controllers(self) -> Mapping[str, Address]:
        if self.parser.has_section("discovery"):
            return {}
        return self._named("controllers", parse_address)

    def _discovery(self) -> DiscoverySettings | None:
        section = "discovery"
        if not self.parser.has_section(section):
            return None
        port = self._value(section, "stream_port", _integer(1, MAX_PORT))
        seeds = self._value(section, "seeds", _addresses)
        return DiscoverySettings(
            seeds=tuple(Address(host=seed.host, port=port) for seed in seeds),
            first_start=self._value(section, "first_start", _switch, default="no"),
            lost_at_once=self._value(section, "lost_at_once", _integer(0, 7), default="1"),
        )

    def _steering_balancer(self) -> SteeringBalancerSettings:
        section = "steering"
        return SteeringBalancerSettings(
            packet_format=self._value(section, "packet_format", parse_name),
            packet_address=self._value(section, "packet_address", parse_address),
            peer_address=self._value(section, "peer_address", parse_address),
            placement=self._value(section, "placement", parse_name, default="two-choices"),
            link_mbps=self._value(section, "link_mbps", _decimal(0.01, 1e6), default="10000"),
        )

    def _steering_agent(self) -> SteeringAgentSettings:
        section = "steering"
        return SteeringAgentSettings(
            packet_format=self._value(section, "packet_format", parse_name),
            peer_address=self._value(section, "peer_address", parse_address),
            outbound_address=self._value(section, "outbound_address", parse_address),
            target_address=self._value(section, "target_address", parse_address),
            target_interface=self._value(section, "target_interface", parse_name),
            announce_address=self._value(section, "announce_address", parse_address),
            caller_port=self._value(section, "caller_address", parse_address).port,
            announcement_life_s=self._value(
                section, "announcement_life_s", _decimal(0.1, 600.0), default="2"
            ),
            cold_overrun=self._value(section, "cold_overrun", _decimal(1.0, 10.0), default="1"),
            cold_slack=self._value(section, "cold_slack", _integer(0, 1000), default="1"),
            flow_life_s=self._value(section, "flow_life_s", _decimal(1.0, 604_800.0)),
        )

    def _cluster_key(self, role: str) -> bytes:
        if role == "operator":
            return b""
        return self._value("keys", "cluster", _parse_key)

    def _operator_key(self, role: str) -> bytes:
        if role != "operator":
            return b""
        return self._value("keys", "operator", _parse_key)

    def _operator_keys(self, role: str) -> Mapping[str, bytes]:
        if role != "controller":
            return {}
        return self._named("operators", _parse_key)

    def _controller(self) -> ControllerSettings:
        section = "controller"
        return ControllerSettings(
            address=self._value(section, "address", parse_address),
            data_folder=Path(self._value(section, "data_folder", str)),
            snapshot_records=self._value(
                section, "snapshot_records", _integer(10, 1_000_000), default="2000"
            ),
            election_timeout_ms=self._value(
                section, "election_timeout_ms", _integer(50, 60_000), default="600"
            ),
            group_commit=self._value(section, "group_commit", _switch, default="yes"),
            operator_interface=self._value(
                section, "operator_interface", _optional_name, default=""
            ),
            operator_address=self._value(
                section, "operator_address", _optional_address, default=""
            ),
        )

    def _balancer(self) -> BalancerSettings:
        section = "balancer"
        return BalancerSettings(
            packet_address=self._value(section, "packet_address", parse_address),
            request_address=self._value(section, "request_address", parse_address),
            max_connections=self._value(
                section, "max_connections", _integer(1, 100_000), default="512"
            ),
            policy=self._value(section, "policy", parse_name, default="two-choices"),
        )

    def _agent(self) -> AgentSettings:
        section = "agent"
        stream_address = self._value(section, "stream_address", parse_address)
        return AgentSettings(
            data_address=self._value(section, "data_address", parse_address),
            stream_address=stream_address,
            advertised_stream_address=self._value(
                section,
                "advertised_stream_address",
                parse_address,
                default=str(stream_address),
            ),
            fabric_address=self._value(section, "fabric_address", parse_address),
            delivery=self._value(section, "delivery", parse_name, default="udp"),
            flow_idle_s=self._value(
                section, "flow_idle_s", _decimal(0.1, 604_800.0), default="14400"
            ),
        )

    def _value(
        self, section: str, key: str, parse: Callable[[str], T], default: str | None = None
    ) -> T:
        if not self.parser.has_section(section):
            raise SettingsError(error_texts.SECTION_MISSING.format(file=self.file, section=section))
        self._seen.setdefault(section, set()).add(key)
        text = self.parser.get(section, key, fallback=default)
        if text is None:
            raise SettingsError(
                error_texts.KEY_MISSING.format(file=self.file, section=section, key=key)
            )
        return self._parsed(section, key, text.strip(), parse)

    def _named(self, section: str, parse: Callable[[str], T]) -> Mapping[str, T]:
        if not self.parser.has_section(section):
            raise SettingsError(error_texts.SECTION_MISSING.format(file=self.file, section=section))
        names = self.parser.options(section)
        self._seen[section] = set(names)
        for name in names:
            self._parsed(section, name, name, parse_name)
        return {
            name: self._parsed(section, name, self.parser.get(section, name).strip(), parse)
            for name in names
        }

    def _parsed(self, section: str, key: str, text: str, parse: Callable[[str], T]) -> T:
        try:
            return parse(text)
        except ValueError as exc:
            raise SettingsError(
                error_texts.KEY_INVALID.format(
                    file=self.file, section=section, key=key, value=text, cause=exc
                )
            ) from exc

    def _refuse_unknown(self) -> None:
        for section in self.parser.sections():
            if section not in self._seen:
                known = ", ".join(sorted(self._seen))
                raise SettingsError(
                    error_texts.SECTION_UNKNOWN.format(file=self.file, section=section, known=known)
                )
            self._refuse_unknown_keys(section)

    def _refuse_unknown_keys(self, section: str) -> None:
        seen = self._seen[section]
        for key in self.parser.options(section):
            if key not in seen:
                known = ", ".join(sorted(seen))
                raise SettingsError(
                    error_texts.KEY_UNKNOWN.format(
                        file=self.file, section=section, key=key, known=known
                    )
                )
