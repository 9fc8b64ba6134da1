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
CORES = {LOOKUP: (1.0, 2.0), LEDGER: (6.0, 14.0)}  # cores and memory that a task of each class asks for
CONNECTIONS = 4  # of the clients, in each form
NODE_CORES, NODE_MEMORY, OVER_CORES, OVER_MEMORY = 27.0, 43.0, 4.0, 2.0


class LoadNode(FakeNode):
    """A node with a size, which takes time to start tasks, and ends them; faults come by calls."""

    def __init__(
        self, loop: Loop, form: str, truth: Oracle, rng: random.Random, address: tuple[str, int] = (HOST, 0)
    ) -> None:
        super().__init__(loop, form, address)
        self.truth, self.rng = truth, rng
        self.silent_until = 0
        self.mishap = 0.0  # share of ledger-batch starts whose binding is cut midway
        self.refuses = 0.02
        self.life_us = 3_000_000  # of a task, on average
        self.tasks: dict[int, tuple[ReceivedOrder, Any]] = {}  # running, by id
        self.starting: dict[int, tuple[ReceivedOrder, Any]] = {}
        self.taken = [0.0, 0.0]
        self.unsaid: list[tuple[int, int, int]] = []  # ends since the last connection came
        self.epoch = 0  # a restart: what was begun before is gone

    def order(self, order: ReceivedOrder, say: Any) -> None:
        """Take an offer, a release or a question."""
        if self.loop.now < self.silent_until:
            self.loop.at(self.silent_until, lambda: self.order(order, say))  # it hangs, and goes on later
            return
        match order.kind:
            case "question":
                self.answer(order, say)
            case "release":
                if order.uid in self.tasks:
                    self._over(order.uid, pb.CANCELLED)
                    say.end(order.uid, 31, pb.CANCELLED)
                else:
                    self.starting.pop(order.uid, None)
            case "offer":
                self._offer(order, say)

    def _offer(self, order: ReceivedOrder, say: Any) -> None:
        cores, memory = CORES[order.task_class]
        if order.hint_ms is not None and not order.assumed and not self.truth.own_hints.get(order.key, True):
            self.truth.silent_hints += 1
        self._figures(say)
        needs_hint = pb2.HINT in self.manners.requires and order.hint_ms is None
        if needs_hint and self.form == GRPC2:
            say.end(order.uid, 34, pb.FULL, "unfit", pb2.HINT_NEEDED, "no hint")
        elif (
            self.taken[0] + cores > NODE_CORES * OVER_CORES
            or self.taken[1] + memory > NODE_MEMORY * OVER_MEMORY
        ):
            say.end(order.uid, 34, pb.FULL, "lack_ram", pb.NO_MEMORY)
        elif self.rng.random() < self.refuses:
            say.end(order.uid, 34, pb.FULL, "backlog", pb.BACKLOG)
        else:
            self.starting[order.uid] = order, say
            self.taken = [self.taken[0] + cores, self.taken[1] + memory]
            epoch = self.epoch
            self.loop.after(self.rng.randrange(5_000, 30_000), lambda: self._begin(order, epoch))

    def _figures(self, say: Any) -> None:
        free = NODE_CORES - self.taken[0], NODE_MEMORY - self.taken[1]
        say.load = {"x0": free[0], "x1": free[1]}
        say.report = b"x0:%.1f;x1:%.1f" % free

    def _begin(self, order: ReceivedOrder, epoch: int) -> None:
        if epoch != self.epoch:
            return
        if self.loop.now < self.silent_until:
            self.loop.at(self.silent_until, lambda: self._begin(order, epoch))
            return
        found = self.starting.pop(order.uid, None)
        if found is None:
            self._give_back(order)  # given up before it ran
            return
        say, ledger = found[1], order.task_class == LEDGER
        if ledger:
            self.truth.starts[order.key] += 1
        self.tasks[order.uid] = found
        self.runs[order.key] = order.uid
        if ledger and self.rng.random() < self.mishap:
            say.cut(order.uid)
            self.went(say)
            if isinstance(say, BinaryResponder):
                say.stream.flush()
        else:
            say.bind(order.uid)
        self.loop.after(
            int(self.rng.expovariate(1 / self.life_us)) + 100_000, lambda: self._end(order, epoch)
        )

    def _end(self, order: ReceivedOrder, epoch: int) -> None:
        if epoch != self.epoch or order.uid not in self.tasks:
            return
        if self.loop.now < self.silent_until:
            self.loop.at(self.silent_until, lambda: self._end(order, epoch))
            return
        say = self.tasks[order.uid][1]
        self._over(order.uid, pb.ENDED)
        # What concerns a standing task goes on the connection of its set-up, else on any, and on the next as well.
        self.unsaid.append((order.uid, 16, pb.ENDED))
        if say not in self.voices:
            if not self.voices:
                return
            say = self.voices[-1]
        self._figures(say)
        say.end(order.uid, 16, pb.ENDED)

    def break_streams(self) -> None:
        """Reset all connections."""
        super().break_streams()
        self.voices.clear()

    def came(self, say: Any) -> None:
        """A connection is open: ends since the last one opened are told on it, too."""
        super().came(say)
        unsaid, self.unsaid = self.unsaid, []
        for one in unsaid:
            say.end(*one)

    def _over(self, uid: int, outcome: int) -> None:
        order = self.tasks.pop(uid)[0]
        self._give_back(order)
        self.over(uid, outcome)
        self.ran[order.key] = uid, outcome
        self.truth.over[order.key] = self.loop.now

    def _give_back(self, order: ReceivedOrder) -> None:
        cores, memory = CORES[order.task_class]
        self.taken = [max(0.0, self.taken[0] - cores), max(0.0, self.taken[1] - memory)]

    def restart(self, form: str) -> None:
        """The process dies, and another comes up at the same address, which may speak another form."""
        self.die()
        self.cut()
        self.form = form
        self.loop.after(60_000, self.rise)

    def cut(self) -> None:
        """All that it knew is gone with its process."""
        for uid in list(self.tasks):
            self._over(uid, pb.RESET)
        self.epoch += 1
        self.starting.clear()
        self.unsaid.clear()
        self.runs.clear()
        self.ran.clear()
        self.taken = [0.0, 0.0]


