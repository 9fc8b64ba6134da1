"""The control component: a read-only socket on which shells query this dispatcher, and through it the whole fleet.

``thornshelf.control`` has the tables, the queries and their limits; ``fleet_queries`` queries other members.
"""

from __future__ import annotations

import os
import secrets
import socket
import time
from collections.abc import Callable, Generator
from typing import TYPE_CHECKING

from thornshelf import __version__
from thornshelf.components import Component, Host
from thornshelf.components.control_socket import is_allowed_peer, open_control_socket
from thornshelf.configuration import Config
from thornshelf.control.core_tables import CoreTables
from thornshelf.control.framing import (
    MAX_REQUEST_BYTES,
    CatalogReply,
    ErrorReply,
    FrameDecoder,
    QueryRequest,
    Reply,
    TableSchema,
    decode_request,
    encode_frame,
)
from thornshelf.control.history import ErrorCounters, History
from thornshelf.control.query_sessions import QuerySessions
from thornshelf.control.tables import Catalog, Table
from thornshelf.errors import ControlProtocolError, ThornshelfError, TooManySessionsError
from thornshelf.loop import Stream, Timer, Wait
from thornshelf.loop.loop import IN
from thornshelf.syslog import Syslog

if TYPE_CHECKING:
    from thornshelf.components.fleet_queries import FleetQueries

MAX_BUFFERED_BYTES = 128 * 1024  # a shell with more unsent data is sent nothing for the moment
IDLE_TIMEOUT_US = 3_600_000_000  # a shell that sends nothing for this long is disconnected
LONG_TURN_US = 5_000  # the counter ``turns_over_5ms`` counts turns that take more CPU time
ACCEPT_BACKOFF_US = 20_000  # after accept() has failed, for example for want of descriptors
MIN_WAKE_DELAY_US = 1_000
FIRST_QUERY_ID_BITS = 40  # ids start at a random number, so that they differ from those of a former process


class ShellConnection:
    """The connection of one shell. ``on_request``: called with each request; ``on_close``: called at the end."""

    def __init__(
        self,
        host: Host,
        sock: socket.socket,
        on_request: Callable[[ShellConnection, QueryRequest], None],
        on_close: Callable[[ShellConnection], None],
    ) -> None:
        self._host = host
        self._on_request = on_request
        self._on_close = on_close
        self.stream = Stream(host.loop, sock, "shell")
        self.frame_decoder = FrameDecoder(MAX_REQUEST_BYTES)

    @property
    def is_open(self) -> bool:
        """Whether the connection is open."""
        return self.stream.open

    @property
    def can_accept(self) -> bool:
        """Whether the connection is open and its send buffer has room."""
        return self.stream.open and self.stream.buffered_bytes < MAX_BUFFERED_BYTES

    def send(self, reply: Reply) -> int:
        """Send a reply and return its length in bytes."""
        return len(self.stream.send(encode_frame(reply)).data)

    def close_with_error(self, error: ThornshelfError) -> None:
        """Log an error and close the connection."""
        self._host.log(4, "shell-disconnected", {"code": error.code}, str(error))
        self.stream.close()

    def run(self) -> Generator[Wait, int, None]:
        """Handle requests until the shell disconnects, is idle for too long or sends a malformed request."""
        loop = self._host.loop
        try:
            while data := (yield from self.stream.read(loop.now + IDLE_TIMEOUT_US)):
                for body in self.frame_decoder.feed(data):
                    self._on_request(self, decode_request(body))
        except ControlProtocolError as error:
            self.close_with_error(error)
        finally:
            self.stream.close()
            self._on_close(self)


class TurnTimes:
    """Statistics of the CPU time and wall-clock time, in microseconds, that queries take in turns of the loop."""

    def __init__(self) -> None:
        self._max_cpu_us = 0
        self._max_wall_us = 0
        self._turn_count = 0
        self._long_turn_count = 0

    def record(self, cpu_us: int, wall_us: int) -> None:
        """Count a turn in which queries were served."""
        self._max_cpu_us = max(self._max_cpu_us, cpu_us)
        self._turn_count += 1
        self._long_turn_count += cpu_us > LONG_TURN_US
        self._max_wall_us = max(self._max_wall_us, wall_us)

    def counters(self) -> dict[str, int]:
        """Returns the counters, by their names in the table ``counters``."""
        return {
            "worst_turn_us": self._max_cpu_us,
            "worst_turn_wall_us": self._max_wall_us,
            "turns": self._turn_count,
            "turns_over_5ms": self._long_turn_count,
        }


