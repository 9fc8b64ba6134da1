"""The control socket: what shells ask of this dispatcher, and through it of all. Read only.

The questions and their bounds are in ``thornshelf.control``, those to the others in ``thornshelf.membership.scatter_gather``.
"""

from __future__ import annotations

import os
import secrets
import socket
import stat
import struct
import time
from collections.abc import Generator
from pathlib import Path
from typing import TYPE_CHECKING

from thornshelf import __version__
from thornshelf.components import Component, Host
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
from thornshelf.control.query_sessions import FleetAccess, QuerySessions
from thornshelf.control.tables import Catalog, TableReader
from thornshelf.errors import (
    ControlProtocolError,
    ControlSocketError,
    SocketInUseError,
    ThornshelfError,
    TooManySessionsError,
    UnknownTableError,
)
from thornshelf.loop import Stream, Timer, Wait
from thornshelf.loop.loop import IN
from thornshelf.membership.datagrams import MessageKind
from thornshelf.membership.query_gatherer import QueryGatherer
from thornshelf.membership.scatter_gather import QueryResponder
from thornshelf.membership.states import LIVE_STATES, MemberState
from thornshelf.syslog import Syslog

if TYPE_CHECKING:
    from thornshelf.components.fleet import FleetComponent

MOST_UNSENT = 128 * 1024  # what is buffered for one reader
MOST_TOLD = 1_000_000  # rows of one answer
IDLE_US = 3_600_000_000  # a shell that asks nothing for so long is closed
OTHERS_WRITE = stat.S_IWGRP | stat.S_IWOTH
LONG_US = 5_000  # turns that it holds for longer are counted
PEER = struct.Struct("3i")  # SO_PEERCRED: process, user, group


def make_socket(place: Path, handed: bool = False) -> socket.socket:
    """Listen at a place that nobody else can write to.

    Guards against a socket that somebody put there first, and against one that a process which died left behind.
    ``handed``: a predecessor that hands over still answers there.
    """
    folder, me = place.parent, os.geteuid()
    try:
        held = os.stat(folder)
    except OSError as fault:
        raise ControlSocketError(f"control.socket: {folder}: {fault.strerror}") from None
    if held.st_uid not in (0, me) or (held.st_mode & OTHERS_WRITE and not held.st_mode & stat.S_ISVTX):
        raise ControlSocketError(f"control.socket: {folder}: another user may write there")
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    short = f"/proc/self/fd/{fd}/{place.name}"  # a socket's path may be 107 bytes long and no more
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        _make_way(place, short, me, handed)
        before = os.umask(0o177)
        try:
            sock.bind(short)
        finally:
            os.umask(before)
        os.chmod(place, 0o600)
        if stat.S_IMODE(os.lstat(place).st_mode) != 0o600:
            raise ControlSocketError(f"control.socket: {place}: its mode can't be made 0600")
        sock.listen(64)
        sock.setblocking(False)
    except OSError as fault:
        sock.close()
        raise ControlSocketError(f"control.socket: {place}: {fault.strerror or fault}") from None
    except ControlSocketError:
        sock.close()
        raise
    finally:
        os.close(fd)
    return sock


def _make_way(place: Path, short: str, me: int, handed: bool) -> None:
    try:
        found = os.lstat(place)
    except FileNotFoundError:
        return
    if not stat.S_ISSOCK(found.st_mode):
        raise ControlSocketError(f"control.socket: {place}: there is something else than a socket")
    if found.st_uid != me:
        raise ControlSocketError(f"control.socket: {place}: it is another user's")
    if not handed:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
            probe.settimeout(1.0)
            try:
                probe.connect(short)
                raise SocketInUseError(f"control.socket: {place}: another process answers there")
            except ConnectionRefusedError:
                pass  # left behind by a process that died
    os.unlink(place)


