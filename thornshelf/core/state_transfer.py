"""What stands at a dispatcher that ends, handed to the one that goes on in its place."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from thornshelf.core.dispatcher import Dispatcher
from thornshelf.core.messages import TaskRequest
from thornshelf.core.releases import DisconnectedClient
from thornshelf.core.task import TaskState


def export_state(core: Dispatcher) -> list[dict[str, object]]:
    """All that stands and all releases that are owed, as a successor's ``take_over`` takes them.

    They are the successor's from now on: what a node says of them here is not told.
    """
    found: list[dict[str, object]] = core.releases.export_pending()
    for task in list(core.all_tasks()):
        entry = core.endpoints.entries.get(task.machine)
        if task.state is not TaskState.RUNNING or entry is None:
            continue
        setup = task.request
        for uid, owner in task.each_subscriber():
            found.append(
                {
                    "uid": uid, "class": setup.task_class, "tenant": setup.tenant, "key": setup.idempotency_key,
                    "hint_us": setup.lifetime_hint_us, "service": setup.service, "cores": setup.cores,
                    "memory": setup.memory, "node": entry.name, "node_uid": task.node_uid, "peer": owner.peer,
                }
            )  # fmt: skip
        task.state = TaskState.ANSWERED
        core.discard(task)
    return found


def import_record(core: Dispatcher, value: Mapping[str, Any]) -> bool:
    """A task that stood at a predecessor; false where it can't be understood, or is known."""
    if "owed" in value:
        return core.releases.import_pending(value)
    try:
        task_class, uid, node_uid = str(value["class"]), int(value["uid"]), int(value["node_uid"])
        if task_class not in core.task_classes or core.find_task(uid) is not None:
            return False
        setup = TaskRequest(
            client=DisconnectedClient(str(value["peer"])),
            uid=uid,
            task_class=task_class,
            tenant=value["tenant"],
            idempotency_key=int(value["key"]),
            deadline_us=core.loop.now,
            lifetime_hint_us=value["hint_us"],
            service=int(value["service"]),
            cores=float(value["cores"]),
            memory=float(value["memory"]),
            description=b"",
            running_on=str(value["node"]),
        )
    except (KeyError, TypeError, ValueError):
        return False
    known = core.find_task(node_uid)
    if known is not None and known.state is TaskState.RUNNING:
        known.subscribers[uid] = setup.client  # another holder of a task that two ids share
        core.index_task(known, uid)
        return True
    task = core.create_task(setup)
    task.node_uid = node_uid
    core.index_task(task, uid, node_uid)
    core.adopt_task(task, setup.running_on or "")
    return True


def reconnect_nodes(core: Dispatcher) -> None:
    """The predecessor has ended: new connections to the nodes where its tasks stand.

    Guards against ends that were told to it as it closed: a node tells them again on the next connection.
    """
    for machine, node in core.endpoints.nodes.items():
        if next(core.running_at(machine), None) is not None:
            node.reconnect()
