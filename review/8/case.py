"""Bad clients name a node that can't be encoded; each line aborts a turn, and usual requests get no answer."""

from __future__ import annotations

import asyncio
import contextlib
import os
import time
from pathlib import Path

import rig as r

NODES = 4
# What the bad clients name as the task's node, in JSON. NAME=0001 is the control: a name of a usual form.
NAME = os.environ.get("NAME", "\\ud800").encode()
BAD_CLIENTS = 6
LINES = 600  # hundreds of requests at once  # hundreds of requests at once
TROUBLE_S = 20.0
REQUESTS_PER_S = 5
LEFT_MS = 4000
LIMIT_S = LEFT_MS / 1000 + 0.5 + 0.05  # up to half a second after its time a request only earns nothing
FIRST_UID = 0x51A0000000000400


async def bad_client(rig: r.Rig, address: str, number: int, until: float) -> None:
    """Send hundreds of requests at once, read what comes, and come again."""
    host, _, port = address.rpartition(":")
    count = 0
    while time.monotonic() < until:
        lines = b"".join(
            b'{"kind":"launch","uid":"%016x","meta":{"class":"lookup","left":"4000","tenant":"hollis-county",'
            b'"key":"1","extras":"cores:1;memory:1;at:s-%s"},"body":"x"}\n'
            % (0xBAD0000000000000 + number * 0x100000000 + count * LINES + index, NAME)
            for index in range(LINES)
        )
        count += 1
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            reader, writer = await asyncio.open_connection(host, int(port))
            rig.writers.append(writer)
            writer.write(lines)
            await writer.drain()
            await asyncio.wait_for(reader.read(65536), 0.5)
            writer.close()
    rig.record(f"bad client {number}: sent {count} times {LINES} lines")


async def case(rig: r.Rig) -> bool:
    """Let bad clients come beside a usual one, whose requests must be answered in time."""
    nodes = [await r.BinaryNode(rig, f"s-{index + 1:08x}").start() for index in range(NODES)]
    config = rig.config([r.instance(node.name, node.port) for node in nodes])
    await rig.start_dispatcher(config)
    client = await r.JsonClient.connect(rig, config["listen"])
    until = time.monotonic() + TROUBLE_S
    bad = []
    if rig.trouble:
        bad = [asyncio.ensure_future(bad_client(rig, config["listen"], n, until)) for n in range(BAD_CLIENTS)]
    sent: dict[int, float] = {}
    while time.monotonic() < until:
        uid = FIRST_UID + len(sent)
        sent[uid] = time.monotonic()
        await client.launch(uid, "lookup", LEFT_MS)
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*bad)
    await asyncio.sleep(LIMIT_S + 1)
    lost = 0
    for uid, at in sent.items():
        answers = client.of(uid, "running", "stop")
        seconds = answers[0][0] - at if answers else None
        rig.record(
            f"client: answer to {uid:016x}: {answers[0][1]['kind'] if answers else None} after {seconds}"
        )
        lost += seconds is None or seconds > LIMIT_S
    pid = rig.processes[0].pid
    status = Path(f"/proc/{pid}/status").read_text()
    rig.record(
        "memory: " + " ".join(line for line in status.splitlines() if line.startswith(("VmHWM", "VmRSS")))
    )
    rig.record(f"lost: {lost} of {len(sent)}")
    return not lost


if __name__ == "__main__":
    r.main(case, Path(__file__).resolve().parent)
