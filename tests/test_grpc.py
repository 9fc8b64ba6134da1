"""gRPC-specific behaviour: status codes, timeouts, RST_STREAM, GOAWAY, flow control, interoperation with grpcio."""

from __future__ import annotations

import queue
from collections.abc import Callable, Iterator
from concurrent import futures
from typing import Any

import grpc as grpcio
import pytest
from h2.settings import SettingCodes

from thornshelf.lab.fakes.cluster import DESCRIPTION, GRPC, JSON, FakeCluster, NodeBehavior, ReceivedMessage
from thornshelf.loop import Chunk
from thornshelf.wire import grpc, http2
from thornshelf.wire import placement_pb2 as pb
from thornshelf.wire.errors import WireError

NON_IDEMPOTENT_CLASS = "ledger-batch"


def place(
    cluster: FakeCluster, behavior: NodeBehavior, task_class: str = "lookup", **headers: str
) -> dict[str, str]:
    """Makes a ``Place`` call, and returns its trailers."""
    client = cluster.client
    call = client.open_stream("Place", **headers)
    client.h2.send(call, grpc.encode_message(client.make_ask(5, behavior, task_class)))
    client.h2.finish(call, [])
    cluster.run_until(lambda: call in client.status)
    return dict(client.status[call])


@pytest.mark.parametrize(
    ("behavior", "task_class", "status"),
    [
        (NodeBehavior.RUN, NON_IDEMPOTENT_CLASS, grpc.OK),
        (NodeBehavior.REFUSE, "lookup", grpc.RESOURCE_EXHAUSTED),
        (NodeBehavior.TRUNCATE_BINDING, NON_IDEMPOTENT_CLASS, grpc.ABORTED),
        (NodeBehavior.RUN, "no-such-class", grpc.INVALID_ARGUMENT),
    ],
)
def test_place_reports_its_outcome_by_status(behavior: NodeBehavior, task_class: str, status: int) -> None:
    cluster = FakeCluster(GRPC, GRPC)
    trailers = place(cluster, behavior, task_class)
    assert trailers["grpc-status"] == str(status)
    assert trailers.get("grpc-retry-pushback-ms") == ("1000" if status == grpc.RESOURCE_EXHAUSTED else None)
    assert cluster.client.events == ({5: [("placed", DESCRIPTION)]} if status == grpc.OK else {})


def test_grpc_timeout_ends_the_call_and_withdraws_the_attempt() -> None:
    cluster = FakeCluster(GRPC, GRPC)
    trailers = place(cluster, NodeBehavior.IGNORE, grpc_timeout="150m")
    assert trailers["grpc-status"] == str(grpc.DEADLINE_EXCEEDED)
    cluster.run_until(lambda: any(("release", 5) in node.received_kinds for node in cluster.nodes))
    client = cluster.client
    client.stream_id = client.open_stream("Dispatch", grpc_timeout="100m")
    client.send_request(6, NodeBehavior.IGNORE)
    cluster.run_until(lambda: client.stream_id in client.status)
    assert client.status[client.stream_id]["grpc-status"] == str(grpc.DEADLINE_EXCEEDED)
    cluster.run_until(lambda: any(("release", 6) in node.received_kinds for node in cluster.nodes))


@pytest.mark.parametrize(
    ("method", "headers", "status"),
    [
        ("NoSuch", {}, grpc.UNIMPLEMENTED),
        ("Dispatch", {"grpc_timeout": "soon"}, grpc.INVALID_ARGUMENT),
        ("Dispatch", {"grpc_encoding": "gzip"}, grpc.UNIMPLEMENTED),
    ],
)
def test_calls_that_cannot_be_served_get_an_error_status(
    method: str, headers: dict[str, str], status: int
) -> None:
    cluster = FakeCluster(GRPC, GRPC)
    call = cluster.client.open_stream(method, **headers)
    cluster.run_until(lambda: call in cluster.client.status)
    assert cluster.client.status[call]["grpc-status"] == str(status)
    cluster.client.send_request(5, NodeBehavior.RUN)  # the connection is still usable
    cluster.wait_for_events(5)


def test_malformed_message_ends_only_its_stream() -> None:
    cluster = FakeCluster(GRPC, GRPC)
    call = cluster.client.open_stream("Dispatch")
    cluster.client.h2.send(call, b"\x00\x00\x00\x00\x02\xff\xff")
    cluster.run_until(lambda: call in cluster.client.status)
    assert cluster.client.status[call]["grpc-status"] == str(grpc.INTERNAL)
    cluster.client.send_request(5, NodeBehavior.RUN)
    cluster.wait_for_events(5)


