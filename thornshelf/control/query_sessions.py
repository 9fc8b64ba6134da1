"""The questions that are open on control sockets, served in turn within bounds: so long and so much a turn.

No I/O: what is to be sent is handed to the reader, which says whether it takes more.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Protocol

from thornshelf.control.framing import MAX_ROWS_PER_PAGE, ErrorReply, QueryEnd, QueryRequest, Reply, RowPage
from thornshelf.control.tables import Catalog, TableReader
from thornshelf.errors import ControlProtocolError, ThornshelfError, TooManySessionsError, UnknownTableError
from thornshelf.membership.query_gatherer import QueryGatherer

TURN_TIME_BUDGET_US = 1_500  # of one turn of the loop, all questions together
TURN_BYTE_BUDGET = 256 * 1024  # and so much is sent, and the page that goes beyond it
BACKLOG_TIME_BUDGET_US = 400  # where other work waits already
STALLED_CLIENT_TIMEOUT_US = 5_000_000  # a reader that takes nothing for so long loses its connection
QUERY_TIMEOUT_US = 30_000_000  # and so does a question that is never over
MAX_QUERIES_PER_CLIENT = 4  # questions of one reader at once


@dataclass(frozen=True, slots=True)
class FleetAccess:
    """The others, where dispatchers talk: ``live`` are asked, ``gone`` are named with the reason; ``ask`` sends."""

    live_members: Callable[[], Collection[str]]
    failed_members: Callable[[], dict[str, str]]
    start_query: Callable[[QueryGatherer], None]
    stop_query: Callable[[QueryGatherer], None]  # it is over: nothing of it is passed on any more


class QueryClient(Protocol):
    """One connection."""

    @property
    def can_accept(self) -> bool:
        """It is open, and has read enough of what it was sent to be sent more."""

    @property
    def is_open(self) -> bool:
        """Its connection stands."""

    def send(self, reply: Reply) -> int:
        """Send a word; its bytes."""

    def close_with_error(self, error: ThornshelfError) -> None:
        """Close it, with a log line."""


class OpenQuery:
    """One question: this dispatcher's rows, and the others'."""

    def __init__(
        self, client: QueryClient, request: QueryRequest, table_reader: TableReader, now_us: int
    ) -> None:
        self.client, self.request, self.table_reader = client, request, table_reader
        self.scatter_gather: QueryGatherer | None = None
        self.missing: dict[str, str] = {}
        self.started_us = self.last_progress_us = now_us


class QuerySessions:
    """All of them. ``numbers`` gives questions to others a number of their own."""

    def __init__(
        self,
        name: str,
        catalog: Catalog,
        fleet: FleetAccess | None,
        next_query_id: Callable[[], int],
        max_clients: int,
    ) -> None:
        self._name, self._catalog, self._fleet = name, catalog, fleet
        self._next_query_id, self._max_clients = next_query_id, max_clients
        self._queries: deque[OpenQuery] = deque()
        self._bytes_this_turn = 0  # sent in this turn
        self.counters = {
            "questions": 0,
            "rows": 0,
            "slices": 0,
            "declined": 0,
            "dropped": 0,
        }

    def __len__(self) -> int:
        return len(self._queries)

    def start(self, client: QueryClient, request: QueryRequest, now_us: int) -> None:
        """A question; an error answers one that can't be served."""
        self.counters["questions"] += 1
        try:
            mine = sum(query.client is client for query in self._queries)
            if (
                mine >= MAX_QUERIES_PER_CLIENT
                or len(self._queries) >= self._max_clients * MAX_QUERIES_PER_CLIENT
            ):
                raise TooManySessionsError(f"{len(self._queries)} questions are open")
            table = self._catalog.table(request.table)
            query = OpenQuery(client, request, TableReader(table, request.columns, request.filters), now_us)
        except (TooManySessionsError, UnknownTableError) as fault:
            self.counters["declined"] += 1
            client.send(ErrorReply(request.number, fault.code, str(fault)))
            return
        if request.fleet and self._fleet is not None:
            query.missing = self._fleet.failed_members()
            others = [name for name in self._fleet.live_members() if name != self._name]
            query.scatter_gather = QueryGatherer(
                self._next_query_id(), request.table, request.columns, request.filters, others, now_us
            )
            self._fleet.start_query(query.scatter_gather)
        self._queries.append(query)

    def remove_client(self, client: QueryClient) -> None:
        """Its connection is closed."""
        for query in [one for one in self._queries if one.client is client]:
            self._end(query)

    def _end(self, query: OpenQuery) -> None:
        self._queries.remove(query)
        if query.scatter_gather is not None and self._fleet is not None:
            self._fleet.stop_query(query.scatter_gather)

    def run_turn(self, now_us: int, unix_ms: int, elapsed_us: Callable[[], int], has_backlog: bool) -> bool:
        """Serve each in turn for as long as a turn may last; whether one could go on at once."""
        until = elapsed_us() + (BACKLOG_TIME_BUDGET_US if has_backlog else TURN_TIME_BUDGET_US)
        again, self._bytes_this_turn = False, 0
        for _ in range(len(self._queries)):
            if elapsed_us() >= until or self._bytes_this_turn >= TURN_BYTE_BUDGET:
                again = True
                break
            query = self._queries[0]
            self._queries.rotate(-1)
            again = self._serve(query, now_us, unix_ms, elapsed_us, until) or again
        return again

    def _serve(
        self, query: OpenQuery, now_us: int, unix_ms: int, spent: Callable[[], int], until: int
    ) -> bool:
        """Whether it could go on at once."""
        reader, asker, number = query.client, query.scatter_gather, query.request.number
        if not reader.can_accept:
            if asker is not None:
                asker.paused = True
            if not reader.is_open:
                self._end(query)
            elif now_us - query.last_progress_us > STALLED_CLIENT_TIMEOUT_US:
                self._abort(query, "it has read nothing for too long")
            return False
        if now_us - query.started_us > QUERY_TIMEOUT_US:
            self._abort(query, "its question is never over")
            return False
        query.last_progress_us = now_us
        if asker is not None:
            asker.paused = False
            for name, why in self._fleet.failed_members().items() if self._fleet is not None else ():
                asker.member_lost(name, why)
            while asker.batches and reader.can_accept and self._bytes_this_turn < TURN_BYTE_BUDGET:
                member, at_ms, rows = asker.batches.pop(0)
                self._send_page(query, member, at_ms, rows)
        if not query.table_reader.exhausted:
            rows = query.table_reader.read_rows(spent, until, MAX_ROWS_PER_PAGE)
            if rows:
                self._send_page(query, self._name, unix_ms, rows)
            return True
        if asker is None or (asker.finished and not asker.batches):
            missing = query.missing | (asker.incomplete if asker is not None else {})
            if query.table_reader.truncated:
                missing[self._name] = "it told only its first rows"
            told = [] if query.table_reader.truncated else [self._name]
            told += asker.complete_members if asker is not None else []
            reader.send(QueryEnd(number, sorted(told), sorted(missing.items())))
            self._end(query)
        return False

    def _send_page(
        self, query: OpenQuery, member: str, at_ms: int, rows: list[list[str | int | float | None]]
    ) -> None:
        self.counters["slices"] += 1
        self.counters["rows"] += len(rows)
        self._bytes_this_turn += query.client.send(RowPage(query.request.number, member, at_ms, rows))

    def _abort(self, query: OpenQuery, why: str) -> None:
        self.counters["dropped"] += 1
        self._end(query)
        query.client.close_with_error(ControlProtocolError(why))
