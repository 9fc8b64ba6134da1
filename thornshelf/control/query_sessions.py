"""The open queries of the control socket, served round-robin within time and byte budgets for each turn of the loop.

Does no I/O: replies are passed to a ``QueryClient``, which says whether it can accept more.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Protocol

from thornshelf.control.framing import (
    MAX_ROWS_PER_PAGE,
    Cell,
    ErrorReply,
    QueryEnd,
    QueryRequest,
    Reply,
    RowPage,
)
from thornshelf.control.tables import Catalog, TableReader
from thornshelf.errors import ControlProtocolError, ThornshelfError, TooManySessionsError, UnknownTableError
from thornshelf.membership.query_gatherer import QueryGatherer

TURN_TIME_BUDGET_US = 1_500  # for all queries in one turn of the loop
TURN_BYTE_BUDGET = 256 * 1024  # for all pages in one turn; the page that exceeds it is still sent
BACKLOG_TIME_BUDGET_US = 400  # replaces TURN_TIME_BUDGET_US while other work of the loop waits
STALLED_CLIENT_TIMEOUT_US = 5_000_000  # a client that reads nothing for this long is disconnected
QUERY_TIMEOUT_US = 30_000_000
MAX_QUERIES_PER_CLIENT = 4


@dataclass(frozen=True, slots=True)
class FleetAccess:
    """The functions by which queries reach the other dispatchers of the fleet.

    ``live_members``: returns the names of the members to query. ``failed_members``: returns the members that can't be
    queried, with the cause. ``start_query``: starts to send a query. ``stop_query``: ends it, complete or not.
    """

    live_members: Callable[[], Collection[str]]
    failed_members: Callable[[], dict[str, str]]
    start_query: Callable[[QueryGatherer], None]
    stop_query: Callable[[QueryGatherer], None]


class QueryClient(Protocol):
    """The connection of one shell."""

    @property
    def can_accept(self) -> bool:
        """Whether the connection is open and its send buffer has room."""

    @property
    def is_open(self) -> bool:
        """Whether the connection is open."""

    def send(self, reply: Reply) -> int:
        """Send a reply and return its length in bytes."""

    def close_with_error(self, error: ThornshelfError) -> None:
        """Log an error and close the connection."""


class OpenQuery:
    """A query of which not all rows, of this dispatcher and of other members, have been sent."""

    def __init__(
        self, client: QueryClient, request: QueryRequest, table_reader: TableReader, now_us: int
    ) -> None:
        self.client = client
        self.request = request
        self.table_reader = table_reader
        self.gatherer: QueryGatherer | None = None  # if the fleet is queried
        self.missing: dict[str, str] = {}  # members that could not be queried at the start, with the cause
        self.started_us = now_us
        self.last_progress_us = now_us

    @property
    def is_finished(self) -> bool:
        """Whether all rows have been sent and only the end of the query remains."""
        if not self.table_reader.exhausted:
            return False
        gatherer = self.gatherer
        return gatherer is None or (gatherer.finished and not gatherer.batches)


class QuerySessions:
    """All open queries of all clients."""

    def __init__(
        self,
        name: str,
        catalog: Catalog,
        fleet: FleetAccess | None,
        next_query_id: Callable[[], int],
        max_clients: int,
    ) -> None:
        """``name``: this dispatcher's name. ``next_query_id``: returns a new id for a query to other members.

        ``fleet``: None if this dispatcher is in no fleet; then all queries are for its own rows.
        """
        self._name = name
        self._catalog = catalog
        self._fleet = fleet
        self._next_query_id = next_query_id
        self._max_queries = max_clients * MAX_QUERIES_PER_CLIENT
        self._queries: deque[OpenQuery] = deque()
        self._bytes_this_turn = 0
        # The keys are the names in the table ``counters``.
        self.counters = {
            "questions": 0,  # queries received
            "rows": 0,  # rows sent
            "slices": 0,  # pages sent
            "declined": 0,  # queries that were replied to with an error
            "dropped": 0,  # queries that were aborted, with their client's connection
        }

    def __len__(self) -> int:
        return len(self._queries)

    def start(self, client: QueryClient, request: QueryRequest, now_us: int) -> None:
        """Start a query, or reply with an error if it can't be served."""
        self.counters["questions"] += 1
        try:
            query = self._open(client, request, now_us)
        except (TooManySessionsError, UnknownTableError) as error:
            self.counters["declined"] += 1
            client.send(ErrorReply(request.number, error.code, str(error)))
            return
        if request.fleet and self._fleet is not None:
            self._query_fleet(query, self._fleet, now_us)
        self._queries.append(query)

    def _open(self, client: QueryClient, request: QueryRequest, now_us: int) -> OpenQuery:
        """Returns a new query. Raises ``TooManySessionsError`` or ``UnknownTableError``."""
        client_queries = sum(query.client is client for query in self._queries)
        if client_queries >= MAX_QUERIES_PER_CLIENT or len(self._queries) >= self._max_queries:
            raise TooManySessionsError(f"{len(self._queries)} questions are open")
        table = self._catalog.table(request.table)
        reader = TableReader(table, request.columns, request.filters)
        return OpenQuery(client, request, reader, now_us)

    def _query_fleet(self, query: OpenQuery, fleet: FleetAccess, now_us: int) -> None:
        """Send the query to the other members of the fleet."""
        request = query.request
        query.missing = fleet.failed_members()
        others = [name for name in fleet.live_members() if name != self._name]
        query.gatherer = QueryGatherer(
            self._next_query_id(), request.table, request.columns, request.filters, others, now_us
        )
        fleet.start_query(query.gatherer)

    def remove_client(self, client: QueryClient) -> None:
        """End the queries of a client that has disconnected."""
        for query in [query for query in self._queries if query.client is client]:
            self._end(query)

    def _end(self, query: OpenQuery) -> None:
        """Remove a query, and end it at the other members."""
        self._queries.remove(query)
        if query.gatherer is not None and self._fleet is not None:
            self._fleet.stop_query(query.gatherer)

    def run_turn(self, now_us: int, unix_ms: int, elapsed_us: Callable[[], int], has_backlog: bool) -> bool:
        """Serve each query once within the budgets; returns whether a query could continue at once.

        ``unix_ms``: the time of this dispatcher's rows. ``elapsed_us``: returns the time since the turn began.
        ``has_backlog``: whether other work of the loop waits.
        """
        until_us = elapsed_us() + (BACKLOG_TIME_BUDGET_US if has_backlog else TURN_TIME_BUDGET_US)
        can_continue = False
        self._bytes_this_turn = 0
        for _ in range(len(self._queries)):
            if elapsed_us() >= until_us or self._bytes_this_turn >= TURN_BYTE_BUDGET:
                return True
            query = self._queries[0]
            self._queries.rotate(-1)
            if self._serve(query, now_us, unix_ms, elapsed_us, until_us):
                can_continue = True
        return can_continue

    def _serve(
        self, query: OpenQuery, now_us: int, unix_ms: int, elapsed_us: Callable[[], int], until_us: int
    ) -> bool:
        """Send the next rows of a query; returns whether it could continue at once."""
        if not query.client.can_accept:
            self._wait_for_client(query, now_us)
            return False
        if now_us - query.started_us > QUERY_TIMEOUT_US:
            self._abort(query, "a query of the shell exceeded the time limit")
            return False
        query.last_progress_us = now_us
        if query.gatherer is not None:
            self._send_rows_of_others(query, query.gatherer)
        if not query.table_reader.exhausted:
            rows = query.table_reader.read_rows(elapsed_us, until_us, MAX_ROWS_PER_PAGE)
            if rows:
                self._send_page(query, self._name, unix_ms, rows)
            return True
        if query.is_finished:
            self._send_end(query)
            self._end(query)
        return False

    def _wait_for_client(self, query: OpenQuery, now_us: int) -> None:
        """Pause a query whose client does not read; end it if the client has disconnected or stalled."""
        if query.gatherer is not None:
            query.gatherer.paused = True
        if not query.client.is_open:
            self._end(query)
        elif now_us - query.last_progress_us > STALLED_CLIENT_TIMEOUT_US:
            self._abort(query, "the shell has read nothing for too long")

    def _send_rows_of_others(self, query: OpenQuery, gatherer: QueryGatherer) -> None:
        """Send the rows that other members have sent, as far as the client and the byte budget allow."""
        gatherer.paused = False
        failed = self._fleet.failed_members() if self._fleet is not None else {}
        for name, cause in failed.items():
            gatherer.member_lost(name, cause)
        while gatherer.batches and query.client.can_accept and self._bytes_this_turn < TURN_BYTE_BUDGET:
            member, at_ms, rows = gatherer.batches.pop(0)
            self._send_page(query, member, at_ms, rows)

    def _send_page(self, query: OpenQuery, member: str, at_ms: int, rows: list[list[Cell]]) -> None:
        """Send rows of one member."""
        self.counters["slices"] += 1
        self.counters["rows"] += len(rows)
        self._bytes_this_turn += query.client.send(RowPage(query.request.number, member, at_ms, rows))

    def _send_end(self, query: OpenQuery) -> None:
        """Send which members' rows are complete, and which are not."""
        missing = dict(query.missing)
        complete: list[str] = []
        if query.gatherer is not None:
            missing |= query.gatherer.incomplete
            complete += query.gatherer.complete_members
        if query.table_reader.truncated:
            missing[self._name] = "it told only its first rows"
        else:
            complete.append(self._name)
        query.client.send(QueryEnd(query.request.number, sorted(complete), sorted(missing.items())))

    def _abort(self, query: OpenQuery, cause: str) -> None:
        """Disconnect the client of a query that cannot be finished."""
        self.counters["dropped"] += 1
        self._end(query)
        query.client.close_with_error(ControlProtocolError(cause))
