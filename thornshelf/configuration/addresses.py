"""Parsers of network addresses in a configuration."""

from __future__ import annotations

from thornshelf.errors import ConfigError

Address = tuple[str, int]  # host and port, as the module socket takes them

_MAX_PORT = 65_535
_COLLECTOR_KEY = "syslog.collector"
_COLLECTOR_TRANSPORTS = ("udp", "tcp")


def parse_address(value: object, key: str) -> Address:
    """The address in ``host:port``; ``ConfigError`` with the key where the value has another form."""
    host, sign, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not sign or not host or not port.isdecimal() or int(port) > _MAX_PORT:
        raise ConfigError(f"{key}: not of the form host:port: {value!r}")
    return host, int(port)


def parse_collector(value: object) -> tuple[str, Address]:
    """The transport and the address in ``udp:host:port`` or ``tcp:host:port``; else ``ConfigError``."""
    transport, _, address = value.partition(":") if isinstance(value, str) else ("", "", "")
    if transport not in _COLLECTOR_TRANSPORTS:
        raise ConfigError(f"{_COLLECTOR_KEY}: not of the form udp:host:port or tcp:host:port: {value!r}")
    return transport, parse_address(address, _COLLECTOR_KEY)
