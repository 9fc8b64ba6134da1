"""A task is tried at a second gRPC node while the first one still has it: its withdrawal waits for the window."""

from __future__ import annotations

import asyncio
from pathlib import Path

import rig as r
import rig_grpc as g

NODES = 6  # one of six: 17%, of at most 19%
HANG_S = 7.5  # of 6.8 to 23 s
SLACK_S = 0.05
INTERVAL_S = 1 / 15  # about 15 new tasks a second
FIRST_UID = 0x51A0000000000800
SET_UPS = 24
BODY = "record:0123456789abcdef;" * 200  # about 5 KB; a message holds at most 16 KiB


async def case(rig: r.Rig) -> bool:
    """Let one node hang while it has some set-ups; no other node may get them before they are given up there."""
    nodes = [await g.GrpcNode(rig, f"s-{index + 1:08x}").start() for index in range(NODES)]
    config = rig.config([r.instance(node.name, node.port) for node in nodes])
    await rig.start_dispatcher(config, '[grpc]\nnodes = "all"\n')
    client = await r.JsonClient.connect(rig, config["listen"])
    await client.launch(FIRST_UID, "lookup", 8000)
    await asyncio.sleep(1.0)
    node = max(nodes, key=lambda node: len(node.running))
    if FIRST_UID not in node.running:
        raise r.CaseError("no task stands")
    if rig.trouble:
        rig.record(f"{node.name}: hangs")
        node.hung = True
    uids = range(FIRST_UID + 1, FIRST_UID + 1 + SET_UPS)
    for uid in uids:
        await client.launch(uid, "lookup", 8000, BODY)
        await asyncio.sleep(INTERVAL_S)
    await asyncio.sleep(HANG_S - SET_UPS * INTERVAL_S)
    rig.record(f"{node.name}: goes on")
    node.hung = False
    node.handle_orders()
    await asyncio.sleep(3.0)
    twice = 0
    for uid in uids:
        first, *later = sorted((n for n in nodes if uid in n.arrived), key=lambda n: n.arrived[uid])
        for second in later:
            until = first.over.get(uid, float("inf"))
            early_s = until - second.arrived[uid]
            started = [n.name for n in nodes if uid in n.started]
            order = "before" if early_s > 0 else "after"
            rig.record(
                f"{uid:016x}: whole at {second.name} {abs(early_s):.3f} s {order} the attempt at {first.name} "
                f"was over; started at {started}"
            )
            twice += early_s > SLACK_S
    rig.record(f"tasks with two attempts out at once: {twice} of {SET_UPS}")
    return not twice


if __name__ == "__main__":
    r.main(case, Path(__file__).resolve().parent)
