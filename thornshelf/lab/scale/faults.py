"""The target's troubles in small, under load: what is lost, started twice or sent to a drained node, by the truth of
the stand-ins. Real dispatchers, one that holds all nodes and one of a subset, stand among hollow ones."""

from __future__ import annotations

import os
import signal
import time
from dataclasses import dataclass, field
from pathlib import Path

from thornshelf.lab.load import LEDGER, LOOKUP
from thornshelf.lab.scale.bounds import Bounds
from thornshelf.lab.scale.hollow import Count, Drain, Kill, Nodes, Rise, Silence
from thornshelf.lab.scale.layout import Layout
from thornshelf.lab.scale.testbed import ScaleTestbed

LEDGER_SHARE = 0.05
REPLACED = 21  # nodes, one after another
HELD_SHARE = 0.5  # of the list: a dispatcher of a subset that holds more has no subset


@dataclass(slots=True)
class ScenarioCounts:
    """What the stand-ins counted, and what was seen of the dispatchers' state."""

    asked: int = 0
    served: int = 0
    lost: int = 0
    doubled: int = 0
    late: int = 0
    ledger_starts: int = 0
    held: list[int] = field(default_factory=list)
    kept: list[int] = field(default_factory=list)
    view_bytes: float = 0.0
    changes: int = 0
    changes_in_force: int = 0
    rules: list[str] = field(default_factory=list)


class FaultScenario:
    """One run of them."""

    def __init__(
        self, layout: Layout, nodes: Nodes, count: int, hollow: int, folder: Path, bounds: Bounds, per_s: float,
        plant: str | None,
    ) -> None:  # fmt: skip
        members = 2 + 2 * (hollow // 2)
        self.world = ScaleTestbed(layout, nodes, count, members, folder, bounds, members)
        self.per_s, self.count, self.lives = per_s, count, 0
        self.said, self.loading, self.plant = ScenarioCounts(), False, plant
        self._before = nodes.tell(Count())

    def run(self) -> ScenarioCounts:
        """All troubles, one after another, each undone before the next."""
        world = self.world
        try:
            world.start_real(0, False, self.plant)
            world.start_real(1, True, self.plant)
            rest = list(range(2, 2 + len(world.keeper.ports) - 2))
            world.start_hollow(rest[: len(rest) // 2], False, self.plant)
            world.start_hollow(rest[len(rest) // 2 :], True, self.plant)
            world.ready()
            world.rest(1.0)
            self._load()
            self._view()
            self._replace()
            self._restart()
            self._zone()
            self._region()
            self.loading = False
            world.rest(4.0)
            return self._count()
        finally:
            world.close()

    def _load(self) -> None:
        """Set-ups at each real dispatcher, and a configuration read again each second, for as long as it loads."""
        self.loading = True
        world, pause_us = self.world, int(1e6 / self.per_s)

        def ask() -> None:
            if self.loading:
                for one in world.real:
                    world.ask(one, LEDGER if world.chance.random() < LEDGER_SHARE else LOOKUP)
                world.loop.after(pause_us, ask)

        def reload() -> None:
            if self.loading:
                for one in world.real:
                    self.said.changes += 1
                    os.kill(one.pid, signal.SIGHUP)
                world.loop.after(1_000_000, reload)

        ask()
        reload()

    def _view(self) -> None:
        """What the view costs a real dispatcher among the hollow ones."""
        sent, began = self.world.relays.sent[0], time.monotonic()
        self.world.rest(2.0)
        self.said.view_bytes = (self.world.relays.sent[0] - sent) / (time.monotonic() - began)

    def _replace(self) -> None:
        """Nodes drain, go, and others come in their place under new names, cold."""
        world, layout = self.world, self.world.layout
        for node in range(REPLACED):
            world.tell(layout.entry(node, "terminating"))
            world.nodes.tell(Drain([node]))
            world.rest(0.05)
        world.rest(2.5)  # tasks there end
        for node in range(REPLACED):
            world.tell(layout.entry(node, "terminated"))
            world.nodes.tell(Kill([node]))
        self.lives += 1
        world.rest(0.2)
        world.nodes.tell(Drain(range(REPLACED), False))
        world.nodes.tell(Rise(range(REPLACED)))
        now_ms = time.time_ns() // 1_000_000
        world.tell(*(layout.entry(node, started_ms=now_ms, life=self.lives) for node in range(REPLACED)))
        world.rest(1.0)

    def _restart(self) -> None:
        """Processes start anew under the same names."""
        world, some = self.world, range(REPLACED, 2 * REPLACED)
        world.nodes.tell(Kill(some))
        world.rest(0.1)
        world.nodes.tell(Rise(some))
        now_ms = time.time_ns() // 1_000_000
        world.tell(*(world.layout.entry(node, started_ms=now_ms) for node in some))
        world.rest(1.0)

    def _zone(self) -> None:
        """The zone of the dispatcher with a subset is lost, and comes back cold."""
        world = self.world
        lost = [node for node in range(2 * REPLACED, self.count) if world.layout.zone_of(node) == 1]
        world.nodes.tell(Kill(lost))
        world.tell(*(world.layout.entry(node, "terminated") for node in lost))
        world.rest(3.0)
        world.nodes.tell(Rise(lost))
        now_ms = time.time_ns() // 1_000_000
        world.tell(*(world.layout.entry(node, started_ms=now_ms) for node in lost))
        world.rest(2.0)

    def _region(self) -> None:
        """A region says nothing for a while: its nodes, and the change log of the dispatcher that stands there."""
        world = self.world
        cut = [node for node in range(self.count) if world.layout.region_of(node) == 1]
        world.nodes.tell(Silence(cut, 3_000_000))
        world.keeper.silent.add(1)
        world.rest(3.0)
        world.keeper.silent.clear()
        world.rest(3.0)

    def _count(self) -> ScenarioCounts:
        """By the stand-ins, and by what the hollow dispatchers keep."""
        world, said = self.world, self.said
        after = world.nodes.tell(Count())
        world.truth.over = after.over
        mine = {task for one in world.real if one.county is not None for task in one.county.tasks}
        asked = [one for one in world.truth.asked.values() if not one.void]
        said.asked, said.served = len(asked), sum(one.answers[:1] == ["placed"] for one in asked)
        said.lost = len(world.truth.lost(world.loop.now, 2_000_000))
        said.doubled = len(world.truth.doubled())
        said.late = after.late - self._before.late
        said.ledger_starts = max((count for key, count in after.starts.items() if key in mine), default=0)
        for worker in world.hollow:
            tally = worker.tell(Count())
            said.held += tally.held
            said.kept += tally.state
        said.changes_in_force = sum(one.process.log_counts().get("config-reloaded", 0) for one in world.real)
        said.rules = broken(said, self.count)
        return said


def broken(said: ScenarioCounts, count: int) -> list[str]:
    """The rules that did not hold."""
    wide, narrow = said.held[: len(said.held) // 2], said.held[len(said.held) // 2 :]
    found = {
        "a task was lost": said.lost > 0,
        "a task had two answers": said.doubled > 0,
        "an offer went to a drained node": said.late > 0,
        "a ledger batch was started twice": said.ledger_starts > 1,
        "under half of the set-ups were placed": said.served < 0.5 * said.asked,
        "a dispatcher keeps state of nodes that have gone": any(kept > 0 for kept in said.kept),
        "a dispatcher does not hold the whole list": any(held != count for held in wide),
        "a subset holds more than half of the list": any(held > HELD_SHARE * count for held in narrow),
        "a configuration was not read": said.changes_in_force < said.changes,
    }
    return [rule for rule, holds in found.items() if holds]