class ControlComponent(Component):
    """Listens on the control socket, and serves the queries of shells and of other members."""

    def prepare(self) -> None:
        """Create the catalog, to which components add their tables, and count errors from the first log line on."""
        self.host.catalog = Catalog()
        self._error_counters = ErrorCounters()
        if isinstance(self.host.log, Syslog):
            self.host.log.on_line = self._error_counters.count_line

    def start(self) -> None:
        """Declare the core's tables and listen. Raises ``ControlSocketError`` if the socket can't be created."""
        host = self.host
        config = host.config.control
        assert config is not None
        assert host.catalog is not None
        history = History(config.history)
        host.core.history = history
        tables = CoreTables(host.core, history, self._error_counters, host.unix_ms)
        self._catalog = host.catalog
        self._catalog.add(*tables.tables(lambda: host.config))
        self._connections: set[ShellConnection] = set()
        self._max_connections = config.readers
        self._timer: Timer | None = None
        self._last_query_id = secrets.randbits(FIRST_QUERY_ID_BITS)
        self._turn_times = TurnTimes()
        self._fleet_queries = self._make_fleet_queries(tables)
        fleet_access = self._fleet_queries.access() if self._fleet_queries is not None else None
        self._sessions = QuerySessions(
            host.config.name, self._catalog, fleet_access, self._next_query_id, config.readers
        )
        tables.counters["control"] = self._counters
        self._path = config.socket
        self._sock = open_control_socket(config.socket, host.inherited is not None)
        self._socket_status = os.lstat(config.socket)
        host.loop.spawn(self._accept())
        host.loop.turn_hooks.append(self._run_turn)
        parameters: dict[str, object] = {"socket": str(config.socket), "readers": config.readers}
        host.log(6, "control-socket-opened", parameters, "listening")

    def reload(self, config: Config) -> None:
        """Do nothing: the table takes effect after a restart."""

    def stop(self) -> None:
        """Close the socket and remove it from its directory, unless a successor has replaced it."""
        self._sock.close()
        try:
            status = os.lstat(self._path)
            if (status.st_ino, status.st_dev) == (self._socket_status.st_ino, self._socket_status.st_dev):
                os.unlink(self._path)
        except OSError:
            pass

    def _make_fleet_queries(self, tables: CoreTables) -> FleetQueries | None:
        if self.host.config.fleet is None:
            return None
        from thornshelf.components.fleet import FleetComponent
        from thornshelf.components.fleet_queries import FleetQueries

        fleet = self.host.core.gossip
        assert isinstance(fleet, FleetComponent)
        queries = FleetQueries(fleet, self._catalog, self.host.loop)
        tables.counters["fleet"] = queries.counters
        return queries

    def _next_query_id(self) -> int:
        self._last_query_id += 1
        return self._last_query_id

    def _accept(self) -> Generator[Wait, int, None]:
        while True:
            yield Wait(self._sock.fileno(), IN)
            try:
                sock, _ = self._sock.accept()
            except OSError:
                yield Wait(until=self.host.loop.now + ACCEPT_BACKOFF_US)
                continue
            if is_allowed_peer(sock):
                self._add_connection(sock)
            else:
                sock.close()

    def _add_connection(self, sock: socket.socket) -> None:
        connection = ShellConnection(self.host, sock, self._handle_request, self._remove_connection)
        if len(self._connections) >= self._max_connections:
            error = TooManySessionsError(f"{len(self._connections)} shells are connected")
            self.host.log(4, "shell-rejected", {"code": error.code}, str(error))
            connection.send(ErrorReply(0, error.code, str(error)))
            connection.stream.end()
            return
        self._connections.add(connection)
        self.host.loop.spawn(connection.run())

    def _remove_connection(self, connection: ShellConnection) -> None:
        self._connections.discard(connection)
        self._sessions.remove_client(connection)

    def _handle_request(self, connection: ShellConnection, request: QueryRequest) -> None:
        """Start a query, or send the catalog if the request names no table."""
        if request.table:
            self._sessions.start(connection, request, self.host.loop.now)
            return
        schemas = [_schema_of(table) for table in self._catalog.tables.values()]
        in_fleet = self._fleet_queries is not None
        reply = CatalogReply(request.number, self.host.config.name, __version__, in_fleet, schemas)
        connection.send(reply)

    def _run_turn(self) -> bool:
        """Serve open queries; returns whether the loop should take another turn at once."""
        queries = self._fleet_queries
        if not self._sessions and (queries is None or not queries.is_active):
            return False
        loop = self.host.loop
        started_cpu_ns = time.thread_time_ns()
        started_wall_us = loop.turn_elapsed_us()
        has_more = self._serve()
        cpu_us = (time.thread_time_ns() - started_cpu_ns) // 1000
        self._turn_times.record(cpu_us, loop.turn_elapsed_us() - started_wall_us)
        return has_more

    def _serve(self) -> bool:
        loop = self.host.loop
        unix_ms = self.host.unix_ms(loop.now)
        has_more = self._sessions.run_turn(loop.now, unix_ms, loop.turn_elapsed_us, loop.has_backlog)
        if self._fleet_queries is not None:
            has_more = self._fleet_queries.run_turn(unix_ms) or has_more
            self._wake_at(self._fleet_queries.next_due_us())
        return has_more

    def _wake_at(self, due_us: int | None) -> None:
        """Make sure that the loop takes a turn at that time or earlier."""
        timer = self._timer
        if due_us is None or (timer is not None and timer.call is not None and timer.due <= due_us):
            return
        if timer is not None:
            timer.cancel()
        loop = self.host.loop
        self._timer = loop.call_at(max(due_us, loop.now + MIN_WAKE_DELAY_US), lambda: None)

    def _counters(self) -> dict[str, int]:
        counters = self._sessions.counters | self._turn_times.counters()
        return counters | {"shells": len(self._connections)}


def _schema_of(table: Table) -> TableSchema:
    columns = [(column.name, column.sql_type, column.meaning) for column in table.columns]
    return TableSchema(table.name, table.meaning, columns)


def create_component(host: Host) -> Component:
    """Create the control component."""
    return ControlComponent(host)
