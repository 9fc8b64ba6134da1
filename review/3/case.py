"""SIGHUP comes with a broken configuration file; then a server is lost and another drains."""

from __future__ import annotations

import asyncio
import copy
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

SETTLE_S = 4.5  # what the change log tells counts as told 4 s after SIGHUP at the latest
DRAIN_S = 0.25 + 0.05  # the settings' drain grace, and the slack
RELEASE_S = 8.0 + 0.05
LOOKUPS = 12


class Drain:
    """A server that drains from some time on: it refuses what comes, and notes what comes too late."""

    def __init__(self, server: standins.Server) -> None:
        self.server = server
        self.since = 0.0
        self.late: list[str] = []
        server.on_set_up = self.take

    def begin(self) -> None:
        """Begin to drain."""
        self.since = time.monotonic()

    async def take(self, connection: standins.Connection, uid: str, _: dict[int, bytes]) -> bool:
        """Take a set-up, or refuse it."""
        if not self.since:
            return True
        if (after := time.monotonic() - self.since) > DRAIN_S:
            self.late.append(
                f"set-up {uid} was sent to {self.server.name} {after:.2f} s after its drain was told"
            )
        self.server.refuse(connection, uid, "unfit")
        return False


async def preferred(owner: standins.Owner, servers: list[standins.Server]) -> standins.Server:
    """Return the server that the dispatcher sends a task to now."""
    task = standins.Task("lookup", 8.0)
    owner.set_up(task)
    await standins.wait_until(lambda: bool(owner.answers.get(task.uid)), 9.0)
    for server in servers:
        if task.uid in server.tasks:
            return server
    raise standins.CannotRunError("a task was not placed on the new servers")


async def play_reload(dispatcher: standins.Dispatcher, *, trouble: bool) -> None:
    """Replace the configuration file by a broken one, and send SIGHUP."""
    if trouble:
        config = copy.deepcopy(dispatcher.config())
        del config["changelog"]
        config["settings"]["categories"][0]["deadline-s"] = 0.0
        dispatcher.write_config(config)
        text = "the configuration file is now short of the key 'changelog', and has a deadline of 0"
        dispatcher.record.add(dispatcher.name, text)
        dispatcher.signal(standins.signal.SIGHUP)
    await asyncio.sleep(SETTLE_S)


async def case(record: standins.Record, folder: Path, *, trouble: bool) -> list[str]:
    """Play the case; return what was broken."""
    servers = [standins.Server(record, f"s-0000000{number}") for number in (1, 2, 3)]
    for server in servers:
        await server.start()
    lost, *others = servers
    changelog = standins.ChangeLog(record, [lost.entry()])
    await changelog.start()
    dispatcher = standins.Dispatcher(record, folder, changelog)
    dispatcher.start()
    try:
        owner = await dispatcher.front("owner")
        task = standins.Task("ledger-batch", 10.0)
        owner.set_up(task)
        if not await standins.wait_until(lambda: bool(owner.heard(task.uid, "running")), 9.0):
            raise standins.CannotRunError("the task was not placed")
        changelog.tell([server.entry() for server in others])
        if not await standins.wait_until(lambda: all(server.connections for server in servers), 5.0):
            raise standins.CannotRunError("the dispatcher has not connected to the new servers")
        await asyncio.sleep(1.0)  # SIGHUP never comes in the first second
        drain = Drain(await preferred(owner, others))

        await play_reload(dispatcher, trouble=trouble)
        lost.vanish()
        drain.begin()
        changelog.tell([lost.entry("terminated"), drain.server.entry("terminating")])
        ended = time.monotonic()
        await asyncio.sleep(0.5)
        for _ in range(LOOKUPS):
            owner.set_up(standins.Task("lookup", 8.0))
            await asyncio.sleep(0.1)
        remaining_s = ended + RELEASE_S - time.monotonic()
        if not await standins.wait_until(lambda: bool(owner.heard(task.uid, "stop")), remaining_s):
            drain.late.append(f"{task.uid} stands for ever: its server is gone, and no release came for it")
        return drain.late
    finally:
        dispatcher.cleanup()


if __name__ == "__main__":
    standins.play(case, FOLDER)
