"""The core: one final answer for each task, one attempt in flight, releases for what has stood.

Socket code only puts items into ``inbox``. ``turn`` drains it into one call of the decision module and
carries out the actions. Nothing else touches the module.
"""

from __future__ import annotations

import enum
import traceback
import zlib
from collections import deque
from collections.abc import Callable
from typing import Any

from glenshift import interface as api
from glenshift.brain import Placer
from glenshift.interface import Health, Outcome, Reason
from thornshelf.core.model import (
    Attempt,
    Finished,
    GiveUp,
    Item,
    ListChange,
    Node,
    NodeEntry,
    NodeLost,
    Noted,
    Owner,
    OwnerCame,
    OwnerGone,
    Probed,
    SetUp,
    Started,
)
from thornshelf.loop import Loop, Timer

EPOCH_S = 1000.0  # the module's clock at our start: it takes times up to 0 for 'long ago'
RELEASE_ANY_US = 300_000  # a release waits so long for its own client before any open connection will do
OWED_US = 60_000_000  # and is kept no longer than this where no client comes
ENDING_US = 2_000_000  # a node that was told to end a task and says nothing is not waited for longer
MOST_DEADLINES = 2  # of its class: no set-up is waited for longer
UNLISTED_US = 2_000_000  # a task said to stand on a node that no list names is given so long

LogCall = Callable[[int, str, dict[str, object], str], None]


class State(enum.Enum):
    """Where a task is; one that is ANSWERED may still have an attempt out."""

    OPEN = 0
    STANDING = 1
    ENDING = 2  # told to end by its owner or by MOVE: no release is owed
    ANSWERED = 3


class TaskRecord:
    """One task of this dispatcher."""

    __slots__ = ("attempt", "count", "machine", "number", "owner", "setup", "standing_us", "state", "timer")

    def __init__(self, setup: SetUp, number: int) -> None:
        self.setup, self.number = setup, number  # number: the module's name for it
        self.owner: Owner | None = setup.owner
        self.state = State.OPEN
        self.attempt: Attempt | None = None  # the one in flight
        self.count = 0  # attempts made
        self.machine = 0
        self.standing_us = 0
        self.timer: Timer | None = None


