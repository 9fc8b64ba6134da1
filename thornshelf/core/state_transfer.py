"""Transfers running tasks and pending releases from a dispatcher that shuts down to its successor.

Each record is one JSON object, as ``export_state`` returns it. The two processes may run different versions of the
program, so the keys of these objects are a stable format; only this module uses them.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from thornshelf.core.dispatcher import Dispatcher
from thornshelf.core.messages import TaskRequest
from thornshelf.core.releases import DisconnectedClient
from thornshelf.core.task import TaskState
from thornshelf.core.task_release import Release
from thornshelf.placement import Outcome, Reason

PENDING_RELEASE_KEY = "owed"  # holds the task id; only records of pending releases have this key


@dataclass(frozen=True, slots=True)
class RunningTaskRecord:
    """The record of one subscriber of a running task."""

    uid: int
    task_class: str
    tenant: str | None
    idempotency_key: int
    lifetime_hint_us: int | None
    service: int
    cores: float
    memory: float
    node: str
    node_uid: int
    peer: str

    def encode(self) -> dict[str, object]:
        """Return the record as a JSON object."""
        return {
            "uid": self.uid,
            "class": self.task_class,
            "tenant": self.tenant,
            "key": self.idempotency_key,
            "hint_us": self.lifetime_hint_us,
            "service": self.service,
            "cores": self.cores,
            "memory": self.memory,
            "node": self.node,
            "node_uid": self.node_uid,
            "peer": self.peer,
        }

    @classmethod
    def decode(cls, value: Mapping[str, Any]) -> RunningTaskRecord:
        """Decode a JSON object; raise KeyError, TypeError or ValueError if it is invalid."""
        return cls(
            uid=int(value["uid"]),
            task_class=str(value["class"]),
            tenant=value["tenant"],
            idempotency_key=int(value["key"]),
            lifetime_hint_us=value["hint_us"],
            service=int(value["service"]),
            cores=float(value["cores"]),
            memory=float(value["memory"]),
            node=str(value["node"]),
            node_uid=int(value["node_uid"]),
            peer=str(value["peer"]),
        )


@dataclass(frozen=True, slots=True)
class PendingReleaseRecord:
    """The record of a release that has not been sent."""

    uid: int
    peer: str
    tenant: str | None
    outcome: Outcome
    reason: Reason

    def encode(self) -> dict[str, object]:
        """Return the record as a JSON object."""
        tenant = {} if self.tenant is None else {"tenant": self.tenant}
        return {
            PENDING_RELEASE_KEY: self.uid,
            "peer": self.peer,
            **tenant,
            "outcome": self.outcome.value,
            "reason": self.reason.value,
        }

    @classmethod
    def decode(cls, value: Mapping[str, Any]) -> PendingReleaseRecord:
        """Decode a JSON object; raise KeyError, TypeError or ValueError if it is invalid."""
        return cls(
            uid=int(value[PENDING_RELEASE_KEY]),
            peer=str(value["peer"]),
            tenant=value.get("tenant"),
            outcome=Outcome(value["outcome"]),
            reason=Reason(value["reason"]),
        )


TransferRecord = RunningTaskRecord | PendingReleaseRecord


def export_state(core: Dispatcher) -> list[dict[str, object]]:
    """Remove all pending releases and running tasks, and return their records for ``import_record``.

    They belong to the successor from now on; this dispatcher ignores later reports of nodes about them.
    """
    records = [_release_record(pending.release).encode() for pending in core.releases.take_pending()]
    for task in core.all_tasks():
        endpoint = core.endpoints.entries.get(task.machine)
        if task.state is not TaskState.RUNNING or endpoint is None:
            continue
        request = task.request
        for uid, client in task.each_subscriber():
            record = RunningTaskRecord(
                uid=uid,
                task_class=request.task_class,
                tenant=request.tenant,
                idempotency_key=request.idempotency_key,
                lifetime_hint_us=request.lifetime_hint_us,
                service=request.service,
                cores=request.cores,
                memory=request.memory,
                node=endpoint.name,
                node_uid=task.node_uid,
                peer=client.peer,
            )
            records.append(record.encode())
        task.state = TaskState.ANSWERED
        core.discard(task)
    return records


def import_record(core: Dispatcher, value: Mapping[str, Any]) -> bool:
    """Take over one record; return False if it can't be decoded, its class is unknown or its task is known."""
    try:
        record = _decode(value)
    except (KeyError, TypeError, ValueError):
        return False
    if isinstance(record, PendingReleaseRecord):
        owner = core.releases.owner_of(DisconnectedClient(record.peer), record.tenant)
        core.releases.add_pending(Release(record.uid, owner, record.outcome, record.reason))
        return True
    if record.task_class not in core.task_classes or core.find_task(record.uid) is not None:
        return False
    _adopt(core, record)
    return True


def reconnect_nodes(core: Dispatcher) -> None:
    """Reconnect to the nodes of running tasks after the predecessor has ended.

    A node reports again, on the new connection, ends that it reported to the predecessor while that was closing.
    """
    for machine, node in core.endpoints.nodes.items():
        if next(core.running_at(machine), None) is not None:
            node.reconnect()


def _release_record(release: Release) -> PendingReleaseRecord:
    owner = release.owner
    return PendingReleaseRecord(release.uid, owner.host, owner.tenant, release.outcome, release.reason)


def _decode(value: Mapping[str, Any]) -> TransferRecord:
    if PENDING_RELEASE_KEY in value:
        return PendingReleaseRecord.decode(value)
    return RunningTaskRecord.decode(value)


def _adopt(core: Dispatcher, record: RunningTaskRecord) -> None:
    client = DisconnectedClient(record.peer)
    running = core.find_task(record.node_uid)
    if running is not None and running.state is TaskState.RUNNING:
        running.subscribers[record.uid] = client  # another id of a task that is already known
        core.index_task(running, record.uid)
        return
    request = TaskRequest(
        client=client,
        uid=record.uid,
        task_class=record.task_class,
        tenant=record.tenant,
        idempotency_key=record.idempotency_key,
        deadline_us=core.loop.now,
        lifetime_hint_us=record.lifetime_hint_us,
        service=record.service,
        cores=record.cores,
        memory=record.memory,
        description=b"",
        running_on=record.node,
    )
    task = core.create_task(request)
    task.node_uid = record.node_uid
    core.index_task(task, record.uid, record.node_uid)
    core.adopt_task(task, record.node)
