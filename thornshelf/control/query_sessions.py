"""Open queries of the control socket, served in turn within a budget of time and bytes for each turn of the loop.

No I/O: replies are handed to a ``QueryClient``, which says whether it can take more.
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
BACKLOG_TIME_BUDGET_US = 400  # in place of TURN_TIME_BUDGET_US where other work of the loop waits
STALLED_CLIENT_TIMEOUT_US = 5_000_000  # a client that reads nothing for this long is disconnected
QUERY_TIMEOUT_US = 30_000_000
MAX_QUERIES_PER_CLIENT = 4


@dataclass(frozen=True, slots=True)
class FleetAccess:
    """How queries reach the other dispatchers of the fleet.

    ``live_members`` names those to query, ``failed_members`` those that cannot be queried, with the cause.
    ``start_query`` begins to send a query, ``stop_query`` ends it before or after its answers.
    """

    live_members: Callable[[], Collection[str]]
    failed_members: Callable[[], dict[str, str]]
    start_query: Callable[[QueryGatherer], None]
    stop_query: Callable[[QueryGatherer], None]


class QueryClient(Protocol):
    """One connection of a shell."""

    @property
    def can_accept(self) -> bool:
        """Whether it is open and has read enough of what it was sent to be sent more."""

    @property
    def is_open(self) -> bool:
        """Whether the connection is open."""

    def send(self, reply: Reply) -> int:
        """Send a reply; returns its length in bytes."""

    def close_with_error(self, error: ThornshelfError) -> None:
        """Close the connection, and log the error."""


class OpenQuery:
    """A query whose rows, of this dispatcher and of others, have not all been sent."""

    def __init__(
        self, client: QueryClient, request: QueryRequest, table_reader: TableReader, now_us: int
    ) -> None:
        self.client = client
        self.request = request
        self.table_reader = table_reader
        self.scatter_gather: QueryGatherer | None = None  # where the fleet is queried
        self.missing: dict[str, str] = {}  # members that could not be queried from the start, with the cause
        self.started_us = now_us
        self.last_progress_us = now_us

    @property
    def is_finished(self) -> bool:
        """Whether all rows have been sent."""
        if not self.table_reader.exhausted:
            return False
        gatherer = self.scatter_gather
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
        """``name``: of this dispatcher; ``next_query_id``: ids for queries to other members."""
        self._name = name
        self._catalog = catalog
        self._fleet = fleet
        self._next_query_id = next_query_id
        self._max_queries = max_clients * MAX_QUERIES_PER_CLIENT
        self._queries: deque[OpenQuery] = deque()
        self._bytes_this_turn = 0
        # The keys are those of the table of counters.
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
        """Begin a query, or answer with an error where it cannot be served."""
        self.counters["questions"] += 1
        try:
            query = self._open(client, request, now_us)
        except (TooManySessionsError, UnknownTableError) as error:
            self.counters["declined"] += 1
            client.send(ErrorReply(request.number, error.code, str(error)))
            return
        if request.fleet and self._fleet is not None:
            self._start_in_fleet(query, self._fleet, now_us)
        self._queries.append(query)

    def _open(self, client: QueryClient, request: QueryRequest, now_us: int) -> OpenQuery:
        """A new query; raises ``TooManySessionsError`` or ``UnknownTableError``."""
        of_client = sum(query.client is client for query in self._queries)
        if of_client >= MAX_QUERIES_PER_CLIENT or len(self._queries) >= self._max_queries:
            raise TooManySessionsError(f"{len(self._queries)} questions are open")
        table = self._catalog.table(request.table)
        reader = TableReader(table, request.columns, request.filters)
        return OpenQuery(client, request, reader, now_us)

    def _start_in_fleet(self, query: OpenQuery, fleet: FleetAccess, now_us: int) -> None:
        """Send the query to the other members."""
        request = query.request
        query.missing = fleet.failed_members()
        others = [name for name in fleet.live_members() if name != self._name]
        query.scatter_gather = QueryGatherer(
            self._next_query_id(), request.table, request.columns, request.filters, others, now_us
        )
        fleet.start_query(query.scatter_gather)

    def remove_client(self, client: QueryClient) -> None:
        """End the queries of a client that has disconnected."""
        for query in [query for query in self._queries if query.client is client]:
            self._end(query)

    def _end(self, query: OpenQuery) -> None:
        """Forget a query."""
        self._queries.remove(query)
        if query.scatter_gather is not None and self._fleet is not None:
            self._fleet.stop_query(query.scatter_gather)

    def run_turn(self, now_us: int, unix_ms: int, elapsed_us: Callable[[], int], has_backlog: bool) -> bool:
        """Serve each query in turn within the budget; returns whether one could go on at once.

        ``unix_ms``: the time of this dispatcher's rows; ``elapsed_us``: returns the time since the turn began;
        ``has_backlog``: other work of the loop waits.
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
        """Send the next rows of a query; returns whether it could go on at once."""
        if not query.client.can_accept:
            self._wait_for_client(query, now_us)
            return False
        if now_us - query.started_us > QUERY_TIMEOUT_US:
            self._abort(query, "its question is never over")
            return False
        query.last_progress_us = now_us
        if query.scatter_gather is not None:
            self._send_rows_of_others(query, query.scatter_gather)
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
        """Pause a query whose client does not read; give it up where the client has stalled or disconnected."""
        if query.scatter_gather is not None:
            query.scatter_gather.paused = True
        if not query.client.is_open:
            self._end(query)
        elif now_us - query.last_progress_us > STALLED_CLIENT_TIMEOUT_US:
            self._abort(query, "it has read nothing for too long")

    def _send_rows_of_others(self, query: OpenQuery, gatherer: QueryGatherer) -> None:
        """Pass on what other members have sent, as far as the client and the turn allow."""
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
        """Say which members' rows are complete, and which are not."""
        missing = dict(query.missing)
        complete: list[str] = []
        if query.scatter_gather is not None:
            missing |= query.scatter_gather.incomplete
            complete += query.scatter_gather.complete_members
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
