"""A dispatcher is killed and started again; tasks end before the owner's set-ups with ``at`` have arrived."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

DOWN_S = 0.6  # how long the dispatcher is down
PIECES_S = 0.04  # between the pieces of a line
RELEASE_S = (
    8.0 + 0.2 + 0.05
)  # by the rules: after the end, what is handed over counting 0.2 s later, and the slack


async def place(owner: standins.Owner, tasks: list[standins.Task]) -> None:
    """Have all tasks placed."""
    for task in tasks:
        owner.set_up(task)
    if not await standins.wait_until(lambda: all(owner.heard(task.uid, "running") for task in tasks), 9.0):
        raise standins.CannotRunError("not all tasks were placed")


async def restart(
    dispatcher: standins.Dispatcher, server: standins.Server, while_down: standins.Task
) -> standins.Owner:
    """Kill the dispatcher and start it again; one task ends in between."""
    dispatcher.kill()
    await asyncio.sleep(DOWN_S / 2)
    server.end(while_down.uid)
    await asyncio.sleep(DOWN_S / 2)
    dispatcher.start()
    return await dispatcher.front("owner")


async def hand_over(owner: standins.Owner, server: standins.Server, tasks: list[standins.Task]) -> None:
    """Hand over the tasks of which no release has come; the last one ends while its line is on the way."""
    *others, crossing = tasks
    for task in others:
        owner.set_up(task, server.name)
    line = json.dumps(crossing.line(server.name)).encode() + b"\n"
    owner.record.add(owner.name, f"sends in two pieces {line.decode().strip()}")
    owner.write(line[:60])
    await asyncio.sleep(PIECES_S)
    server.end(crossing.uid)
    await asyncio.sleep(PIECES_S)
    owner.write(line[60:])
    owner.record.add(owner.name, f"has sent the second piece of {crossing.uid}")


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
        tasks = [standins.Task("ledger-batch", 10.0) for _ in range(3)]
        while_down, later, crossing = tasks
        await place(owner, tasks)
        if trouble:
            owner = await restart(dispatcher, server, while_down)
            await hand_over(owner, server, tasks)
        else:
            server.end(while_down.uid)
            server.end(crossing.uid)
        await asyncio.sleep(2.0)
        server.end(later.uid)
        await standins.wait_until(lambda: all(owner.heard(task.uid, "stop") for task in tasks), RELEASE_S)
        ends = {
            "while the dispatcher was down": while_down,
            "as it was handed over": crossing,
            "later": later,
        }
        return [
            f"{task.uid}, which ended {when}, stands for ever: no release came for it"
            for when, task in ends.items()
            if not owner.heard(task.uid, "stop")
        ]
    finally:
        dispatcher.cleanup()


if __name__ == "__main__":
    standins.play(case, FOLDER)
