"""Queries between the dispatchers of a fleet: sends those of this dispatcher's shells, and answers those of others.

``thornshelf.membership.scatter_gather`` has the protocol; its messages are sent as datagrams of the fleet.
"""

from __future__ import annotations

from thornshelf.components.fleet import FleetComponent
from thornshelf.control.query_sessions import FleetAccess
from thornshelf.control.tables import Catalog, TableReader
from thornshelf.errors import UnknownTableError
from thornshelf.loop import Loop
from thornshelf.membership.datagrams import MessageKind
from thornshelf.membership.query_gatherer import QueryGatherer
from thornshelf.membership.scatter_gather import QueryResponder
from thornshelf.membership.states import LIVE_STATES, MemberState

MAX_ROWS_PER_ANSWER = 1_000_000

_RESPONDER_TIME_BUDGET_US = 1_000  # in one turn, for the queries of other members
_RESPONDER_WAKE_INTERVAL_US = 1_000_000  # between turns while a query of another member is open


class FleetQueries:
    """The open queries of this dispatcher, and those of other members that it answers."""

    def __init__(self, fleet: FleetComponent, catalog: Catalog, loop: Loop) -> None:
        self._fleet = fleet
        self._catalog = catalog
        self._loop = loop
        self._gatherers: dict[int, QueryGatherer] = {}
        self._due_us: list[int | None] = []  # when each gatherer needs its next turn, as of the last turn
        self._responder = QueryResponder(self._open_table)
        fleet.on_user_message = self._handle_message

    @property
    def is_active(self) -> bool:
        """Whether a query of this dispatcher or of another member is open."""
        return bool(self._gatherers or len(self._responder))

    def access(self) -> FleetAccess:
        """Returns the functions by which the sessions of shells query the fleet."""
        return FleetAccess(
            self._fleet.membership.live_names, self._failed_members, self._start_query, self._stop_query
        )

    def counters(self) -> dict[str, int]:
        """Returns the counters of the membership protocol."""
        return self._fleet.membership.counters

    def run_turn(self, unix_ms: int) -> bool:
        """Answer other members' queries and repeat unanswered ones of this dispatcher.

        Returns whether there is more to do at once.
        """
        loop = self._loop
        until_us = loop.turn_elapsed_us() + _RESPONDER_TIME_BUDGET_US
        has_more = self._responder.serve(loop.now, unix_ms, loop.turn_elapsed_us, until_us)
        self._due_us = [gatherer.tick(loop.now) for gatherer in self._gatherers.values()]
        self._send(MessageKind.QUERY_REPLY, self._responder.outgoing)
        for gatherer in self._gatherers.values():
            self._send(MessageKind.QUERY, gatherer.outgoing)
        return has_more

    def next_due_us(self) -> int | None:
        """Returns when the next turn is needed, on the loop's clock, or None if no query is open."""
        due_us = min((due for due in self._due_us if due is not None), default=None)
        if due_us is None and len(self._responder):
            return self._loop.now + _RESPONDER_WAKE_INTERVAL_US
        return due_us

    def _failed_members(self) -> dict[str, str]:
        """Returns the members that can't be queried, with the reason; those that have left gracefully don't count."""
        failed = [
            member.record.name
            for member in self._fleet.membership.table.departed()
            if member.state not in LIVE_STATES and member.state is not MemberState.LEFT
        ]
        return dict.fromkeys(failed, "it is held for dead")

    def _start_query(self, gatherer: QueryGatherer) -> None:
        self._gatherers[gatherer.query_id] = gatherer

    def _stop_query(self, gatherer: QueryGatherer) -> None:
        self._gatherers.pop(gatherer.query_id, None)
        gatherer.cancel()
        self._send(MessageKind.QUERY, gatherer.outgoing)

    def _handle_message(self, member: str, kind: MessageKind, content: bytes) -> None:
        now_us = self._loop.now
        if kind is MessageKind.QUERY:
            self._responder.receive(member, content, now_us)
            return
        for gatherer in self._gatherers.values():
            gatherer.receive(member, content, now_us)

    def _open_table(
        self, table: str, columns: list[str], filters: dict[str, str | int | float | None]
    ) -> TableReader | str:
        try:
            return TableReader(self._catalog.table(table), columns, filters, MAX_ROWS_PER_ANSWER)
        except UnknownTableError as error:
            return str(error)

    def _send(self, kind: MessageKind, messages: list[tuple[str, bytes]]) -> None:
        """Send messages to members and empty the list."""
        if not messages:
            return
        for member, content in messages:
            self._fleet.membership.send_user_message(member, kind, content)
        messages.clear()
        self._fleet.flush()
