"""A toy client: requests tasks in JSON lines and prints all answers until the tasks have ended.

python examples/toy_client.py 127.0.0.1:3868 3
"""

from __future__ import annotations

import json
import secrets
import socket
import sys

if __name__ == "__main__":
    host, _, port = sys.argv[1].rpartition(":")
    count = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    with socket.create_connection((host, int(port))) as sock, sock.makefile("rw", newline="\n") as lines:
        for _ in range(count):
            meta = {
                "class": "lookup",
                "left": "8000",
                "tenant": "hollis-county",
                "key": secrets.token_hex(8),
                "hint": "5000.0",
                "extras": "cores:1;memory:2;service:00000000b4d65521",
            }
            request = {"kind": "launch", "uid": secrets.token_hex(8), "meta": meta, "body": "toy task"}
            lines.write(json.dumps(request) + "\n")
        lines.flush()
        for line in lines:
            answer = json.loads(line)
            print(
                answer["kind"],
                answer["uid"],
                answer.get("reason", ""),
                answer.get("body", ""),
                answer["meta"],
            )
            count -= answer["kind"] == "stop"  # rejected, failed or ended
            if count == 0:
                break
