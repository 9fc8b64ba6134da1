"""A server forgets a connection that has been idle for long; then the task that stands there ends."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

RELEASE_S = 8.0 + 0.05  # from the end, where no release could be sent; with the slack


async def place(owner: standins.Owner, task: standins.Task) -> None:
    """Have a task placed."""
    owner.set_up(task)
    if not await standins.wait_until(lambda: bool(owner.heard(task.uid, "running")), 9.0):
        raise standins.CannotRunError("a task was not placed")


async def case(record: standins.Record, folder: Path, *, trouble: bool) -> list[str]:
    """Play the case; return what was broken."""
    server = standins.Server(record, "s-00000001")
    await server.start()
    changelog = standins.ChangeLog(record, [server.entry()])
    await changelog.start()
    dispatcher = standins.Dispatcher(record, folder, changelog)
    dispatcher.start()
    try:
        owner = await dispatcher.front("owner")
        task = standins.Task("ledger-batch", 10.0)
        await place(owner, task)
        await asyncio.sleep(dispatcher.settings["limits"]["keepalive-s"] + 0.5)
        if trouble:
            if not server.connections:
                raise standins.CannotRunError("the connection that was to be forgotten has been closed")
            server.connections[0].forget()
        await asyncio.sleep(1.0)
        server.end(task.uid)
        if await standins.wait_until(lambda: bool(owner.heard(task.uid, "stop")), RELEASE_S):
            return []
        # Not part of the check: what is told once the dispatcher opens another connection.
        record.add("case", f"{RELEASE_S} s have passed, and the dispatcher has opened no connection to ask")
        owner.set_up(standins.Task("lookup", 8.0))
        await standins.wait_until(lambda: bool(owner.heard(task.uid, "stop")), 5.0)
        return [f"{task.uid} has ended, and no release came for it within {RELEASE_S} s"]
    finally:
        dispatcher.cleanup()


if __name__ == "__main__":
    standins.play(case, FOLDER)
