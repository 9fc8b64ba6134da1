"""A node that hangs for some seconds is never told of again: the dispatcher has reset its stream and doesn't know."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import rig as r
import rig_grpc as g

NODES = 6  # one of six: 17%, of at most 19%
HANG_S = 7.5  # of 6.8 to 23 s
RELEASE_LIMIT_S = 8.05  # and 50 ms, as on sockets
FIRST_UID = 0x51A0000000000200
STANDING = 4
SET_UPS = 60  # in all, while the node hangs
SET_UPS_PER_S = 15
BODY = "record:0123456789abcdef;" * 640  # about 15 KB; a message holds at most 16 KiB


async def case(rig: r.Rig) -> bool:
    """Let one node hang while it is sent set-ups; then its tasks end, and each end must reach the client."""
    nodes = [await g.GrpcNode(rig, f"s-{index + 1:08x}").start() for index in range(NODES)]
    config = rig.config([r.instance(node.name, node.port) for node in nodes])
    await rig.start_dispatcher(config, '[grpc]\nnodes = "all"\n')
    client = await r.JsonClient.connect(rig, config["listen"])
    uids = range(FIRST_UID, FIRST_UID + STANDING)
    for uid in uids:
        await client.launch(uid, "lookup", 8000)
        await asyncio.sleep(0.2)
    await asyncio.sleep(0.8)
    node = max(nodes, key=lambda node: len(node.running))
    standing = [uid for uid in uids if uid in node.running]
    if not standing or not all(client.of(uid, "running") for uid in standing):
        raise r.CaseError("no task stands")
    if rig.trouble:
        rig.record(f"{node.name}: hangs")
        node.hung = True
    for index in range(SET_UPS):
        await client.launch(FIRST_UID + 0x100 + index, "lookup", 8000, BODY)
        await asyncio.sleep(1 / SET_UPS_PER_S)
    await asyncio.sleep(HANG_S - SET_UPS / SET_UPS_PER_S)
    rig.record(f"{node.name}: goes on; it has started {len(node.started)} tasks so far")
    node.hung = False
    node.handle_orders()
    await asyncio.sleep(6.0)
    ended_at = time.monotonic()
    for uid in standing:
        node.end(uid)
    await asyncio.sleep(RELEASE_LIMIT_S + 1.0)
    held = True
    for uid in standing:
        releases = [at - ended_at for at, _ in client.of(uid, "stop")]
        rig.record(f"client: releases of {uid:016x}, seconds after its end: {releases}")
        held = held and len(releases) == 1 and releases[0] <= RELEASE_LIMIT_S
    return held


if __name__ == "__main__":
    r.main(case, Path(__file__).resolve().parent)
