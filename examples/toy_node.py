"""A toy node: it runs each task for a few seconds and says so in the platform's binary messages.

python examples/toy_node.py 127.0.0.1:3901
"""

from __future__ import annotations

import socketserver
import sys
import threading

from thornshelf.wire import binary

RUNS_S = 5.0


class Node(socketserver.BaseRequestHandler):
    """One connection of a dispatcher."""

    def handle(self) -> None:
        reader = binary.MessageReader()
        while data := self.request.recv(65536):
            reader.feed(data)
            while (message := reader.next()) is not None:
                self.take(message)

    def take(self, message: binary.Message) -> None:
        name = f"{message.uid:016x}"
        if message.type == binary.SET_UP:
            print(f"{name} runs, class {message.text(binary.CLASS)}", flush=True)
            self.say(binary.ANSWER, message.uid, {binary.DESCRIPTION: b"running on the toy node"})
            threading.Timer(RUNS_S, self.release, (message.uid, 16)).start()
        elif message.type == binary.RELEASE:
            print(f"{name} is ended by the dispatcher", flush=True)
            self.release(message.uid, 31)
        elif message.type == binary.TEST:
            self.say(binary.TESTED, message.uid, {binary.CAUSE: b"\x01", binary.REPORT: b"x0:20;x1:40"})

    def release(self, uid: int, cause: int) -> None:
        self.say(binary.RELEASE, uid, {binary.CAUSE: bytes((cause,)), binary.REPORT: b"x0:20;x1:40"})

    def say(self, kind: int, uid: int, values: dict[int, bytes]) -> None:
        try:
            self.request.sendall(binary.encode(kind, uid, values))
        except OSError:
            print("the dispatcher is gone", flush=True)


class Server(socketserver.ThreadingTCPServer):
    """Listens."""

    allow_reuse_address = daemon_threads = True


if __name__ == "__main__":
    host, _, port = sys.argv[1].rpartition(":")
    with Server((host, int(port)), Node) as server:
        server.serve_forever()