class Dispatcher:
    """Owns the module and all tasks; embed it with fronts and a way to make nodes."""

    def __init__(
        self,
        loop: Loop,
        settings: api.Settings,
        seed: int,
        make_node: Callable[[int, NodeEntry, Dispatcher], Node],
        log: LogCall,
    ) -> None:
        self.loop, self.settings, self.log = loop, settings, log
        self.placer = Placer(settings, seed)
        self.inbox: deque[Item] = deque()
        self.classes = {one.name: one for one in settings.classes}
        self.counts = {"taken": 0, "answered": 0, "refused": 0, "failed": 0, "released": 0, "given_up": 0}
        self._make_node = make_node
        self._start_us = loop.now
        self._tasks: dict[int, TaskRecord] = {}  # by uid
        self._numbers: dict[int, TaskRecord] = {}  # by the module's number
        self._last_number = 0
        self._nodes: dict[int, Node] = {}
        self._entries: dict[int, NodeEntry] = {}
        self._machines: dict[str, int] = {}  # by the node's name
        self._owners: dict[Owner, set[int]] = {}  # their open set-ups
        self._served: dict[Owner, None] = {}  # those that a task was placed for, the latest last
        self._known: dict[Owner, None] = {}  # those that asked for one, likewise
        self._tenants = {one.name for one in settings.tenants}
        self._owed: deque[tuple[int, str, int, Outcome, Reason]] = (
            deque()
        )  # releases that found no connection
        self._events: list[api.Event] = []
        self.open_count = 0
        loop.on_turn.append(self.turn)

    # the clock's edge

    def seconds(self, at_us: int) -> float:
        """The module's clock."""
        return (at_us - self._start_us) / 1e6 + EPOCH_S

    def _micros(self, at_s: float) -> int:
        return int((at_s - EPOCH_S) * 1e6) + self._start_us + 1

    # one turn

    def turn(self) -> bool:
        """Drain the inbox into one call of the module; true where that left more to be done."""
        while self.inbox:
            item = self.inbox.popleft()
            match item:
                case SetUp():
                    self._set_up(item)
                case Started():
                    self._started(item)
                case Finished():
                    self._finished(item)
                case Noted():
                    self._noted(item)
                case GiveUp():
                    self._give_up(item.uid)
                case OwnerCame():
                    self._owners.setdefault(item.owner, set())
                    self._pay()
                case OwnerGone():
                    self._owner_gone(item)
                case Probed():
                    lag = item.lag_us / 1e6
                    self._events.append(api.ProbeAnswer(item.machine, item.outcome, lag, item.report))
                case NodeLost():
                    self._node_lost(item.machine)
                case ListChange():
                    self._list(item)
        if self._events:
            events, self._events = self._events, []
            for action in self._decide(events):
                self._act(action)
        return bool(self.inbox or self._events)

    def _decide(self, events: list[api.Event]) -> list[api.Action]:
        """The module's word. A fault in it must cost neither the process nor the other tasks.

        A task that gets no answer for it is failed by ``_overdue``.
        """
        try:
            return self.placer.handle(self.seconds(self.loop.now), events)
        except Exception as fault:
            text = "".join(traceback.format_exception(fault)).replace("\n", " | ")
            self.log(3, "module-fault", {"type": type(fault).__name__}, text)
            return self.placer.out

    # owners

    def unusable(self, task_class: str, tenant: str | None) -> str | None:
        """What a set-up names that the settings don't; a table of the module would keep it for good."""
        if task_class not in self.classes:
            return f"class is not known: {task_class!r:.40}"
        if tenant is not None and self._tenants and tenant not in self._tenants:
            return f"tenant is not known: {tenant!r:.40}"
        return None

    def _set_up(self, item: SetUp) -> None:
        most = self.settings.limits.open_requests
        if item.at is None and 0 < most <= self.open_count:
            item.owner.refuse(item.uid, None)
            return
        if item.uid in self._tasks:
            # Guards against a second answer: what is held under this id keeps its one answer.
            known = self._tasks[item.uid]
            if item.at is not None and known.state is State.STANDING:
                known.owner = item.owner
                return
            self.log(4, "duplicate", {"uid": f"{item.uid:016x}"}, "set-up with an id that is in use")
            if known.owner is item.owner:
                item.owner.reject(item.uid)
            else:
                item.owner.fail(item.uid)
            return
        # What is kept for a task must go again: nobody waits far beyond the class's own deadline.
        longest = int(MOST_DEADLINES * self.classes[item.task_class].deadline_s * 1e6)
        item.deadline_us = min(item.deadline_us, self.loop.now + longest)
        self._last_number += 1
        task = TaskRecord(item, self._last_number)
        self._tasks[item.uid] = self._numbers[task.number] = task
        ask = api.Ask(
            request=task.number,
            task_class=item.task_class,
            tenant=item.tenant,
            task=item.key,
            budget_s=max(0.0, (item.deadline_us - self.loop.now) / 1e6),
            life_hint_s=None if item.hint_us is None else item.hint_us / 1e6,
            service=item.service,
            cores=item.cores,
            memory=item.memory,
        )
        self._prove(item.owner, self._known)
        if item.at is not None:
            self._adopt(task, ask, item.at)
            return
        self.counts["taken"] += 1
        self.open_count += 1
        self._owners.setdefault(item.owner, set()).add(item.uid)
        self.loop.at(item.deadline_us, lambda: self._overdue(task))
        self._events.append(ask)

    def _overdue(self, task: TaskRecord) -> None:
        """The one final answer, should the module have given none by now."""
        if task.state is State.OPEN:
            self.log(3, "overdue", {"uid": f"{task.setup.uid:016x}"}, "no answer came from the module")
            self.counts["failed"] += 1
            if task.owner is not None:
                task.owner.fail(task.setup.uid)
            self._abandon(task)

    def _adopt(self, task: TaskRecord, ask: api.Ask, name: str) -> None:
        """A task that stands already: it wants no answer, but its release is owed."""
        machine = self._machine(name)
        task.machine, task.state, task.standing_us, task.count = machine, State.STANDING, self.loop.now, 1
        self._events.append(api.Adopted(ask, machine))
        if node := self._nodes.get(machine):
            node.hold(task.setup.uid)
        else:
            # The node may be named by an event of the list that is still on its way.
            uid = task.setup.uid
            self.loop.after(UNLISTED_US, lambda: self._check_listed(uid, machine))

    def _check_listed(self, uid: int, machine: int) -> None:
        if machine not in self._nodes:
            self.log(5, "unlisted", {"uid": f"{uid:016x}", "machine": machine}, "no list names its node")
            self._forget(machine)
            self.inbox.append(Finished(machine, uid, Outcome.BROKEN))

    def _give_up(self, uid: int) -> None:
        task = self._tasks.get(uid)
        if task is None or task.state in (State.ENDING, State.ANSWERED):
            return
        if task.state is State.OPEN:
            self.counts["given_up"] += 1
            self._abandon(task)
            return
        if task.owner is not None and task.owner.alive:
            # Owners may end a task on any connection; what is kept of it on its own must go, too.
            task.owner.forget(uid)
        self._end(task)

    def _abandon(self, task: TaskRecord) -> None:
        """No answer is owed any more; an attempt that is out is given up."""
        self._close(task)
        self._events.append(api.Abandoned(task.number))
        if (attempt := task.attempt) is not None:
            self._withdraw(task, attempt, Outcome.CANCELLED)
        self._drop(task)

    def _end(self, task: TaskRecord) -> None:
        """Cut a task that stands; its owner knows, so no release is owed."""
        task.state = State.ENDING
        uid, machine = task.setup.uid, task.machine
        if node := self._nodes.get(machine):
            node.cut(uid)
            task.timer = self.loop.after(
                ENDING_US, lambda: self.inbox.append(Finished(machine, uid, Outcome.CANCELLED))
            )
        else:
            self.inbox.append(Finished(machine, uid, Outcome.CANCELLED))

    def _owner_gone(self, item: OwnerGone) -> None:
        self._served.pop(item.owner, None)
        self._known.pop(item.owner, None)
        for uid in sorted(self._owners.pop(item.owner, ())):
            if (task := self._tasks.get(uid)) is not None and task.state is State.OPEN:
                self.counts["given_up"] += 1
                self._abandon(task)
        for uid, outcome, reason in item.unsent:
            self._release_owner(item.owner, uid, outcome, reason)

    def _release_owner(self, owner: Owner | None, uid: int, outcome: Outcome, reason: Reason) -> None:
        """Send a release on the task's own connection, else on another of that client, else keep it."""
        self.counts["released"] += 1
        peer = owner.peer if owner is not None else ""
        if owner is not None and owner in self._owners:
            owner.release(uid, outcome, reason)
            return
        # Standing tasks outlive connections: the release goes to another of the client's, or, as it is owed
        # within a second, soon to any that can be trusted with it.
        self._owed.append((self.loop.now, peer, uid, outcome, reason))
        while self._owed[0][0] < self.loop.now - OWED_US:
            self.log(
                4, "release-dropped", {"uid": f"{self._owed.popleft()[2]:016x}"}, "no client came for it"
            )
        self._pay()
        self.loop.after(RELEASE_ANY_US, self._pay)

    def _proven(self, peer: str, anyone: bool) -> Owner | None:
        """Whom to tell a release: one that a task was placed for lately, else one that has asked for any.

        Guards against strangers: bad clients open connections from the same hosts and ask for nothing of use,
        and what they are told is lost. One of the same host gets it only where there is nobody else.
        """
        tables: tuple[tuple[dict[Owner, Any], bool], ...] = ((self._served, False),)
        if anyone:
            tables = (self._served, True), (self._known, True), (self._owners, False)
        for table, any_peer in tables:
            for owner in reversed(table):
                if owner.lasting and (any_peer or owner.peer == peer):
                    return owner
        return None

    def _prove(self, owner: Owner, table: dict[Owner, None]) -> None:
        """An owner's set-up was taken, or placed: the latest is the last of its table."""
        if owner in self._owners and owner.lasting:
            table.pop(owner, None)
            table[owner] = None
            self._pay()

    def _pay(self) -> None:
        """Send the releases that waited for a connection."""
        for _ in range(len(self._owed)):
            at, peer, uid, outcome, reason = self._owed.popleft()
            owner = self._proven(peer, self.loop.now >= at + RELEASE_ANY_US)
            if owner is not None:
                owner.release(uid, outcome, reason)
            else:
                self._owed.append((at, peer, uid, outcome, reason))

    # nodes

    def _machine(self, name: str) -> int:
        """The module's number of a node: the hex digits of its name, as on the bench, else a checksum."""
        if (machine := self._machines.get(name)) is None:
            try:
                machine = int(name.rpartition("-")[2], 16) & 0xFFFFFFFF
            except ValueError:
                machine = zlib.crc32(name.encode())
            while machine in self._machines.values():
                machine = (machine + 1) & 0xFFFFFFFF
            self._machines[name] = machine
        return machine

    def _list(self, item: ListChange) -> None:
        entries = []
        named = set()
        for entry in item.entries:
            machine = self._machine(entry.name)
            named.add(machine)
            self._entry(machine, entry)
            started = 0.0 if entry.started_us is None else self.seconds(entry.started_us)
            entries.append(
                api.MachineEntry(
                    machine, entry.health, entry.kind, entry.zone, entry.cell, 0.0, 0.0, entry.weight, started
                )
            )
        if item.complete:
            for machine in sorted(self._nodes.keys() - named):
                self._gone(machine)
                self._forget(machine)
        self._events.append(api.MachineList(item.complete, item.version, tuple(entries)))

    def _entry(self, machine: int, entry: NodeEntry) -> None:
        """Keep the node's connection in step with the list."""
        old = self._entries.get(machine)
        self._entries[machine] = entry
        if entry.health is Health.GONE:
            self._gone(machine)
            self._forget(machine)
            return
        if old is not None and old.address != entry.address and machine in self._nodes:
            self._gone(machine)
        elif old is not None and entry.started_us is not None and machine in self._nodes:
            # A process that started anew under the same name holds nothing of what stood there before.
            self._lost_before(machine, entry.started_us)
        if machine not in self._nodes:
            self._nodes[machine] = self._make_node(machine, entry, self)
            for task in self._tasks.values():
                if task.machine == machine and task.state is State.STANDING:
                    self._nodes[machine].hold(task.setup.uid)
        if entry.health is Health.DRAINING:
            # Drains are measured to the first byte sent: what is still buffered must not go out.
            for attempt in self._nodes[machine].drain():
                self.inbox.append(Finished(machine, attempt.uid, Outcome.NOT_SENT))
        else:
            self._nodes[machine].resume()

    def _gone(self, machine: int) -> None:
        if (node := self._nodes.pop(machine, None)) is not None:
            node.close()
        self._node_lost(machine)

    def _forget(self, machine: int) -> None:
        """Nothing is kept of a node that no list names: on a long day they are replaced without end."""
        self._entries.pop(machine, None)
        for name in [name for name, number in self._machines.items() if number == machine]:
            del self._machines[name]

    def _node_lost(self, machine: int) -> None:
        self._lost_before(machine, self.loop.now + 1)

    def _lost_before(self, machine: int, before_us: int) -> None:
        """What stood or was out at a node before a time is over."""
        for task in list(self._tasks.values()):
            if task.attempt is not None and task.attempt.machine == machine:
                if task.attempt.sent_us < before_us:
                    self.inbox.append(Finished(machine, task.setup.uid, Outcome.BROKEN))
            elif task.attempt is None and task.machine == machine and task.standing_us < before_us:
                self.inbox.append(Finished(machine, task.setup.uid, Outcome.BROKEN))

    def _started(self, item: Started) -> None:
        task = self._tasks.get(item.uid)
        attempt = task.attempt if task is not None else None
        if task is None or attempt is None or attempt.machine != item.machine:
            self.log(6, "late-answer", {"uid": f"{item.uid:016x}"}, "answer for no attempt that is out")
            return
        self._disarm(task)
        task.attempt = None
        if task.state is not State.OPEN:
            return
        task.machine, task.standing_us, task.state = item.machine, self.loop.now, State.STANDING
        self._closed(task)
        lag = (self.loop.now - attempt.sent_us) / 1e6
        self._events.append(api.Placed(task.number, item.machine, attempt.number, lag))
        if task.owner is None or not task.owner.alive:
            # The connection closed in this very turn, which gives the set-up up: nobody would know of it.
            self._end(task)
            return
        self.counts["answered"] += 1
        task.owner.answer(item.uid, item.description)
        self._prove(task.owner, self._served)

    def _finished(self, item: Finished) -> None:
        task = self._tasks.get(item.uid)
        if task is None:
            return
        if (attempt := task.attempt) is not None:
            if attempt.machine == item.machine:
                self._disarm(task)
                task.attempt = None
                if node := self._nodes.get(item.machine):
                    node.let_go(item.uid)
                self._outcome(task, attempt, item.outcome, item.reason, item.report)
                self._drop(task)
            return
        if task.machine != item.machine or task.state not in (State.STANDING, State.ENDING):
            return
        self._disarm(task)
        if node := self._nodes.get(item.machine):
            node.let_go(item.uid)
        number = task.count - 1
        lag = (self.loop.now - task.standing_us) / 1e6
        self._events.append(
            api.Ended(task.number, item.machine, number, item.outcome, item.reason, True, lag, item.report)
        )
        owed = task.state is State.STANDING
        task.state = State.ANSWERED
        self._drop(task)
        if owed:
            self._release_owner(task.owner, item.uid, item.outcome, item.reason)

    def _noted(self, item: Noted) -> None:
        task = self._tasks.get(item.uid)
        if task is None:
            return
        attempt = task.attempt
        machine = attempt.machine if attempt is not None else task.machine
        if machine == item.machine:
            number = attempt.number if attempt is not None else task.count - 1
            self._events.append(api.Note(task.number, machine, number, item.fact, item.level))

    def _outcome(
        self,
        task: TaskRecord,
        attempt: Attempt,
        outcome: Outcome,
        reason: Reason = Reason.UNTOLD,
        report: api.Report | None = None,
    ) -> None:
        """Tell the module how an attempt ended."""
        lag = (self.loop.now - attempt.sent_us) / 1e6
        last = task.state is not State.OPEN
        self._events.append(
            api.Ended(task.number, attempt.machine, attempt.number, outcome, reason, last, lag, report)
        )

    def _withdraw(self, task: TaskRecord, attempt: Attempt, outcome: Outcome) -> None:
        """Stop waiting for an attempt; one that never left is known not to have run."""
        self._disarm(task)
        task.attempt = None
        node = self._nodes.get(attempt.machine)
        never = node is not None and node.withdraw(attempt)
        self._outcome(task, attempt, Outcome.NOT_SENT if never else outcome)

    def _timed_out(self, task: TaskRecord, attempt: Attempt) -> None:
        if task.attempt is attempt:
            self._withdraw(task, attempt, Outcome.TIMED_OUT)
            self._drop(task)

    # the module's actions

    def _act(self, action: api.Action) -> None:
        match action:
            case api.Offer(request, machine, timeout):
                self._offer(self._numbers.get(request), request, machine, timeout)
            case api.Refuse(request, retry_in):
                if (task := self._answerable(request)) is not None and task.owner is not None:
                    self.counts["refused"] += 1
                    limit = self.settings.limits.max_retry_after_s
                    advised = retry_in and self.settings.limits.retry_after
                    wait = int(min(retry_in, limit) * 1e6) if retry_in and advised else None
                    task.owner.refuse(task.setup.uid, wait)
                    self._drop(task)
            case api.Fail(request):
                if (task := self._answerable(request)) is not None and task.owner is not None:
                    self.counts["failed"] += 1
                    task.owner.fail(task.setup.uid)
                    self._drop(task)
            case api.Cancel(request, number):
                task = self._numbers.get(request)
                if task is not None and task.attempt is not None and task.attempt.number == number:
                    self._withdraw(task, task.attempt, Outcome.CANCELLED)
                    self._drop(task)
            case api.Move(request):
                if (task := self._numbers.get(request)) is not None and task.state is State.STANDING:
                    if task.owner is not None:
                        task.owner.move(task.setup.uid)
                    self._end(task)
            case api.Probe(machine):
                if node := self._nodes.get(machine):
                    node.probe()
                else:
                    self.inbox.append(Probed(machine, Outcome.NOT_CONNECTED, 0))
            case api.SetTimer(at, token):
                self.loop.at(self._micros(at), lambda: self._events.append(api.Timer(token)))
            case api.Log(text):
                self.log(6, "module", {}, text)
            case api.Tell() | api.Watch() | api.Reload() | api.CloseIdle():
                pass  # no peers here, the list comes by itself, and nodes close idle connections themselves

    def _offer(self, task: TaskRecord | None, request: int, machine: int, timeout: float | None) -> None:
        if task is None:
            return
        number, task.count = task.count, task.count + 1
        setup, node = task.setup, self._nodes.get(machine)
        until = setup.deadline_us
        if timeout is not None:
            until = min(until, self.loop.now + int(timeout * 1e6))
        attempt = Attempt(
            setup.uid, number, setup.task_class, setup.key, setup.description, self.loop.now, until, machine
        )
        entry = self._entries.get(machine)
        if (
            task.state is not State.OPEN
            or task.attempt is not None  # never two in flight
            or number >= self.settings.limits.attempts
            or until <= self.loop.now
            or node is None
            or entry is None
            or entry.health is not Health.UP
        ):
            self._outcome(task, attempt, Outcome.NOT_SENT)
            return
        task.attempt = attempt
        task.timer = self.loop.at(until, lambda: self._timed_out(task, attempt))
        node.offer(attempt)

    def _answerable(self, request: int) -> TaskRecord | None:
        """The task that is owed its final answer, which is given now; none where it has had one."""
        task = self._numbers.get(request)
        if task is None or task.state is not State.OPEN:
            return None
        self._close(task)
        return task

    def _close(self, task: TaskRecord) -> None:
        task.state = State.ANSWERED
        self._closed(task)

    def _closed(self, task: TaskRecord) -> None:
        """It is no longer among its owner's open set-ups."""
        self.open_count -= 1
        if task.owner is not None and (mine := self._owners.get(task.owner)) is not None:
            mine.discard(task.setup.uid)

    def _disarm(self, task: TaskRecord) -> None:
        if task.timer is not None:
            task.timer.cancel()
            task.timer = None

    def _drop(self, task: TaskRecord) -> None:
        """Forget a task that is answered, has no attempt out and does not stand."""
        if task.state is State.ANSWERED and task.attempt is None:
            self._tasks.pop(task.setup.uid, None)
            self._numbers.pop(task.number, None)