class Connection:
    """One shell."""

    def __init__(self, part: ControlComponent, sock: socket.socket) -> None:
        self.part = part
        self.stream = Stream(part.host.loop, sock, "shell")
        self.frame_decoder = FrameDecoder(MAX_REQUEST_BYTES)

    @property
    def is_open(self) -> bool:
        """It stands."""
        return self.stream.open

    @property
    def can_accept(self) -> bool:
        """It reads what it is sent."""
        return self.stream.open and self.stream.buffered_bytes < MOST_UNSENT

    def send(self, reply: Reply) -> int:
        """Send a word; its bytes."""
        return len(self.stream.send(encode_frame(reply)).data)

    def close_with_error(self, error: ThornshelfError) -> None:
        """Close it, and say why."""
        self.part.host.log(4, "shell", {"code": error.code}, str(error))
        self.stream.close()

    def run(self) -> Generator[Wait, int, None]:
        """Read questions until the shell goes."""
        part, loop = self.part, self.part.host.loop
        try:
            while data := (yield from self.stream.read(loop.now + IDLE_US)):
                for body in self.frame_decoder.feed(data):
                    part.take(self, decode_request(body))
        except ControlProtocolError as fault:
            self.close_with_error(fault)
        finally:
            self.stream.close()
            part.gone(self)


