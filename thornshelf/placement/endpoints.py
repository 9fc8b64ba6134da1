"""The machines that a placer knows, kept up to date with the endpoint list."""

from __future__ import annotations

from collections.abc import Collection

from thornshelf.placement.actions import WatchEndpoints
from thornshelf.placement.context import PlacementContext
from thornshelf.placement.events import Endpoint, EndpointUpdate, EndpointWatchFailed, Health, LoadReport
from thornshelf.placement.machine import Machine
from thornshelf.placement.machine_index import RESOURCES, MachineIndex
from thornshelf.placement.slow_start import SlowStart
from thornshelf.placement.usage import UsageEstimator

REPORT_AGE_S = 0.5  # a load report describes the machine about so long ago: its refresh and its delivery
LIST_AGE_S = 2.0  # free resources in the endpoint list are about so old


class EndpointTable:
    """Owns the machines by id, and the index of those that are up."""

    def __init__(self, context: PlacementContext, usage: UsageEstimator, slow_start: SlowStart) -> None:
        self._context = context
        self._slow_start = slow_start
        self.machines: dict[int, Machine] = {}
        self.index = MachineIndex[Machine](usage.estimate, usage.fullness_group)
        self.largest_capacity: tuple[float, ...] = (0.0, 0.0)  # the most cores, and memory, of one machine
        self._watch_at = 0.0 if context.settings.list_on_request else None  # when to subscribe next

    def get_or_add(self, number: int) -> Machine:
        """Return a machine; one that no endpoint list named is added as removed."""
        return self.machines.get(number) or self._add(number)

    def _add(self, number: int) -> Machine:
        machine = Machine(number, self.index.changed)
        self.machines[number] = machine
        return machine

    def remove_unused(self) -> None:
        """Discard removed machines on which no own task runs; else those of past days would accumulate."""
        unused = [m for m in self.machines.values() if m.health is Health.REMOVED and not m.tasks_by_service]
        for machine in unused:
            del self.machines[machine.id]

    def update(self, event: EndpointUpdate) -> bool:
        """Apply the complete endpoint list, or its changes; return whether the index was changed by it."""
        is_first = not self._context.next_housekeeping_at
        changed = event.complete
        for entry in event.entries:
            changed |= self._update_machine(entry, is_first)
        if event.complete:
            self._remove_all_but({entry.machine for entry in event.entries})
        if changed:
            self.index.replace(m for m in self.machines.values() if m.health is Health.UP)
            up = self.index.up
            self.largest_capacity = tuple(max((m.capacity[k] for m in up), default=0.0) for k in RESOURCES)
        return changed

    def _update_machine(self, entry: Endpoint, is_first: bool) -> bool:
        """Apply one entry; return whether the index has to follow."""
        changed = False
        machine = self.machines.get(entry.machine)
        if machine is None:
            machine = self._add(entry.machine)
        elif entry.started_at > machine.started_at and entry.health is Health.UP:
            machine.reset()  # its process was restarted: it is empty
            changed = True
        machine.started_at = max(machine.started_at, entry.started_at)
        machine.cell = entry.cell
        if is_first and self._slow_start.is_warming_up(machine):
            self._slow_start.assume_quota_used(machine)
        if (entry.health, entry.kind, entry.zone) != (machine.health, machine.kind, machine.zone):
            self._describe(machine, entry)
            changed = True
        if self._context.settings.endpoint_list_shows_free:
            physical = machine.physical
            used = (physical[0] - entry.free_cores, physical[1] - entry.free_memory)
            machine.apply_report(self._context.now - LIST_AGE_S, used)
        return changed

    def _describe(self, machine: Machine, entry: Endpoint) -> None:
        """Set what follows from the health, kind and zone of a machine."""
        settings = self._context.settings
        machine.health = entry.health
        machine.kind = entry.kind
        machine.zone = entry.zone
        machine.kind_index = settings.kinds.index(entry.kind) if entry.kind in settings.kinds else -1
        machine.in_other_zone = entry.zone != settings.zone
        sizes = list(zip(settings.cores_by_kind, settings.memory_by_kind, strict=False)) or [(0.0, 0.0)]
        if 0 <= machine.kind_index < len(sizes):
            machine.physical = sizes[machine.kind_index]
        else:
            machine.physical = max(sizes)  # unknown: an attempt will show whether it is smaller
        cores, memory = machine.physical
        machine.capacity = (cores * settings.overcommit_cores, memory * settings.overcommit_memory)
        machine.usage_limit = None

    def _remove_all_but(self, listed: Collection[int]) -> None:
        for number in self.machines.keys() - listed:
            self.machines[number].health = Health.REMOVED

    def record_report(self, machine: Machine, report: LoadReport | None) -> None:
        """Take a machine's own figures, where they came along."""
        if report is None or report.free_cores is None or report.free_memory is None:
            return
        physical = machine.physical
        usage = (physical[0] - report.free_cores, physical[1] - report.free_memory)
        machine.apply_report(self._context.now - REPORT_AGE_S, usage)

    def record_watch_failure(self, event: EndpointWatchFailed) -> None:
        """Subscribe again after a while, where the list is sent only on request."""
        settings = self._context.settings
        if settings.list_on_request and self._watch_at is None:
            self._watch_at = self._context.now + settings.rules.poll_interval_s / 4.0

    def watch_if_due(self) -> None:
        """Subscribe to the endpoint list when it is time."""
        if self._watch_at is not None and self._context.now >= self._watch_at:
            self._watch_at = None
            self._context.actions.append(WatchEndpoints(True))
