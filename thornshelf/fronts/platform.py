"""The platform's front: owners' JSON lines."""

from __future__ import annotations

from collections.abc import Generator

from glenshift.interface import Outcome, Reason
from thornshelf.core import Dispatcher, GiveUp, OwnerCame, OwnerGone, SetUp
from thornshelf.fronts.listener import Budget, Listener
from thornshelf.loop import Chunk, Loop, Stream, Wait
from thornshelf.wire import jsonl
from thornshelf.wire.errors import WireError

REFUSED, FAILED, UNREADABLE = 34, 41, 100
_RELEASED = {Outcome.OK: 16, Outcome.CANCELLED: 31}  # any other end: 41
MOST_REMEMBERED = 32  # releases, before those that have left are forgotten
MARGIN_US = 3_000  # of an owner's wait: its line was under way, and the answer will be


class Connection:
    """One owner connection; the core knows it as an ``Owner``."""

    lasting = True

    def __init__(self, front: PlatformFront, stream: Stream) -> None:
        self.front, self.stream = front, stream
        self.open: set[int] = set()
        self.releases: dict[int, tuple[Chunk, Outcome, Reason]] = {}

    @property
    def alive(self) -> bool:
        """Its connection is open."""
        return self.stream.open

    @property
    def peer(self) -> str:
        """The client's host."""
        return self.stream.peer

    def answer(self, uid: int, description: bytes) -> None:
        """The task stands."""
        self.open.discard(uid)
        self.stream.send(jsonl.encode_line("running", uid, body=description))

    def refuse(self, uid: int, wait_us: int | None) -> None:
        """Refused; with the time to stay away, where the module gives one."""
        self.open.discard(uid)
        meta = {"wait": str(max(1, wait_us // 1000))} if wait_us else None
        self.stream.send(jsonl.encode_line("stop", uid, meta, REFUSED))

    def fail(self, uid: int) -> None:
        """Failed."""
        self.open.discard(uid)
        self.stream.send(jsonl.encode_line("stop", uid, reason=FAILED))

    def release(self, uid: int, outcome: Outcome, reason: Reason) -> None:
        """The task is over."""
        line = jsonl.encode_line("stop", uid, reason=_RELEASED.get(outcome, FAILED))
        if len(self.releases) >= MOST_REMEMBERED:
            self.releases = {key: one for key, one in self.releases.items() if not one[0].whole}
        self.releases[uid] = (self.stream.send(line), outcome, reason)

    def move(self, uid: int) -> None:
        """The task is stopped, to be asked for again."""
        self.stream.send(jsonl.encode_line("migrate", uid))


class PlatformFront:
    """Listens for owners."""

    def __init__(self, loop: Loop, core: Dispatcher, address: tuple[str, int], budget: Budget) -> None:
        self.loop, self.core = loop, core
        self.ending = False
        self._connections: dict[Connection, None] = {}
        self.listener = Listener(loop, address, budget, self._serve, self.make_room)

    def make_room(self) -> bool:
        """Close the connection that has had no open set-up for the longest time."""
        for connection in self._connections:
            if not connection.open and not connection.stream.unsent:
                connection.stream.close()
                return True
        return False

    def close_idle(self) -> None:
        """Close what has no open set-up; the end is near."""
        for connection in list(self._connections):
            if not connection.open:
                connection.stream.end()

    def _serve(self, stream: Stream) -> Generator[Wait, int, None]:
        connection = Connection(self, stream)
        self._connections[connection] = None
        self.core.inbox.append(OwnerCame(connection))
        reader = jsonl.LineReader()
        try:
            while data := (yield from stream.read()):
                reader.feed(data)
                if not self._take_all(connection, reader):
                    return
        finally:
            del self._connections[connection]
            unsent = [
                (uid, outcome, reason)
                for uid, (chunk, outcome, reason) in connection.releases.items()
                if not chunk.whole
            ]
            self.core.inbox.append(OwnerGone(connection, unsent))

    def _take_all(self, connection: Connection, reader: jsonl.LineReader) -> bool:
        """All whole lines; false where the connection can't go on."""
        while True:
            try:
                line = reader.next()
                if line is None:
                    return True
                self._take(connection, line)
            except WireError as fault:
                # Bad input costs its message, or where the framing is lost its connection, and nothing else.
                self.core.log(4, "bad-line", {"peer": connection.peer}, str(fault))
                if fault.fatal:
                    return False
                if fault.uid is not None:
                    connection.stream.send(jsonl.encode_line("stop", fault.uid, reason=UNREADABLE))

    def _take(self, connection: Connection, line: jsonl.Line) -> None:
        match line.kind:
            case "launch":
                self._launch(connection, line)
            case "stop":
                connection.open.discard(line.uid)
                self.core.inbox.append(GiveUp(line.uid))
            case "check":
                connection.stream.send(jsonl.encode_line("checked", line.uid, reason=int(not self.ending)))
            case _:
                pass  # 'stopped' and the like mean nothing; later kinds are skipped

    def _launch(self, connection: Connection, line: jsonl.Line) -> None:
        fields = jsonl.launch_fields(line)
        if fields.task_class not in self.core.classes:
            raise WireError(f"class is not known: {fields.task_class!r:.40}", uid=line.uid)
        if fields.at is None:
            connection.open.add(line.uid)
            # Keep the order of connections by their last set-up: the first is the one to close.
            self._connections[connection] = self._connections.pop(connection, None)
        # 'left' runs from the client's sending: the line may have come while the last turn was at work.
        self.core.inbox.append(
            SetUp(
                owner=connection,
                uid=line.uid,
                task_class=fields.task_class,
                tenant=fields.tenant,
                key=fields.key,
                deadline_us=self.loop.arrived + int(min(fields.left_ms, 1e9) * 1000) - MARGIN_US,
                hint_us=None if fields.hint_ms is None else int(min(fields.hint_ms, 1e12) * 1000),
                service=fields.service,
                cores=fields.cores,
                memory=fields.memory,
                description=line.body or b"",
                at=fields.at,
            )
        )