def test_rst_stream_by_a_client_cancels_its_open_tasks() -> None:
    cluster = FakeCluster(GRPC, GRPC)
    cluster.client.send_request(5, NodeBehavior.IGNORE)
    cluster.run_until(lambda: cluster.offer_count(5) == 1)
    cluster.client.h2.reset(cluster.client.stream_id)
    cluster.run_until(lambda: any(("release", 5) in node.received_kinds for node in cluster.nodes))
    assert cluster.service.core.open_count == 0


def test_refused_stream_rejects_the_task() -> None:
    """REFUSED_STREAM proves that the task did not run: even one that must not run twice is rejected, not failed."""
    cluster = FakeCluster(GRPC, GRPC)
    for node in cluster.nodes:
        refuse: Any = lambda _, responder: responder.h2.reset(responder.stream, http2.REFUSED_STREAM)  # noqa: E731
        node.handle_message = refuse  # type: ignore[method-assign]
    cluster.client.send_request(5, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS)
    assert cluster.wait_for_events(5) == [("refused", "1000")]


def test_after_goaway_by_a_node_open_attempts_continue_and_new_ones_wait_for_a_new_connection() -> None:
    cluster = FakeCluster(GRPC, GRPC, node_count=1)
    node, default_order = cluster.nodes[0], cluster.nodes[0].handle_message
    held: list[Any] = []

    def order(order: ReceivedMessage, responder: Any) -> None:
        if not held:
            node.received_kinds.append((order.kind, order.uid))
            held.append(responder)
            responder.h2.go_away()
        else:
            default_order(order, responder)

    node.handle_message = order  # type: ignore[method-assign]
    cluster.client.send_request(5, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS)
    cluster.run_until(lambda: bool(held))
    cluster.run_for(20)
    cluster.client.send_request(6, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS)
    cluster.run_for(20)
    assert node.offer_count(6) == 0  # a connection after GOAWAY accepts no new attempt
    held[0].bind(5)
    assert cluster.wait_for_events(5) == cluster.wait_for_events(6) == [("placed", DESCRIPTION)]
    assert len(node.streams) == 2
    assert node.offer_count(5) == 1


def test_a_dispatcher_that_shuts_down_answers_open_requests_and_closes() -> None:
    cluster = FakeCluster(GRPC, GRPC)
    cluster.client.send_request(5, NodeBehavior.IGNORE, left=1500)
    cluster.run_until(lambda: cluster.offer_count(5) == 1)
    cluster.service.shut_down()
    assert cluster.wait_for_events(5) == [("failed", None)]
    cluster.run_until(lambda: cluster.client.closed or not cluster.service.core.open_count)


def test_flow_control_sends_no_more_than_the_windows_allow() -> None:
    pipes: dict[bool, bytearray] = {True: bytearray(), False: bytearray()}

    def emit(client: bool) -> Callable[[bytes], Chunk]:
        def write(data: bytes) -> Chunk:
            pipes[client] += data
            return Chunk(data)

        return write

    def deliver(receiver: http2.Http2Connection) -> list[http2.Event]:
        data = bytes(pipes[not receiver.is_client])
        pipes[not receiver.is_client].clear()
        return receiver.receive(data)

    client, server = http2.Http2Connection(True, emit(True)), http2.Http2Connection(False, emit(False))
    client._h2.update_settings({SettingCodes.INITIAL_WINDOW_SIZE: 10})
    stream = client.open_stream(
        [(":method", "POST"), (":scheme", "http"), (":path", "/"), (":authority", "a")]
    )
    deliver(server)
    deliver(client)
    server.respond(stream, [(":status", "200")])
    sent = server.send(stream, grpc.encode_message(pb.Binding(description=b"x" * 100)))
    blocked = server.send(stream, grpc.encode_message(pb.Binding(description=b"y")))
    assert sent.offset == 10
    assert not sent.fully_sent
    assert server.retract(stream, blocked)
    assert not server.retract(stream, sent)
    received: list[http2.Event] = []
    for _ in range(40):
        received += deliver(client)
        deliver(server)
    messages = [event.data for event in received if isinstance(event, http2.MessageReceived)]
    assert [pb.Binding.FromString(data).description for data in messages] == [b"x" * 100]


def test_nothing_is_sent_after_a_broken_connection() -> None:
    server = http2.Http2Connection(False, Chunk)
    with pytest.raises(WireError):
        server.receive(b"no preface at all, and much more than 24 bytes")
    assert not server.send(1, b"late").chunks
    assert server.streams == 0


