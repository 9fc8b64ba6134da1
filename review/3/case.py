"""A task is handed over with a server that the dispatcher's change log has not told of yet."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

SILENCE_S = 6.5  # under the 7 s after which everything counts as told
MAKE_SURE_S = 3.0  # the settings' make-sure-s: how long an owner waits before it comes again
RELEASE_S = 1.0 + 0.05


async def refuse(connection: standins.Connection, uid: str, _: dict[int, bytes]) -> bool:
    """Refuse a set-up: the server is full."""
    connection.server.refuse(connection, uid, "lack_cpu")
    return False


async def start_and_lose_answer(connection: standins.Connection, uid: str, values: dict[int, bytes]) -> bool:
    """Start the task; the connection is reset before its answer."""
    connection.server.begin(connection, uid, values)
    connection.server.record.add(connection.server.name, "the connection is reset under the request")
    connection.reset()
    return False


async def place(
    record: standins.Record, dispatcher: standins.Dispatcher, server: standins.Server
) -> standins.Task:
    """Have a task started on a server; the first dispatcher can't tell, and the owner makes sure."""
    owner = await dispatcher.front("owner at n0")
    task = standins.Task("ledger-batch", 10.0)
    owner.set_up(task)
    if not await standins.wait_until(lambda: bool(owner.heard(task.uid, "stop")), 11.0):
        raise standins.CannotRunError("the first dispatcher has not answered")
    if task.uid not in server.tasks:
        raise standins.CannotRunError("the task was not started")
    await asyncio.sleep(MAKE_SURE_S)
    record.add("owner", f"has waited {MAKE_SURE_S:g} s, and finds that {server.name} holds {task.uid}")
    return task


async def case(record: standins.Record, folder: Path, *, trouble: bool) -> list[str]:
    """Play the case; return what was broken."""
    full, new = standins.Server(record, "s-00000001"), standins.Server(record, "s-00000002")
    full.on_set_up, new.on_set_up = refuse, start_and_lose_answer
    for server in (full, new):
        await server.start()
    logs = [standins.ChangeLog(record, [full.entry()], f"log of {name}") for name in ("n0", "n1")]
    dispatchers = []
    for log, name in zip(logs, ("n0", "n1"), strict=True):
        await log.start()
        dispatchers.append(standins.Dispatcher(record, folder, log, name))
    first, second = dispatchers
    try:
        for dispatcher in dispatchers:
            dispatcher.start()
        owner = await second.front("owner at n1")
        await first.front("front")
        await asyncio.sleep(1.0)
        silent_from = record.now()
        if trouble:
            logs[1].fall_silent(silent=True)
        for log in logs:
            log.tell([new.entry()])
        if not await standins.wait_until(lambda: bool(new.connections), 5.0):
            raise standins.CannotRunError("no dispatcher has connected to the new server")
        task = await place(record, first, new)

        owner.set_up(task, new.name)
        await asyncio.sleep(silent_from + SILENCE_S - record.now())
        if trouble:
            logs[1].fall_silent(silent=False)
        await asyncio.sleep(3.0)
        broken = [
            f"{task.uid} was released with cause {message['reason']} while it ran on {new.name}"
            for message in owner.heard(task.uid, "stop")
        ]
        new.end(task.uid)
        if not await standins.wait_until(lambda: bool(owner.heard(task.uid, "stop")), RELEASE_S):
            broken.append(f"{task.uid} has ended, and no release came for it")
        return broken
    finally:
        for dispatcher in dispatchers:
            dispatcher.cleanup()


if __name__ == "__main__":
    standins.play(case, FOLDER)
