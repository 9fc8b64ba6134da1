"""Parses network addresses in a configuration."""

from __future__ import annotations

from thornshelf.errors import ConfigError

Address = tuple[str, int]  # host and port, as the socket module expects them

_MAX_PORT = 65_535
_COLLECTOR_KEY = "syslog.collector"
_COLLECTOR_TRANSPORTS = ("udp", "tcp")


def parse_address(value: object, key: str) -> Address:
    """Parse ``host:port``. Raises ``ConfigError``, which names ``key``, if the value has another form."""
    host, separator, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not separator or not host or not port.isdecimal() or int(port) > _MAX_PORT:
        raise ConfigError(f"{key}: not of the form host:port: {value!r}")
    return host, int(port)


def parse_collector(value: object) -> tuple[str, Address]:
    """Parse ``udp:host:port`` or ``tcp:host:port`` into the transport and the address.

    Raises ``ConfigError`` if the value has another form.
    """
    transport, _, address = value.partition(":") if isinstance(value, str) else ("", "", "")
    if transport not in _COLLECTOR_TRANSPORTS:
        raise ConfigError(f"{_COLLECTOR_KEY}: not of the form udp:host:port or tcp:host:port: {value!r}")
    return transport, parse_address(address, _COLLECTOR_KEY)
