"""The table of known machines, which follows the endpoint list."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import replace

from thornshelf.placement.actions import WatchEndpoints
from thornshelf.placement.context import PlacementContext
from thornshelf.placement.events import (
    Endpoint,
    EndpointUpdate,
    EndpointWatchFailed,
    Health,
    LoadReport,
    PlacementRequest,
)
from thornshelf.placement.machine import Machine
from thornshelf.placement.machine_index import RESOURCES, MachineIndex
from thornshelf.placement.slow_start import SlowStart
from thornshelf.placement.usage import UsageEstimator

LOAD_REPORT_AGE_S = 0.5  # the usual age of a load report on arrival: its interval and delivery
ENDPOINT_LIST_AGE_S = 2.0  # the usual age of free resources in the endpoint list


class EndpointTable:
    """The machines by id, and the index of those that are up."""

    def __init__(self, context: PlacementContext, usage: UsageEstimator, slow_start: SlowStart) -> None:
        self._context = context
        self._slow_start = slow_start
        self.machines: dict[int, Machine] = {}
        self.index = MachineIndex[Machine](usage.estimate, usage.utilization_group)
        self.largest_capacity: tuple[float, ...] = (0.0, 0.0)  # the maxima of cores and of memory
        # The time of the next subscription; None: none is due.
        self._watch_at = 0.0 if context.settings.list_on_request else None

    def get_or_add(self, machine_id: int) -> Machine:
        """Return a machine; if it is unknown, add it in the state ``Health.REMOVED``."""
        return self.machines.get(machine_id) or self._add(machine_id)

    def _add(self, machine_id: int) -> Machine:
        machine = Machine(machine_id, self.index.changed)
        self.machines[machine_id] = machine
        return machine

    def limit_demand(self, spec: PlacementRequest, machine: Machine) -> PlacementRequest:
        """Return a running task's request with no more demand than the machine, or the largest one, can hold.

        The demand is what a client claims. A larger one can't be true, and nothing else would be placed.
        """
        capacity = machine.capacity if machine.capacity[0] > 0.0 else self.largest_capacity
        cores, memory = (
            min(claimed, available) if available > 0.0 else claimed
            for claimed, available in zip((spec.cores, spec.memory), capacity, strict=True)
        )
        if (cores, memory) == (spec.cores, spec.memory):
            return spec
        return replace(spec, cores=cores, memory=memory)

    def remove_unused(self) -> None:
        """Discard removed machines without own tasks, so that they don't accumulate."""
        unused = [m for m in self.machines.values() if m.health is Health.REMOVED and not m.tasks_by_service]
        for machine in unused:
            del self.machines[machine.id]

    def update(self, event: EndpointUpdate) -> bool:
        """Apply the complete endpoint list or its changes; return whether the index was updated."""
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
        """Apply one entry; return whether the index has to be updated."""
        changed = False
        machine = self.machines.get(entry.machine)
        if machine is None:
            machine = self._add(entry.machine)
        elif entry.started_at > machine.started_at and entry.health is Health.UP:
            machine.reset()  # its process was restarted, so it is empty
            changed = True
        machine.started_at = max(machine.started_at, entry.started_at)
        machine.cell = entry.cell
        if is_first and self._slow_start.is_warming_up(machine):
            self._slow_start.assume_quota_used(machine)
        if (entry.health, entry.kind, entry.zone) != (machine.health, machine.kind, machine.zone):
            self._apply_attributes(machine, entry)
            changed = True
        if self._context.settings.endpoint_list_shows_free:
            physical = machine.physical
            used = (physical[0] - entry.free_cores, physical[1] - entry.free_memory)
            machine.apply_report(self._context.now - ENDPOINT_LIST_AGE_S, used)
        return changed

    def _apply_attributes(self, machine: Machine, entry: Endpoint) -> None:
        """Set health, kind and zone of a machine, and the fields that depend on them."""
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
            machine.physical = max(sizes)  # unknown kind: if it is smaller, it refuses attempts
        cores, memory = machine.physical
        machine.capacity = (cores * settings.overcommit_cores, memory * settings.overcommit_memory)
        machine.usage_limit = None

    def _remove_all_but(self, listed: Collection[int]) -> None:
        for machine_id in self.machines.keys() - listed:
            self.machines[machine_id].health = Health.REMOVED

    def record_report(self, machine: Machine, report: LoadReport | None) -> None:
        """Apply a machine's load report, if there is one with free cores and memory."""
        if report is None or report.free_cores is None or report.free_memory is None:
            return
        physical = machine.physical
        usage = (physical[0] - report.free_cores, physical[1] - report.free_memory)
        machine.apply_report(self._context.now - LOAD_REPORT_AGE_S, usage)

    def record_watch_failure(self, event: EndpointWatchFailed) -> None:
        """Schedule the next subscription, if the endpoint list is sent on request only."""
        settings = self._context.settings
        if settings.list_on_request and self._watch_at is None:
            self._watch_at = self._context.now + settings.rules.poll_interval_s / 4.0

    def watch_if_due(self) -> None:
        """Subscribe to the endpoint list if a subscription is due."""
        if self._watch_at is not None and self._context.now >= self._watch_at:
            self._watch_at = None
            self._context.actions.append(WatchEndpoints(True))
