"""A toy node: accepts each task and reports its end after a few seconds, in binary messages.

python examples/toy_node.py 127.0.0.1:3901
"""

from __future__ import annotations

import socketserver
import sys
import threading

from thornshelf.wire import binary

TASK_DURATION_S = 5.0


class Node(socketserver.BaseRequestHandler):
    """Handles one connection of a dispatcher."""

    def handle(self) -> None:
        reader = binary.MessageReader()
        while data := self.request.recv(65536):
            reader.feed(data)
            while (message := reader.next()) is not None:
                self.handle_message(message)

    def handle_message(self, message: binary.Message) -> None:
        name = f"{message.uid:016x}"
        if message.type == binary.SET_UP:
            print(f"{name} runs, class {message.text(binary.CLASS)}", flush=True)
            self.send(binary.ANSWER, message.uid, {binary.DESCRIPTION: b"running on the toy node"})
            threading.Timer(TASK_DURATION_S, self.release, (message.uid, 16)).start()
        elif message.type == binary.RELEASE:
            print(f"{name} was released by the dispatcher", flush=True)
            self.release(message.uid, 31)
        elif message.type == binary.TEST:
            self.send(binary.TESTED, message.uid, {binary.CAUSE: b"\x01", binary.REPORT: b"x0:20;x1:40"})

    def release(self, uid: int, cause: int) -> None:
        self.send(binary.RELEASE, uid, {binary.CAUSE: bytes((cause,)), binary.REPORT: b"x0:20;x1:40"})

    def send(self, kind: int, uid: int, values: dict[int, bytes]) -> None:
        try:
            self.request.sendall(binary.encode(kind, uid, values))
        except OSError:
            print("the dispatcher has disconnected", flush=True)


class Server(socketserver.ThreadingTCPServer):
    """Accepts connections of dispatchers."""

    allow_reuse_address = daemon_threads = True


if __name__ == "__main__":
    host, _, port = sys.argv[1].rpartition(":")
    with Server((host, int(port)), Node) as server:
        server.serve_forever()