class ControlComponent(Component):
    """The socket, its readers, and the answers to other members' questions."""

    def prepare(self) -> None:
        """Tables are declared as parts start; errors are counted from the first line on."""
        self.host.catalog = Catalog()
        self._tallies = ErrorCounters()
        if isinstance(self.host.log, Syslog):
            self.host.log.on_line = self._tallies.count_line

    def start(self) -> None:
        """Listen."""
        host, config = self.host, self.host.config.control
        assert config is not None and host.catalog is not None
        history = History(config.history)
        host.core.history = history
        self._catalog, self._most = host.catalog, config.readers
        self._tables = CoreTables(host.core, history, self._tallies, host.unix_ms)
        self._catalog.add(*self._tables.tables(lambda: host.config))
        self._connections: set[Connection] = set()
        self._askers: dict[int, QueryGatherer] = {}
        self._timer: Timer | None = None
        self._fleet: FleetComponent | None = None
        self._answerer = QueryResponder(self._begin)
        self._next = secrets.randbits(40)
        self._worst_us = self._worst_wall_us = self._turns = self._long_turns = 0
        fleet = None
        if host.config.fleet is not None:
            fleet = self._join()
        self.readers = QuerySessions(host.config.name, self._catalog, fleet, self._number, config.readers)
        self._tables.counters["control"] = self._counts
        self._place = config.socket
        self._sock = make_socket(config.socket, host.inherited is not None)
        self._made = os.lstat(config.socket)
        host.loop.spawn(self._accept())
        host.loop.on_turn.append(self._turn)
        host.log(
            6, "control-socket-opened", {"socket": str(config.socket), "readers": config.readers}, "listening"
        )

    def stop(self) -> None:
        """Nothing is left behind; what a successor has put there stays."""
        self._sock.close()
        try:
            found = os.lstat(self._place)
            if (found.st_ino, found.st_dev) == (self._made.st_ino, self._made.st_dev):
                os.unlink(self._place)
        except OSError:
            pass

    # shells

    def _accept(self) -> Generator[Wait, int, None]:
        while True:
            yield Wait(self._sock.fileno(), IN)
            try:
                sock, _ = self._sock.accept()
            except OSError:
                yield Wait(until=self.host.loop.now + 20_000)  # the table of descriptors is full
                continue
            _, user, _ = PEER.unpack(sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER.size))
            if user not in (0, os.geteuid()):
                sock.close()
                continue
            connection = Connection(self, sock)
            if len(self._connections) >= self._most:
                busy = TooManySessionsError(f"{len(self._connections)} shells are connected")
                self.host.log(4, "shell", {"code": busy.code}, str(busy))
                connection.send(ErrorReply(0, busy.code, str(busy)))
                connection.stream.end()
                continue
            self._connections.add(connection)
            self.host.loop.spawn(connection.run())

    def take(self, connection: Connection, asked: QueryRequest) -> None:
        """A question."""
        if asked.table:
            self.readers.start(connection, asked, self.host.loop.now)
            return
        shapes = [
            TableSchema(
                table.name, table.meaning, [(one.name, one.sql_type, one.meaning) for one in table.columns]
            )
            for table in self._catalog.tables.values()
        ]
        name = self.host.config.name
        connection.send(CatalogReply(asked.number, name, __version__, self._fleet is not None, shapes))

    def gone(self, connection: Connection) -> None:
        """A shell's connection is closed."""
        self._connections.discard(connection)
        self.readers.remove_client(connection)

    # turns

    def _turn(self) -> bool:
        if not self.readers and not self._askers and not len(self._answerer):
            return False
        # How long it holds a turn: by the processor, and by the clock, which also counts what others ran meanwhile.
        began, wall = time.thread_time_ns(), self.host.loop.turn_elapsed_us()
        again = self._serve()
        spent_us = (time.thread_time_ns() - began) // 1000
        self._worst_us = max(self._worst_us, spent_us)
        self._turns += 1
        self._long_turns += spent_us > LONG_US
        self._worst_wall_us = max(self._worst_wall_us, self.host.loop.turn_elapsed_us() - wall)
        return again

    def _counts(self) -> dict[str, int]:
        worst = {"worst_turn_us": self._worst_us, "worst_turn_wall_us": self._worst_wall_us}
        worst |= {"turns": self._turns, "turns_over_5ms": self._long_turns}
        return self.readers.counters | worst | {"shells": len(self._connections)}

    def _serve(self) -> bool:
        loop = self.host.loop
        unix_ms = self.host.unix_ms(loop.now)
        again = self.readers.run_turn(loop.now, unix_ms, loop.turn_elapsed_us, loop.has_backlog)
        if self._fleet is not None:
            until = loop.turn_elapsed_us() + 1_000
            again = self._answerer.serve(loop.now, unix_ms, loop.turn_elapsed_us, until) or again
            due = [asker.tick(loop.now) for asker in self._askers.values()]
            self._send()
            self._wake(min((one for one in due if one is not None), default=None))
        return again

    def _wake(self, due: int | None) -> None:
        """A turn when the next question has to be put again."""
        if due is None and len(self._answerer):
            due = self.host.loop.now + 1_000_000
        if due is not None and (self._timer is None or self._timer.call is None or self._timer.due > due):
            if self._timer is not None:
                self._timer.cancel()
            self._timer = self.host.loop.at(max(due, self.host.loop.now + 1_000), lambda: None)

    # the others

    def _number(self) -> int:
        self._next += 1
        return self._next

    def _join(self) -> FleetAccess:
        from thornshelf.components.fleet import FleetComponent

        part = self.host.core.gossip
        assert isinstance(part, FleetComponent)
        self._fleet, view = part, part.membership
        self._tables.counters["fleet"] = lambda: view.counters
        part.on_user_message = self._spoken

        def gone() -> dict[str, str]:
            """Held for dead: named, not asked. Those that left in order are no part of the fleet."""
            members = view.table.departed()
            dead = [
                one.record.name
                for one in members
                if one.state not in LIVE_STATES and one.state is not MemberState.LEFT
            ]
            return dict.fromkeys(dead, "it is held for dead")

        def ask(asker: QueryGatherer) -> None:
            self._askers[asker.query_id] = asker

        def asked(asker: QueryGatherer) -> None:
            self._askers.pop(asker.query_id, None)
            asker.cancel()
            self._say(MessageKind.QUERY, asker.outgoing)

        return FleetAccess(view.live_names, gone, ask, asked)

    def _spoken(self, name: str, kind: MessageKind, content: bytes) -> None:
        now = self.host.loop.now
        if kind is MessageKind.QUERY:
            self._answerer.receive(name, content, now)
        else:
            for asker in self._askers.values():
                asker.receive(name, content, now)

    def _begin(
        self, table: str, wanted: list[str], only: dict[str, str | int | float | None]
    ) -> TableReader | str:
        try:
            return TableReader(self._catalog.table(table), wanted, only, MOST_TOLD)
        except UnknownTableError as fault:
            return str(fault)

    def _send(self) -> None:
        self._say(MessageKind.QUERY_REPLY, self._answerer.outgoing)
        for asker in self._askers.values():
            self._say(MessageKind.QUERY, asker.outgoing)

    def _say(self, kind: MessageKind, out: list[tuple[str, bytes]]) -> None:
        """Words to other members, in datagrams."""
        part = self._fleet
        if part is None or not out:
            return
        for name, content in out:
            part.membership.send_user_message(name, kind, content)
        out.clear()
        part.flush()

    def reload(self, config: Config) -> None:
        """The table waits for a restart."""


def make(host: Host) -> Component:
    """The part."""
    return ControlComponent(host)