def serve_from_thread(cluster: FakeCluster, work: Callable[[], Any]) -> Any:
    """Runs grpcio's blocking calls in a thread while the loop runs here."""
    with futures.ThreadPoolExecutor(1) as pool:
        future = pool.submit(work)
        cluster.run_until(future.done)
        return future.result()


def test_a_grpcio_client_is_served() -> None:
    cluster = FakeCluster(JSON, GRPC)
    address = "%s:%d" % cluster.service.frontends[1].listener.address
    request = pb.Ask(
        uid=5, task_class=NON_IDEMPOTENT_CLASS, left_ms=8000, key=5, cores=1, memory=2, service=7
    )

    def work() -> tuple[Any, ...]:
        with grpcio.insecure_channel(address) as channel:
            method = "/thornshelf.v1.Placement/"
            place = channel.unary_unary(method + "Place", pb.Ask.SerializeToString, pb.Verdict.FromString)
            check = channel.unary_unary(
                method + "Check", pb.CheckRequest.SerializeToString, pb.CheckReply.FromString
            )
            dispatch = channel.stream_stream(
                method + "Dispatch", pb.ClientMessage.SerializeToString, pb.Verdict.FromString
            )
            passed = check(pb.CheckRequest(), timeout=10).passed
            request.description = NodeBehavior.RUN.value
            placed = place(request, timeout=10).binding.description
            request.uid, request.description = 7, NodeBehavior.IGNORE.value
            with pytest.raises(grpcio.RpcError) as late:
                place(request, timeout=0.3)
            request.uid, request.description = 8, NodeBehavior.END.value
            verdicts = dispatch(iter([pb.ClientMessage(ask=request)]), timeout=10)
            kinds = [verdict.WhichOneof("kind") for verdict in verdicts]
            request.uid, request.description = 6, NodeBehavior.REFUSE.value
            with pytest.raises(grpcio.RpcError) as refused:
                place(request, timeout=10)
            return passed, placed, refused.value.code(), late.value.code(), kinds

    assert serve_from_thread(cluster, work) == (
        True,
        DESCRIPTION,
        grpcio.StatusCode.RESOURCE_EXHAUSTED,
        grpcio.StatusCode.DEADLINE_EXCEEDED,
        ["binding", "release"],
    )


class GrpcioNode(grpcio.GenericRpcHandler):  # type: ignore[misc]
    """A node on a grpcio server: it runs each task until its release, and answers probes."""

    def __init__(self) -> None:
        self.orders: queue.Queue[tuple[str, int]] = queue.Queue()

    def service(self, details: Any) -> Any:
        if details.method.endswith("/Bind"):
            return grpcio.stream_stream_rpc_method_handler(
                self.bind, pb.NodeOrder.FromString, pb.NodeReport.SerializeToString
            )
        return grpcio.unary_unary_rpc_method_handler(
            lambda request, context: pb.Load(fields={"x0": 1.0}),
            pb.ProbeRequest.FromString,
            pb.Load.SerializeToString,
        )

    def bind(self, orders: Iterator[pb.NodeOrder], context: Any) -> Iterator[pb.NodeReport]:
        for order in orders:
            self.orders.put((order.WhichOneof("kind") or "", order.uid))
            if order.HasField("offer"):
                yield pb.NodeReport(uid=order.uid, binding=pb.Binding(description=order.offer.description))
            else:
                yield pb.NodeReport(uid=order.uid, end=pb.End(outcome=pb.CANCELLED))


def test_a_grpcio_server_works_as_a_node() -> None:
    handler = GrpcioNode()
    server = grpcio.server(futures.ThreadPoolExecutor(4), handlers=(handler,))
    port = server.add_insecure_port("127.0.0.1:0")
    server.start()
    try:
        cluster = FakeCluster(JSON, GRPC, node_count=1)
        cluster.nodes[0].port = port
        cluster.update_lifecycle(0, "in_service")  # moves the node to the address of the grpcio server
        cluster.run_for(10)
        cluster.client.send_request(5, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS)
        assert cluster.wait_for_events(5) == [("placed", NodeBehavior.RUN.value)]
        cluster.service.core.endpoints.nodes[1].check_health()
        cluster.client.cancel(5)
        cluster.run_until(lambda: handler.orders.qsize() == 2)
        assert [handler.orders.get(), handler.orders.get()] == [("offer", 5), ("release", 5)]
    finally:
        server.stop(None).wait(10)
