"""A client that was away for a second never learns that its task is over: another county's client was told."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import rig as r

NODES = 3
AWAY_S = 1.3
RELEASE_LIMIT_S = 8.05  # if no release could be sent, and 50 ms
OWNER, OTHER = "127.0.0.2", "127.0.0.3"  # the hosts of the two clients
FIRST_UID = 0x51A0000000000900


async def case(rig: r.Rig) -> bool:
    """Let a client leave and come back; its task ends meanwhile, and the release must reach it."""
    nodes = [await r.BinaryNode(rig, f"s-{index + 1:08x}").start() for index in range(NODES)]
    config = rig.config([r.instance(node.name, node.port) for node in nodes])
    await rig.start_dispatcher(config)
    owner = await r.JsonClient.connect(rig, config["listen"], OWNER)
    other = await r.JsonClient.connect(rig, config["listen"], OTHER)
    uid = FIRST_UID
    await owner.launch(uid, "lookup", 8000)
    await other.launch(uid + 0x100, "lookup", 8000, tenant="pruett-county")
    await asyncio.sleep(0.5)
    if not owner.of(uid, "running"):
        raise r.CaseError("the task was not placed")
    if rig.trouble:
        rig.record("owner: leaves")
        await owner.close()
    await asyncio.sleep(0.3)
    node = next(node for node in nodes if uid in node.running)
    ended_at = time.monotonic()
    node.end(uid, 16, node.running.pop(uid))
    await asyncio.sleep(AWAY_S - 0.3)
    if rig.trouble:
        rig.record("owner: is back, and asks for another task")
        owner = await r.JsonClient.connect(rig, config["listen"], OWNER)
        await owner.launch(uid + 1, "lookup", 8000)
    await asyncio.sleep(RELEASE_LIMIT_S)
    for name, client in (("owner", owner), ("other county's client", other)):
        for at, line in client.received:
            rig.record(f"{name}: {at - ended_at:.3f} s after the end: {line['kind']} {line['uid']}")
    return any(at - ended_at <= RELEASE_LIMIT_S for at, _ in owner.of(uid, "stop"))


if __name__ == "__main__":
    r.main(case, Path(__file__).resolve().parent)