class ClientPopulation:
    """The clients of the counties: set-ups by one front on several connections, some repeats by another front."""

    def __init__(
        self, loop: Loop, fronts: dict[str, tuple[str, int]], front: str, truth: Oracle, rng: random.Random
    ) -> None:
        self.loop, self.fronts, self.front, self.truth, self.rng = loop, fronts, front, truth, rng
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
        name = front, service % CONNECTIONS
        found = self.clients.get(name)
        if found is None or found.closed:
            found = self.clients[name] = CLIENT_TYPES[front](self.loop, self.fronts[front])
            found.on_closed = partial(self._closed, name)
            found.placed, found.hears, found.on_traffic = self.placed, True, self._passed
            self.connections += 1
            found.hear = partial(self._hear, self.connections)  # type: ignore[method-assign]
        return found

    def ask(self, key: int, task_class: str, hint: str | None, service: int) -> None:
        """A new task."""
        self.truth.own_hints[key] = hint is not None
        self.tasks[key] = {"class": task_class, "hint": hint, "service": service, "front": self.front}
        self.tasks[key] |= {"until": self.loop.now + 9_000_000, "done": False, "uid": 0}
        self.try_now(key)

    def try_now(self, key: int) -> None:
        """A set-up under a new id."""
        task = self.tasks[key]
        if task["done"]:
            return
        left = 8_000 if task["class"] == LOOKUP else 10_000
        self.next_uid += 1
        uid = task["uid"] = self.next_uid
        deadline = self.loop.now + left * 1000
        self.truth.asked[uid] = ObservedRequest(uid, key, task["class"] == LEDGER, self.loop.now, deadline)
        client = self.client(task["front"], task["service"])
        if client.stream is None:
            self.loop.spawn(self._when_up(client, key, uid))
        else:
            self._send(client, key, uid)

    def _when_up(self, client: Any, key: int, uid: int) -> Generator[Wait, int, None]:
        while client.stream is None and not client.closed:
            yield Wait(until=self.loop.now + 2_000)
        if not client.closed:
            self._send(client, key, uid)

    def _send(self, client: Any, key: int, uid: int) -> None:
        task = self.tasks[key]
        if not self.truth.asked[uid].void:
            client.ask_for(uid, key, task["class"], task["hint"], task["service"], CORES[task["class"]])

    def _hear(self, connection: int, uid: int, word: str, *_: Any) -> None:
        asked = self.truth.asked.get(uid)
        if asked is None:
            self.truth.unknown += 1
            return
        if word == "released":
            self.truth.released(uid, connection)
            self._final(asked.key, "placed")
            return
        self.truth.final(uid, word, self.loop.now)
        task = self.tasks[asked.key]
        if asked.void or task["uid"] != uid:
            return
        if word == "placed":
            if not asked.ledger:
                self.starts.record_value(max(1, self.loop.now - asked.sent_us))
            task["placed"] = True
        elif asked.ledger and word == "failed":
            self._final(asked.key, "failed")  # it may have run: it is never asked for again
        elif self.loop.now < task["until"]:
            wait = self.rng.randrange(300_000, 1_200_000)
            self.loop.after(wait, lambda: self.try_now(asked.key))
        else:
            self._final(asked.key, word)

    def _final(self, key: int, outcome: str) -> None:
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
            asked = self.truth.asked[uid]
            asked.void = True
            client = self.clients.get((task["front"], task["service"] % CONNECTIONS))
            if client is not None and client.stream is not None and client.stream.open:
                client.give_up(uid)
            if ledger:
                task["front"] = JSON if task["front"] != JSON else GRPC2
            task["until"] = self.loop.now + 9_000_000
            task["placed"] = False
            count += 1
            delay = 0 if ledger else self.rng.randrange(within_us)
            self.loop.after(delay, lambda key=key: self.try_now(key))  # type: ignore[misc]
        return count

    def _passed(self, size: int, lines: int) -> None:
        self.bytes += size
        self.messages += lines

    def _closed(self, name: tuple[str, int], connected: bool) -> None:
        """A connection that the dispatcher closed: what is unanswered is sent again, once, on a new one."""
        if not connected:
            self.refused_connections += 1
        for key, task in list(self.tasks.items()):
            asked = self.truth.asked.get(task["uid"])
            mine = (task["front"], task["service"] % CONNECTIONS) == name
            if mine and asked is not None and not (task["done"] or asked.answers or asked.void):
                asked.void = True
                self.loop.after(2_000, lambda key=key: self.try_now(key))  # type: ignore[misc]

    def drop_connection(self) -> None:
        """Close a connection: what is open on it is asked for again on another, what stands goes on."""
        number = self.rng.randrange(CONNECTIONS)
        client = self.clients.get((self.front, number))
        if client is None or client.stream is None or not client.stream.open:
            return
        client.stream.close()
        client.closed = True
        for key, task in self.tasks.items():
            asked = self.truth.asked.get(task["uid"])
            mine = task["front"] == self.front and task["service"] % CONNECTIONS == number
            if mine and asked is not None and not task["done"] and not asked.answers:
                asked.void = True
                self.loop.after(50_000, lambda key=key: self.try_now(key))  # type: ignore[misc]

    def finish(self) -> None:
        """The run is over: what stands has been placed, what is open has no outcome yet."""
        for key, task in self.tasks.items():
            if not task["done"]:
                self._final(key, "placed" if task.get("placed") else "none")
