"""The nodes that the list names: their numbers for the decision module, their entries and their connections."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterator

from thornshelf.core.messages import Attempt, EndpointListUpdate, NodeEndpoint
from thornshelf.core.ports import NodeConnection
from thornshelf.placement import interface as api
from thornshelf.placement.interface import Health


class EndpointRegistry:
    """All nodes. What it finds to be lost or called back goes to the core by the given calls."""

    def __init__(
        self,
        make_node: Callable[[int, NodeEndpoint], NodeConnection],
        to_seconds: Callable[[int], float],
        running_at: Callable[[int], Iterator[int]],
        on_tasks_lost: Callable[[int, int | None], None],
        on_attempt_recalled: Callable[[int, Attempt], None],
        on_discarded: Callable[[int, str], None],
    ) -> None:
        self.nodes: dict[int, NodeConnection] = {}
        self.entries: dict[int, NodeEndpoint] = {}
        self._machine_by_name: dict[str, int] = {}  # by the node's name
        self._name_by_machine: dict[int, str] = {}
        self._make_node, self._to_seconds, self._running_at = make_node, to_seconds, running_at
        self._on_tasks_lost, self._on_attempt_recalled, self._on_discarded = (
            on_tasks_lost,
            on_attempt_recalled,
            on_discarded,
        )
        self.on_unknown_endpoint: Callable[[str], None] | None = (
            None  # told of a name that no list has given yet
        )

    def machine_id(self, name: str) -> int:
        """The module's number of a node: the hex digits of its name, as on the bench, else a checksum."""
        if (machine := self._machine_by_name.get(name)) is None:
            try:
                machine = int(name.rpartition("-")[2], 16) & 0xFFFFFFFF
            except ValueError:
                machine = zlib.crc32(name.encode())
            while machine in self._name_by_machine:
                machine = (machine + 1) & 0xFFFFFFFF
            self._machine_by_name[name], self._name_by_machine[machine] = machine, name
            if self.on_unknown_endpoint is not None:
                self.on_unknown_endpoint(name)
        return machine

    def has_work(self, name: str) -> bool:
        """Something stands on a node, or the word of an end has not left for it."""
        machine = self._machine_by_name.get(name)
        if machine is None:
            return False
        node = self.nodes.get(machine)
        return any(True for _ in self._running_at(machine)) or (node is not None and node.has_pending_data)

    def up_machines(self) -> list[int]:
        """Nodes that take offers, by the list."""
        return [machine for machine, entry in self.entries.items() if entry.health is Health.UP]

    def is_up(self, machine: int) -> bool:
        """A node that the list shows as up."""
        entry = self.entries.get(machine)
        return entry is not None and entry.health is Health.UP

    def apply(self, item: EndpointListUpdate) -> api.EndpointUpdate:
        """The list, or its changes, in the module's words."""
        entries = []
        named = set()
        for entry in item.endpoints:
            machine = self.machine_id(entry.name)
            named.add(machine)
            self._apply_entry(machine, entry)
            started = 0.0 if entry.started_us is None else self._to_seconds(entry.started_us)
            entries.append(
                api.Endpoint(
                    machine, entry.health, entry.kind, entry.zone, entry.cell, 0.0, 0.0, entry.weight, started
                )
            )
        if item.complete:
            for machine in sorted(self.nodes.keys() - named):
                self._remove_node(machine)
                self.discard(machine)
        return api.EndpointUpdate(item.complete, item.version, tuple(entries))

    def discard(self, machine: int) -> None:
        """Nothing is kept of a node that no list names: on a long day they are replaced without end."""
        self.entries.pop(machine, None)
        if (name := self._name_by_machine.pop(machine, None)) is not None:
            del self._machine_by_name[name]
            self._on_discarded(machine, name)

    def _apply_entry(self, machine: int, entry: NodeEndpoint) -> None:
        """Keep the node's connection in step with the list."""
        old = self.entries.get(machine)
        self.entries[machine] = entry
        if entry.health is Health.REMOVED:
            self._remove_node(machine)
            self.discard(machine)
            return
        if old is not None and old.address != entry.address and machine in self.nodes:
            self._remove_node(machine)
        elif old is not None and entry.started_us is not None and machine in self.nodes:
            # A process that started anew under the same name holds nothing of what stood there before.
            self.nodes[machine].process_restarted(entry.started_us)
            self._on_tasks_lost(machine, entry.started_us)
        if machine not in self.nodes:
            self.nodes[machine] = self._make_node(machine, entry)
            for uid in self._running_at(machine):
                self.nodes[machine].watch_task(uid)
        if entry.health is Health.DRAINING:
            # Drains are measured to the first byte sent: what is still buffered must not go out.
            for attempt in self.nodes[machine].drain():
                self._on_attempt_recalled(machine, attempt)
        else:
            self.nodes[machine].resume()

    def _remove_node(self, machine: int) -> None:
        if (node := self.nodes.pop(machine, None)) is not None:
            node.close()
        self._on_tasks_lost(machine, None)
