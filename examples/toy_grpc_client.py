"""A toy gRPC client: requests tasks on one Dispatch stream, with grpcio (`pip install grpcio`).

python -m examples.toy_grpc_client 127.0.0.1:3869 3
"""

from __future__ import annotations

import secrets
import sys

import grpc

from thornshelf.wire import placement_pb2 as pb

if __name__ == "__main__":
    count = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    requests = [
        pb.ClientMessage(
            ask=pb.Ask(
                uid=secrets.randbits(64), task_class="lookup", left_ms=8000, tenant="pruett-county",
                key=secrets.randbits(53), hint_ms=5000, cores=1, memory=2, service=7, description=b"toy task",
            )
        )
        for _ in range(count)
    ]  # fmt: skip
    with grpc.insecure_channel(sys.argv[1]) as channel:
        dispatch = channel.stream_stream(
            "/thornshelf.v1.Placement/Dispatch", pb.ClientMessage.SerializeToString, pb.Verdict.FromString
        )
        for verdict in dispatch(iter(requests), timeout=60):
            print(f"{verdict.uid:016x}", verdict.WhichOneof("kind"), verdict.binding.description.decode())
