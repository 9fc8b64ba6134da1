"""Fake nodes and clients for load tests: nodes with limited resources and faults, clients that cancel and retry."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Generator
from functools import partial
from typing import Any

from hdrh.histogram import HdrHistogram

from thornshelf.lab.fakes.behavior import GRPC2, HOST, JSON
from thornshelf.lab.fakes.clients import CLIENT_TYPES, FakeClient
from thornshelf.lab.fakes.nodes import BinaryResponder, FakeNode, ReceivedMessage
from thornshelf.lab.oracle import ObservedRequest, Oracle
from thornshelf.loop import Loop, Wait
from thornshelf.wire import placement_pb2 as pb
from thornshelf.wire import placement_v2_pb2 as pb2

LEDGER, LOOKUP = "ledger-batch", "lookup"
TASK_SIZES = {LOOKUP: (1.0, 2.0), LEDGER: (6.0, 14.0)}  # cores and memory that a task of each class requests
CONNECTIONS_PER_FORM = 4  # of the clients, for each wire form
NODE_CORES, NODE_MEMORY, CORES_OVERCOMMIT, MEMORY_OVERCOMMIT = 27.0, 43.0, 4.0, 2.0


class LoadNode(FakeNode):
    """A node with limited cores and memory, whose tasks take time to start and end by themselves.

    The caller causes faults: it sets ``unresponsive_until_us`` or ``cut_binding_fraction``, or calls
    ``break_streams`` or ``restart``.
    """

    def __init__(
        self, loop: Loop, form: str, oracle: Oracle, rng: random.Random, address: tuple[str, int] = (HOST, 0)
    ) -> None:
        super().__init__(loop, form, address)
        self.oracle, self.random = oracle, rng
        self.unresponsive_until_us = 0
        self.cut_binding_fraction = 0.0  # of the starts of ledger batches: the binding is truncated
        self.rejected_fraction = 0.02
        self.mean_lifetime_us = 3_000_000  # of the tasks
        self.tasks: dict[int, tuple[ReceivedMessage, Any]] = {}  # running, by request id
        self.starting: dict[int, tuple[ReceivedMessage, Any]] = {}  # accepted, by request id
        self.used = [0.0, 0.0]  # cores and memory
        # Arguments of ``end`` for the tasks that ended since the last connection opened.
        self.unreported_ends: list[tuple[int, int, int]] = []
        self.epoch = 0  # incremented at a restart; timers of an earlier epoch do nothing

    def handle_message(self, order: ReceivedMessage, responder: Any) -> None:
        """Handle an offer, a release or a question; deferred while the node is unresponsive."""
        if self.loop.now < self.unresponsive_until_us:
            self.loop.call_at(self.unresponsive_until_us, lambda: self.handle_message(order, responder))
            return
        match order.kind:
            case "question":
                self.answer(order, responder)
            case "release":
                if order.uid in self.tasks:
                    self._finish_task(order.uid, pb.CANCELLED)
                    responder.end(order.uid, 31, pb.CANCELLED)
                else:
                    self.starting.pop(order.uid, None)
            case "offer":
                self._handle_offer(order, responder)

    def _handle_offer(self, order: ReceivedMessage, responder: Any) -> None:
        cores, memory = TASK_SIZES[order.task_class]
        if (
            order.hint_ms is not None
            and not order.assumed
            and not self.oracle.has_client_hint.get(order.key, True)
        ):
            self.oracle.unmarked_hints += 1
        self._update_load_report(responder)
        needs_hint = pb2.HINT in self.profile.requires and order.hint_ms is None
        if needs_hint and self.form == GRPC2:
            responder.end(order.uid, 34, pb.FULL, "unfit", pb2.HINT_NEEDED, "no hint")
        elif (
            self.used[0] + cores > NODE_CORES * CORES_OVERCOMMIT
            or self.used[1] + memory > NODE_MEMORY * MEMORY_OVERCOMMIT
        ):
            responder.end(order.uid, 34, pb.FULL, "lack_ram", pb.NO_MEMORY)
        elif self.random.random() < self.rejected_fraction:
            responder.end(order.uid, 34, pb.FULL, "backlog", pb.BACKLOG)
        else:
            self.starting[order.uid] = order, responder
            self.used = [self.used[0] + cores, self.used[1] + memory]
            epoch = self.epoch
            self.loop.call_later(self.random.randrange(5_000, 30_000), lambda: self._start_task(order, epoch))

    def _update_load_report(self, responder: Any) -> None:
        free = NODE_CORES - self.used[0], NODE_MEMORY - self.used[1]
        responder.load = {"x0": free[0], "x1": free[1]}
        responder.report = b"x0:%.1f;x1:%.1f" % free

    def _start_task(self, order: ReceivedMessage, epoch: int) -> None:
        if epoch != self.epoch:
            return
        if self.loop.now < self.unresponsive_until_us:
            self.loop.call_at(self.unresponsive_until_us, lambda: self._start_task(order, epoch))
            return
        entry = self.starting.pop(order.uid, None)
        if entry is None:
            self._release_resources(order)  # cancelled before it ran
            return
        responder, is_ledger = entry[1], order.task_class == LEDGER
        if is_ledger:
            self.oracle.starts_by_key[order.key] += 1
        self.tasks[order.uid] = entry
        self.running_by_key[order.key] = order.uid
        if is_ledger and self.random.random() < self.cut_binding_fraction:
            responder.send_truncated_binding(order.uid)
            self.remove_responder(responder)
            if isinstance(responder, BinaryResponder):
                responder.stream.flush()
        else:
            responder.bind(order.uid)
        self.loop.call_later(
            int(self.random.expovariate(1 / self.mean_lifetime_us)) + 100_000,
            lambda: self._end_task(order, epoch),
        )

    def _end_task(self, order: ReceivedMessage, epoch: int) -> None:
        if epoch != self.epoch or order.uid not in self.tasks:
            return
        if self.loop.now < self.unresponsive_until_us:
            self.loop.call_at(self.unresponsive_until_us, lambda: self._end_task(order, epoch))
            return
        responder = self.tasks[order.uid][1]
        self._finish_task(order.uid, pb.ENDED)
        # The end of a task is sent on the connection of its offer, or else on the newest one; it is sent again on the
        # next connection that opens, because it may not have arrived.
        self.unreported_ends.append((order.uid, 16, pb.ENDED))
        if responder not in self.responders:
            if not self.responders:
                return
            responder = self.responders[-1]
        self._update_load_report(responder)
        responder.end(order.uid, 16, pb.ENDED)

    def break_streams(self) -> None:
        """Reset all connections."""
        super().break_streams()
        self.responders.clear()

    def add_responder(self, responder: Any) -> None:
        """Add a connection, and send on it the ends of tasks since the previous one opened."""
        super().add_responder(responder)
        unreported_ends, self.unreported_ends = self.unreported_ends, []
        for end_arguments in unreported_ends:
            responder.end(*end_arguments)

    def _finish_task(self, uid: int, outcome: int) -> None:
        order = self.tasks.pop(uid)[0]
        self._release_resources(order)
        self.record_end(uid, outcome)
        self.ended_by_key[order.key] = uid, outcome
        self.oracle.ended_us[order.key] = self.loop.now

    def _release_resources(self, order: ReceivedMessage) -> None:
        cores, memory = TASK_SIZES[order.task_class]
        self.used = [max(0.0, self.used[0] - cores), max(0.0, self.used[1] - memory)]

    def restart(self, form: str) -> None:
        """Crash, and start again at the same address with an empty state, perhaps in another wire form."""
        self.crash()
        self.forget_tasks()
        self.form = form
        self.loop.call_later(60_000, self.listen)

    def forget_tasks(self) -> None:
        """Discard all tasks, as at a crash of the process."""
        for uid in list(self.tasks):
            self._finish_task(uid, pb.RESET)
        self.epoch += 1
        self.starting.clear()
        self.unreported_ends.clear()
        self.running_by_key.clear()
        self.ended_by_key.clear()
        self.used = [0.0, 0.0]


class ClientPopulation:
    """Clients that send requests on several connections, and retry what is refused or unanswered.

    Requests use one wire form; ``resubmit`` sends the ledger batches again in another one. ``clients``: by wire form
    and connection number; ``tasks``: state by idempotency key; ``outcomes``: number of tasks by outcome.
    """

    def __init__(
        self,
        loop: Loop,
        addresses: dict[str, tuple[str, int]],
        wire_format: str,
        oracle: Oracle,
        rng: random.Random,
    ) -> None:
        self.loop, self.addresses, self.wire_format, self.oracle, self.rng = (
            loop,
            addresses,
            wire_format,
            oracle,
            rng,
        )
        self.next_uid = 1 << 32
        self.clients: dict[tuple[str, int], FakeClient] = {}
        self.connections = self.refused_connections = 0  # number so far
        self.bytes = self.messages = 0  # in both directions, of JSON lines only
        self.placed: set[int] = set()  # request ids, shared by all connections: a release may arrive on any
        self.starts = HdrHistogram(1, 60_000_000, 3)  # microseconds from a lookup's request to its binding
        self.outcomes: Counter[str] = Counter()
        self.tasks: dict[int, dict[str, Any]] = {}

    def client(self, wire_format: str, service: int) -> FakeClient:
        """Return the client for a service's connection; a closed one is replaced."""
        connection_key = wire_format, service % CONNECTIONS_PER_FORM
        client = self.clients.get(connection_key)
        if client is None or client.closed:
            client = self.clients[connection_key] = CLIENT_TYPES[wire_format](
                self.loop, self.addresses[wire_format]
            )
            client.on_closed = partial(self._on_close, connection_key)
            client.placed, client.acknowledges_releases, client.on_traffic = (
                self.placed,
                True,
                self._count_traffic,
            )
            self.connections += 1
            client.on_event = partial(self._handle_answer, self.connections)  # type: ignore[method-assign]
        return client

    def ask(self, key: int, task_class: str, hint: str | None, service: int) -> None:
        """Create a task with an idempotency key, and request it."""
        self.oracle.has_client_hint[key] = hint is not None
        self.tasks[key] = {
            "class": task_class,
            "hint": hint,
            "service": service,
            "wire_form": self.wire_format,
        }
        self.tasks[key] |= {"retry_until_us": self.loop.now + 9_000_000, "done": False, "uid": 0}
        self.send_request(key)

    def send_request(self, key: int) -> None:
        """Request a task under a new request id, unless it is done."""
        task = self.tasks[key]
        if task["done"]:
            return
        time_left_ms = 8_000 if task["class"] == LOOKUP else 10_000
        self.next_uid += 1
        uid = task["uid"] = self.next_uid
        deadline_us = self.loop.now + time_left_ms * 1000
        self.oracle.requests[uid] = ObservedRequest(
            uid, key, task["class"] == LEDGER, self.loop.now, deadline_us
        )
        client = self.client(task["wire_form"], task["service"])
        if client.stream is None:
            self.loop.spawn(self._send_when_connected(client, key, uid))
        else:
            self._send(client, key, uid)

    def _send_when_connected(self, client: Any, key: int, uid: int) -> Generator[Wait, int, None]:
        while client.stream is None and not client.closed:
            yield Wait(until=self.loop.now + 2_000)
        if not client.closed:
            self._send(client, key, uid)

    def _send(self, client: Any, key: int, uid: int) -> None:
        task = self.tasks[key]
        if not self.oracle.requests[uid].void:
            client.request_task(
                uid, key, task["class"], task["hint"], task["service"], TASK_SIZES[task["class"]]
            )

    def _handle_answer(self, connection: int, uid: int, answer: str, *_: Any) -> None:
        request = self.oracle.requests.get(uid)
        if request is None:
            self.oracle.unknown_answers += 1
            return
        if answer == "released":
            self.oracle.record_release(uid, connection)
            self._record_outcome(request.key, "placed")
            return
        self.oracle.record_answer(uid, answer, self.loop.now)
        task = self.tasks[request.key]
        if request.void or task["uid"] != uid:
            return
        if answer == "placed":
            if not request.at_most_once:
                self.starts.record_value(max(1, self.loop.now - request.sent_us))
            task["placed"] = True
        elif request.at_most_once and answer == "failed":
            self._record_outcome(request.key, "failed")  # it may have run, and is never requested again
        elif self.loop.now < task["retry_until_us"]:
            delay_us = self.rng.randrange(300_000, 1_200_000)
            self.loop.call_later(delay_us, lambda: self.send_request(request.key))
        else:
            self._record_outcome(request.key, answer)

    def _record_outcome(self, key: int, outcome: str) -> None:
        task = self.tasks[key]
        if not task["done"]:
            task["done"] = True
            self.outcomes[outcome] += 1

    def resubmit(self, fraction: float, within_us: int, include_ledger_batches: bool = True) -> int:
        """Cancel the tasks of a fraction of the services and request them again; returns the number of tasks.

        Lookups are requested within ``within_us``, ledger batches at once and in another wire form. Ledger batches
        that are placed go on; without ``include_ledger_batches`` all of them do.
        """
        services = sorted({task["service"] for task in self.tasks.values()})
        chosen_services = set(self.rng.sample(services, round(fraction * len(services))))
        count = 0
        for key, task in list(self.tasks.items()):
            if task["service"] not in chosen_services or task["done"]:
                continue
            is_ledger = task["class"] == LEDGER
            if is_ledger and (task.get("placed") or not include_ledger_batches):
                continue
            uid = task["uid"]
            request = self.oracle.requests[uid]
            request.void = True
            client = self.clients.get((task["wire_form"], task["service"] % CONNECTIONS_PER_FORM))
            if client is not None and client.stream is not None and client.stream.open:
                client.cancel(uid)
            if is_ledger:
                task["wire_form"] = JSON if task["wire_form"] != JSON else GRPC2
            task["retry_until_us"] = self.loop.now + 9_000_000
            task["placed"] = False
            count += 1
            delay_us = 0 if is_ledger else self.rng.randrange(within_us)
            self.loop.call_later(delay_us, lambda key=key: self.send_request(key))  # type: ignore[misc]
        return count

    def _count_traffic(self, size: int, lines: int) -> None:
        self.bytes += size
        self.messages += lines

    def _on_close(self, connection_key: tuple[str, int], connected: bool) -> None:
        """Request again what was unanswered on a connection that the dispatcher closed or refused."""
        if not connected:
            self.refused_connections += 1
        for key, task in list(self.tasks.items()):
            request = self.oracle.requests.get(task["uid"])
            is_on_connection = (task["wire_form"], task["service"] % CONNECTIONS_PER_FORM) == connection_key
            if (
                is_on_connection
                and request is not None
                and not (task["done"] or request.answers or request.void)
            ):
                request.void = True
                self.loop.call_later(2_000, lambda key=key: self.send_request(key))  # type: ignore[misc]

    def drop_connection(self) -> None:
        """Close a connection, and request its unanswered tasks again on a new one; placed tasks go on."""
        connection = self.rng.randrange(CONNECTIONS_PER_FORM)
        client = self.clients.get((self.wire_format, connection))
        if client is None or client.stream is None or not client.stream.open:
            return
        client.stream.close()
        client.closed = True
        for key, task in self.tasks.items():
            request = self.oracle.requests.get(task["uid"])
            is_on_connection = (
                task["wire_form"] == self.wire_format and task["service"] % CONNECTIONS_PER_FORM == connection
            )
            if is_on_connection and request is not None and not task["done"] and not request.answers:
                request.void = True
                self.loop.call_later(50_000, lambda key=key: self.send_request(key))  # type: ignore[misc]

    def finish(self) -> None:
        """Record the outcome of all remaining tasks: ``placed``, or ``none`` without a final answer."""
        for key, task in self.tasks.items():
            if not task["done"]:
                self._record_outcome(key, "placed" if task.get("placed") else "none")
