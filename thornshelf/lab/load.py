"""Stand-ins under load: nodes with room, lives and faults, and county clients that ask, lose heart and ask again."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Generator
from functools import partial
from typing import Any

from hdrh.histogram import HdrHistogram

from thornshelf.lab.fakes.behavior import GRPC2, HOST, JSON
from thornshelf.lab.fakes.clients import CLIENT_TYPES, FakeClient
from thornshelf.lab.fakes.nodes import BinaryResponder, FakeNode, ReceivedOrder
from thornshelf.lab.oracle import ObservedRequest, Oracle
from thornshelf.loop import Loop, Wait
from thornshelf.wire import placement_pb2 as pb
from thornshelf.wire import placement_v2_pb2 as pb2

LEDGER, LOOKUP = "ledger-batch", "lookup"
TASK_SIZES = {LOOKUP: (1.0, 2.0), LEDGER: (6.0, 14.0)}  # cores and memory that a task of each class asks for
CONNECTIONS_PER_FORM = 4  # of the clients, in each form
NODE_CORES, NODE_MEMORY, CORES_OVERCOMMIT, MEMORY_OVERCOMMIT = 27.0, 43.0, 4.0, 2.0


class LoadNode(FakeNode):
    """A node with a size, which takes time to start tasks, and ends them; faults come by calls."""

    def __init__(
        self, loop: Loop, form: str, oracle: Oracle, rng: random.Random, address: tuple[str, int] = (HOST, 0)
    ) -> None:
        super().__init__(loop, form, address)
        self.oracle, self.random = oracle, rng
        self.unresponsive_until_us = 0
        self.cut_binding_fraction = 0.0  # share of ledger-batch starts whose binding is cut midway
        self.rejected_fraction = 0.02
        self.mean_lifetime_us = 3_000_000  # of a task, on average
        self.tasks: dict[int, tuple[ReceivedOrder, Any]] = {}  # running, by id
        self.starting: dict[int, tuple[ReceivedOrder, Any]] = {}
        self.used = [0.0, 0.0]
        self.unreported_ends: list[tuple[int, int, int]] = []  # ends since the last connection came
        self.epoch = 0  # a restart: what was begun before is gone

    def order(self, order: ReceivedOrder, say: Any) -> None:
        """Take an offer, a release or a question."""
        if self.loop.now < self.unresponsive_until_us:
            self.loop.at(
                self.unresponsive_until_us, lambda: self.order(order, say)
            )  # it hangs, and goes on later
            return
        match order.kind:
            case "question":
                self.answer(order, say)
            case "release":
                if order.uid in self.tasks:
                    self._finish_task(order.uid, pb.CANCELLED)
                    say.end(order.uid, 31, pb.CANCELLED)
                else:
                    self.starting.pop(order.uid, None)
            case "offer":
                self._handle_offer(order, say)

    def _handle_offer(self, order: ReceivedOrder, say: Any) -> None:
        cores, memory = TASK_SIZES[order.task_class]
        if (
            order.hint_ms is not None
            and not order.assumed
            and not self.oracle.has_client_hint.get(order.key, True)
        ):
            self.oracle.unmarked_hints += 1
        self._update_load_report(say)
        needs_hint = pb2.HINT in self.manners.requires and order.hint_ms is None
        if needs_hint and self.form == GRPC2:
            say.end(order.uid, 34, pb.FULL, "unfit", pb2.HINT_NEEDED, "no hint")
        elif (
            self.used[0] + cores > NODE_CORES * CORES_OVERCOMMIT
            or self.used[1] + memory > NODE_MEMORY * MEMORY_OVERCOMMIT
        ):
            say.end(order.uid, 34, pb.FULL, "lack_ram", pb.NO_MEMORY)
        elif self.random.random() < self.rejected_fraction:
            say.end(order.uid, 34, pb.FULL, "backlog", pb.BACKLOG)
        else:
            self.starting[order.uid] = order, say
            self.used = [self.used[0] + cores, self.used[1] + memory]
            epoch = self.epoch
            self.loop.after(self.random.randrange(5_000, 30_000), lambda: self._start_task(order, epoch))

    def _update_load_report(self, say: Any) -> None:
        free = NODE_CORES - self.used[0], NODE_MEMORY - self.used[1]
        say.load = {"x0": free[0], "x1": free[1]}
        say.report = b"x0:%.1f;x1:%.1f" % free

    def _start_task(self, order: ReceivedOrder, epoch: int) -> None:
        if epoch != self.epoch:
            return
        if self.loop.now < self.unresponsive_until_us:
            self.loop.at(self.unresponsive_until_us, lambda: self._start_task(order, epoch))
            return
        found = self.starting.pop(order.uid, None)
        if found is None:
            self._release_resources(order)  # given up before it ran
            return
        say, ledger = found[1], order.task_class == LEDGER
        if ledger:
            self.oracle.starts[order.key] += 1
        self.tasks[order.uid] = found
        self.runs[order.key] = order.uid
        if ledger and self.random.random() < self.cut_binding_fraction:
            say.cut(order.uid)
            self.went(say)
            if isinstance(say, BinaryResponder):
                say.stream.flush()
        else:
            say.bind(order.uid)
        self.loop.after(
            int(self.random.expovariate(1 / self.mean_lifetime_us)) + 100_000,
            lambda: self._end_task(order, epoch),
        )

    def _end_task(self, order: ReceivedOrder, epoch: int) -> None:
        if epoch != self.epoch or order.uid not in self.tasks:
            return
        if self.loop.now < self.unresponsive_until_us:
            self.loop.at(self.unresponsive_until_us, lambda: self._end_task(order, epoch))
            return
        say = self.tasks[order.uid][1]
        self._finish_task(order.uid, pb.ENDED)
        # What concerns a standing task goes on the connection of its set-up, else on any, and on the next as well.
        self.unreported_ends.append((order.uid, 16, pb.ENDED))
        if say not in self.voices:
            if not self.voices:
                return
            say = self.voices[-1]
        self._update_load_report(say)
        say.end(order.uid, 16, pb.ENDED)

    def break_streams(self) -> None:
        """Reset all connections."""
        super().break_streams()
        self.voices.clear()

    def came(self, say: Any) -> None:
        """A connection is open: ends since the last one opened are told on it, too."""
        super().came(say)
        unsaid, self.unreported_ends = self.unreported_ends, []
        for one in unsaid:
            say.end(*one)

    def _finish_task(self, uid: int, outcome: int) -> None:
        order = self.tasks.pop(uid)[0]
        self._release_resources(order)
        self.over(uid, outcome)
        self.ran[order.key] = uid, outcome
        self.oracle.over[order.key] = self.loop.now

    def _release_resources(self, order: ReceivedOrder) -> None:
        cores, memory = TASK_SIZES[order.task_class]
        self.used = [max(0.0, self.used[0] - cores), max(0.0, self.used[1] - memory)]

    def restart(self, form: str) -> None:
        """The process dies, and another comes up at the same address, which may speak another form."""
        self.die()
        self.forget_tasks()
        self.form = form
        self.loop.after(60_000, self.rise)

    def forget_tasks(self) -> None:
        """All that it knew is gone with its process."""
        for uid in list(self.tasks):
            self._finish_task(uid, pb.RESET)
        self.epoch += 1
        self.starting.clear()
        self.unreported_ends.clear()
        self.runs.clear()
        self.ran.clear()
        self.used = [0.0, 0.0]


class ClientPopulation:
    """The clients of the counties: set-ups by one front on several connections, some repeats by another front."""

    def __init__(
        self,
        loop: Loop,
        addresses: dict[str, tuple[str, int]],
        wire_form: str,
        oracle: Oracle,
        rng: random.Random,
    ) -> None:
        self.loop, self.addresses, self.wire_form, self.oracle, self.rng = (
            loop,
            addresses,
            wire_form,
            oracle,
            rng,
        )
        self.next_uid = 1 << 32
        self.clients: dict[tuple[str, int], FakeClient] = {}
        self.connections = self.refused_connections = 0  # made so far
        self.bytes = self.messages = 0  # passed in both directions, as JSON lines
        self.placed: set[int] = set()  # known on all connections: a release may come on any
        self.starts = HdrHistogram(1, 60_000_000, 3)  # microseconds from a set-up to its binding, lookups
        self.outcomes: Counter[str] = Counter()  # of tasks, by key
        self.tasks: dict[int, dict[str, Any]] = {}  # by key

    def client(self, front: str, service: int) -> FakeClient:
        """An open connection in some form, made anew where it was closed."""
        name = front, service % CONNECTIONS_PER_FORM
        found = self.clients.get(name)
        if found is None or found.closed:
            found = self.clients[name] = CLIENT_TYPES[front](self.loop, self.addresses[front])
            found.on_closed = partial(self._on_close, name)
            found.placed, found.hears, found.on_traffic = self.placed, True, self._count_traffic
            self.connections += 1
            found.hear = partial(self._handle_answer, self.connections)  # type: ignore[method-assign]
        return found

    def ask(self, key: int, task_class: str, hint: str | None, service: int) -> None:
        """A new task."""
        self.oracle.has_client_hint[key] = hint is not None
        self.tasks[key] = {"class": task_class, "hint": hint, "service": service, "front": self.wire_form}
        self.tasks[key] |= {"until": self.loop.now + 9_000_000, "done": False, "uid": 0}
        self.send_request(key)

    def send_request(self, key: int) -> None:
        """A set-up under a new id."""
        task = self.tasks[key]
        if task["done"]:
            return
        left = 8_000 if task["class"] == LOOKUP else 10_000
        self.next_uid += 1
        uid = task["uid"] = self.next_uid
        deadline = self.loop.now + left * 1000
        self.oracle.asked[uid] = ObservedRequest(uid, key, task["class"] == LEDGER, self.loop.now, deadline)
        client = self.client(task["front"], task["service"])
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
        if not self.oracle.asked[uid].void:
            client.ask_for(uid, key, task["class"], task["hint"], task["service"], TASK_SIZES[task["class"]])

    def _handle_answer(self, connection: int, uid: int, word: str, *_: Any) -> None:
        asked = self.oracle.asked.get(uid)
        if asked is None:
            self.oracle.unknown_answers += 1
            return
        if word == "released":
            self.oracle.record_release(uid, connection)
            self._record_outcome(asked.key, "placed")
            return
        self.oracle.record_answer(uid, word, self.loop.now)
        task = self.tasks[asked.key]
        if asked.void or task["uid"] != uid:
            return
        if word == "placed":
            if not asked.at_most_once:
                self.starts.record_value(max(1, self.loop.now - asked.sent_us))
            task["placed"] = True
        elif asked.at_most_once and word == "failed":
            self._record_outcome(asked.key, "failed")  # it may have run: it is never asked for again
        elif self.loop.now < task["until"]:
            wait = self.rng.randrange(300_000, 1_200_000)
            self.loop.after(wait, lambda: self.send_request(asked.key))
        else:
            self._record_outcome(asked.key, word)

    def _record_outcome(self, key: int, outcome: str) -> None:
        task = self.tasks[key]
        if not task["done"]:
            task["done"] = True
            self.outcomes[outcome] += 1

    def resubmit(self, share: float, within_us: int, ledgers: bool = True) -> int:
        """Stop a share of the services and ask for all their tasks again, ledger batches by another front, or not."""
        services = sorted({task["service"] for task in self.tasks.values()})
        chosen = set(self.rng.sample(services, round(share * len(services))))
        count = 0
        for key, task in list(self.tasks.items()):
            if task["service"] not in chosen or task["done"]:
                continue
            ledger = task["class"] == LEDGER
            if ledger and (task.get("placed") or not ledgers):
                continue  # it stands, or may: its owner lets it run
            uid = task["uid"]
            asked = self.oracle.asked[uid]
            asked.void = True
            client = self.clients.get((task["front"], task["service"] % CONNECTIONS_PER_FORM))
            if client is not None and client.stream is not None and client.stream.open:
                client.give_up(uid)
            if ledger:
                task["front"] = JSON if task["front"] != JSON else GRPC2
            task["until"] = self.loop.now + 9_000_000
            task["placed"] = False
            count += 1
            delay = 0 if ledger else self.rng.randrange(within_us)
            self.loop.after(delay, lambda key=key: self.send_request(key))  # type: ignore[misc]
        return count

    def _count_traffic(self, size: int, lines: int) -> None:
        self.bytes += size
        self.messages += lines

    def _on_close(self, name: tuple[str, int], connected: bool) -> None:
        """A connection that the dispatcher closed: what is unanswered is sent again, once, on a new one."""
        if not connected:
            self.refused_connections += 1
        for key, task in list(self.tasks.items()):
            asked = self.oracle.asked.get(task["uid"])
            mine = (task["front"], task["service"] % CONNECTIONS_PER_FORM) == name
            if mine and asked is not None and not (task["done"] or asked.answers or asked.void):
                asked.void = True
                self.loop.after(2_000, lambda key=key: self.send_request(key))  # type: ignore[misc]

    def drop_connection(self) -> None:
        """Close a connection: what is open on it is asked for again on another, what stands goes on."""
        number = self.rng.randrange(CONNECTIONS_PER_FORM)
        client = self.clients.get((self.wire_form, number))
        if client is None or client.stream is None or not client.stream.open:
            return
        client.stream.close()
        client.closed = True
        for key, task in self.tasks.items():
            asked = self.oracle.asked.get(task["uid"])
            mine = task["front"] == self.wire_form and task["service"] % CONNECTIONS_PER_FORM == number
            if mine and asked is not None and not task["done"] and not asked.answers:
                asked.void = True
                self.loop.after(50_000, lambda key=key: self.send_request(key))  # type: ignore[misc]

    def finish(self) -> None:
        """The run is over: what stands has been placed, what is open has no outcome yet."""
        for key, task in self.tasks.items():
            if not task["done"]:
                self._record_outcome(key, "placed" if task.get("placed") else "none")
