"""A whole dispatcher: loop, core, fronts, nodes, change log and log. Embed it, or see ``__main__``."""

from __future__ import annotations

import gc
import os
import signal
import time
import traceback
from collections.abc import Callable, Generator
from dataclasses import replace
from typing import TYPE_CHECKING

from thornshelf.components import create_components
from thornshelf.configuration import CLIENTS_SHARE, OVERHEAD, RESERVED_SHARE, Config, ConfigError
from thornshelf.core import Dispatcher, EndpointListUpdate, LogFunction, NodeConnection, NodeEndpoint
from thornshelf.core.dispatcher import ENDPOINT_LIST_TIMEOUT_US
from thornshelf.discovery.endpoint_watch import EndpointWatch, decode_events
from thornshelf.errors import InternalError, StartupError
from thornshelf.frontends.connection_budget import ConnectionBudget
from thornshelf.frontends.json_lines import JsonLinesFrontend
from thornshelf.loop import Loop, Wait
from thornshelf.loop.loop import IN
from thornshelf.nodes.binary import BinaryNodeConnection
from thornshelf.nodes.connection_pool import ConnectionPool
from thornshelf.syslog import Syslog
from thornshelf.wire.errors import WireError

if TYPE_CHECKING:
    from thornshelf.control.tables import Catalog
    from thornshelf.frontends.admission_filter import AdmissionFilter
    from thornshelf.frontends.grpc import GrpcFrontend
    from thornshelf.socket_handover import InheritedSockets
    from thornshelf.translation.translator import Translator

SHUTDOWN_DELAY_US = 750_000  # after SIGTERM new requests keep coming for so long
HAND_OVER_US = 2_000_000  # clients with open set-ups are waited for so long beyond the longest deadline
SPARE_NODES = 16  # connections to nodes that are about to join
LINGER_US = 50_000  # for last lines to leave
FLUSH_TIMEOUT_US = 1_000_000  # and so long, at most, for those that their readers are slow to take


def descriptor_limits(config: Config) -> tuple[int, int]:
    """The descriptors that clients and nodes share, and how many of them are the clients' in any case."""
    if config.admission is not None:
        return config.max_descriptors, config.max_descriptors  # the door and its ledger count
    total = config.max_descriptors - min(OVERHEAD, config.max_descriptors // RESERVED_SHARE)
    return total, min(total - 1, config.max_descriptors // CLIENTS_SHARE + 1)


def refuse(fault: WireError) -> None:
    """A configuration is good as a whole or not at all."""
    raise fault


class Service:
    """One dispatcher."""

    def __init__(
        self,
        config: Config,
        loop: Loop | None = None,
        log: LogFunction | None = None,
        reread: Callable[[], Config] | None = None,
    ) -> None:
        self.config, self._reread = config, reread
        self.settings = config.settings  # as the core has them: a part may have them for fewer dispatchers
        self.loop = loop or Loop()
        # The one edge between Unix time and the loop's clock.
        self._unix_offset_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000
        self.log = log or Syslog(
            self.loop, config.name, "thornshelf", self._unix_offset_us, config.syslog_collector
        )
        self.loop.on_fault = self._fault
        self.inherited = self._inherit()
        self.admission_filter: AdmissionFilter | None = None
        self.translator: Translator | None = None
        self.node_factories: list[Callable[[int, NodeEndpoint, Dispatcher], NodeConnection | None]] = []
        self.endpoint_listeners: list[Callable[[EndpointListUpdate], None]] = []
        self.endpoint_filter: Callable[[EndpointListUpdate], EndpointListUpdate] | None = (
            None  # to the nodes that this dispatcher holds
        )
        self.catalog: Catalog | None = None
        self.components = create_components(self)
        for part in self.components:
            part.prepare()
        self.core = self._make_core(config)
        try:
            since, changes = decode_events(config.initial_endpoints, 0, self.monotonic_us, refuse)
        except WireError as fault:
            raise ConfigError(f"known: {fault}") from None
        for change in changes:
            self._narrowed(change)
        self._since = since
        self.config = replace(
            config, initial_endpoints={}
        )  # read once; on a large fleet it is most of the process's memory
        connections = ConnectionPool(lambda: self.connection_budget.max_nodes)
        needed = lambda: max(len(connections), len(self.core.endpoints.nodes) + SPARE_NODES)  # noqa: E731
        self.connection_budget = ConnectionBudget(*descriptor_limits(config), needed)
        if config.admission is None:
            self.core.node_connections = connections
        handed = self.inherited.sockets.get("listen") if self.inherited is not None else None
        try:
            self.json_frontend = JsonLinesFrontend(
                self.loop, self.core, config.listen, self.connection_budget, self.admission_filter, handed
            )
        except OSError as fault:
            raise ConfigError(f"listen: {fault.strerror}: {config.listen[0]}:{config.listen[1]}") from None
        self.frontends: list[JsonLinesFrontend | GrpcFrontend] = [self.json_frontend]
        self.endpoint_watch: EndpointWatch | None = None
        self._follow(config.endpoint_source)
        if self.endpoint_watch is not None:
            # Guards against offers to nodes whose drain was told while this process was starting.
            self.core.is_endpoint_list_stale = (
                lambda: self.endpoint_watch is not None and not self.endpoint_watch.has_synced
            )
            self.loop.after(ENDPOINT_LIST_TIMEOUT_US, lambda: None)  # a turn, should none come by itself
        self._ending = self._succeeding = False
        for part in self.components:
            part.start()

    def unix_ms(self, us: int) -> int:
        """A time of the loop's clock as Unix milliseconds."""
        return (us + self._unix_offset_us) // 1000

    def _narrowed(self, change: EndpointListUpdate) -> EndpointListUpdate:
        """The core hears of the nodes that this dispatcher holds; and so do its parts."""
        told = change if self.endpoint_filter is None else self.endpoint_filter(change)
        self.core.update_endpoints(told)
        return told

    def _listed(self, change: EndpointListUpdate) -> None:
        """The change log's word; a part's fault in hearing it must not keep back the rest of an answer."""
        change = self._narrowed(change)
        for call in self.endpoint_listeners:
            try:
                call(change)
            except Exception as fault:
                self._fault(fault)

    def monotonic_us(self, unix_us: int) -> int:
        """Unix time on the loop's clock."""
        return unix_us - self._unix_offset_us

    def close(self) -> None:
        """Drop everything at once."""
        for front in self.frontends:
            front.listener.close()
        if self.admission_filter is not None:
            self.admission_filter.close()
        self.loop.close()

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then finish what is open."""
        self._watch_signals()
        self.log(6, "dispatcher-started", {"name": self.config.name} | self._addresses(), "ready")
        gc.collect()
        gc.freeze()
        if self.inherited is not None and self.inherited.channel is not None:
            from thornshelf.socket_handover import READY_MESSAGE

            self.inherited.channel.send(READY_MESSAGE)
            self.loop.spawn(self._take_over(self.inherited))
        self.loop.run()
        self.log(6, "dispatcher-stopped", dict(self.core.counters), "ended")
        for part in self.components:
            part.stop()
        if isinstance(self.log, Syslog):
            self.log.flush()

    def _addresses(self) -> dict[str, object]:
        """Where the fronts listen."""
        return {
            name: "{}:{}".format(*front.listener.address)
            for name, front in zip(("listen", "grpc"), self.frontends, strict=False)
        }

    def reload(self) -> None:
        """Read the configuration again; a faulty one leaves the old in force."""
        if self._reread is None:
            self.log(5, "config-reloaded", {}, "nothing to read the configuration from")
            return
        try:
            config, waiting = self.config.reloaded(self._reread())
        except ConfigError as fault:
            self.log(4, "config-reloaded", {"kept": "old", "code": fault.code}, str(fault))
            return
        self.config = config
        self.connection_budget.total, self.connection_budget.client_floor = descriptor_limits(config)
        for part in self.components:
            part.reload(config)
        self._follow(config.endpoint_source)
        values: dict[str, object] = {"restart": ",".join(waiting)} if waiting else {}
        said = "; what changed under 'restart' waits for one" if waiting else ""
        self.log(5, "config-reloaded", values, f"configuration read again{said}")

    def _follow(self, address: tuple[str, int] | None) -> None:
        """Follow the change log at an address, from the last event that is known."""
        follower = self.endpoint_watch
        if address is None:
            if follower is not None:
                self._since, self.endpoint_watch = follower.last_sequence, None
                follower.stop()
        elif follower is None:
            self.endpoint_watch = EndpointWatch(
                self.loop, address, self._since, self.monotonic_us, self._listed, self.log
            )
        elif follower.address != address:
            follower.reconnect_to(address)

    def hand_over(self) -> None:
        """Start a successor on the same listening sockets, and end once it is ready."""
        if self._ending or self._succeeding:
            return
        self._succeeding = True
        self.loop.spawn(self._succeed())

    def _succeed(self) -> Generator[Wait, int, None]:
        from thornshelf import socket_handover
        from thornshelf.core.state_transfer import export_state

        sockets = {
            name: front.listener.sock for name, front in zip(("listen", "grpc"), self.frontends, strict=False)
        }
        held = self.admission_filter.descriptor_ledger.open_count if self.admission_filter is not None else 0
        try:
            child, channel = socket_handover.spawn_successor(
                socket_handover.own_command_line(), sockets, held
            )
        except OSError as fault:
            why = f"no successor could be started: {fault.strerror}"
            self.log(3, "succession", {"kept": "old", "code": StartupError.code}, why)
            self._succeeding = False
            return
        self.log(5, "succession", {"pid": child}, "a successor was started")
        why = yield from socket_handover.await_ready(self.loop, channel)
        if why:
            # A successor that fails leaves this one serving, as if nothing had been asked for.
            self.log(3, "succession", {"pid": child, "kept": "old", "code": StartupError.code}, why)
            self.loop.unregister(channel.fileno())
            channel.close()
            for signal_number in (0, signal.SIGTERM, signal.SIGKILL):
                os.kill(child, signal_number)  # it is ours, and not waited for yet: the number is its own
                until = self.loop.now + 100_000
                while self.loop.now < until:
                    yield Wait(until=until)
                if os.waitpid(child, os.WNOHANG)[0]:
                    break
            self._succeeding = False
            return
        self._ending = True
        for front in self.frontends:
            front.listener.close()
        # Connections are closed as they come to rest; a set-up that crosses a close is sent again by its client.
        longest_s = max((one.deadline_s for one in self.config.settings.classes), default=0.0)
        until = self.loop.now + int(longest_s * 1e6) + HAND_OVER_US
        while self.loop.now < until and (
            self.core.open_count or self.core.inbox or self.connection_budget.client_count
        ):
            for front in self.frontends:
                front.shutting_down = True
                front.close_idle()
            yield Wait(until=self.loop.now + 5_000)
        # What the last connections left behind (releases that were not heard) is still on its way to the core.
        until = self.loop.now + LINGER_US
        while self.loop.now < until or self.core.inbox:
            yield Wait(until=self.loop.now + 2_000)
        standing = export_state(self.core)
        sent = yield from socket_handover.send_state(self.loop, channel, standing)
        self.log(5, "succession", {"standing": len(standing), "sent": sent}, "handed over")
        yield Wait(until=self.loop.now + LINGER_US)
        self.loop.stop()

    def _take_over(self, handed: InheritedSockets) -> Generator[Wait, int, None]:
        """What stands at a predecessor, as it ends."""
        from thornshelf import socket_handover
        from thornshelf.core.state_transfer import import_record, reconnect_nodes

        channel = handed.channel
        if channel is None:
            return
        standing = yield from socket_handover.receive_state(channel)
        self.loop.unregister(channel.fileno())  # else the next connection with its number is never heard
        channel.close()
        if self.admission_filter is not None:
            self.admission_filter.predecessor_ended(self.config.admission, self.config.max_descriptors)
        if standing is None:
            self.log(4, "succession", {}, "the predecessor ended without handing over what stands")
            return
        taken = sum(import_record(self.core, one) for one in standing)
        reconnect_nodes(self.core)
        self.log(5, "succession", {"standing": taken}, "taken over from the predecessor")

    def shut_down(self) -> None:
        """A planned stop: serve on while requests still come, then finish the open ones."""
        if not self._ending:
            self._ending = True
            self.log(5, "shutdown-started", {"open": self.core.open_count}, "told to end")
            self.loop.spawn(self._end())

    def _end(self) -> Generator[Wait, int, None]:
        until = self.loop.now + SHUTDOWN_DELAY_US
        while self.loop.now < until:
            yield Wait(until=until)
        # By state, not by time: accepted what waits, read what came, closed only what is at rest, and no word unsent.
        until = self.loop.now + FLUSH_TIMEOUT_US
        while not self._settled() and self.loop.now < until:
            if self.core.open_count or self.core.inbox:
                until = self.loop.now + FLUSH_TIMEOUT_US
            yield Wait(until=self.loop.now + 5_000)
        self.loop.stop()

    def _settled(self) -> bool:
        """Nothing is owed any more, to clients or nodes, and no connection of a client is left."""
        settled = True
        for front in self.frontends:
            front.shutting_down = True
            settled = front.listener.drain_backlog() and settled
            front.close_idle()
        settled = settled and not (
            self.connection_budget.client_count or self.core.open_count or self.core.inbox
        )
        return settled and not any(node.has_pending_data for node in self.core.endpoints.nodes.values())

    def _watch_signals(self) -> None:
        ours, theirs = os.pipe2(
            os.O_NONBLOCK | os.O_CLOEXEC
        )  # a socket pair is AF_UNIX: not to be had everywhere
        signal.set_wakeup_fd(theirs)
        self._signal_pipe = ours, theirs
        # SIGHUP too: left alone, it would end the process.
        for number in (
            signal.SIGTERM,
            signal.SIGINT,
            signal.SIGHUP,
            *([signal.SIGUSR2] if self.admission_filter else []),
        ):
            signal.signal(number, lambda *_: None)
        self.loop.spawn(self._signals(ours))

    def _signals(self, pipe: int) -> Generator[Wait, int, None]:
        while True:
            yield Wait(pipe, IN)
            try:
                numbers = os.read(pipe, 64)
            except BlockingIOError:
                continue
            if signal.SIGTERM in numbers or signal.SIGINT in numbers:
                self.shut_down()
            if signal.SIGHUP in numbers:
                self.reload()
            if signal.SIGUSR2 in numbers:
                self.hand_over()

    def _inherit(self) -> InheritedSockets | None:
        """What a predecessor hands over, where one does; the module is not loaded else."""
        if "LISTEN_FDS" not in os.environ:
            return None
        from thornshelf.socket_handover import inherit_sockets

        return inherit_sockets(os.environ)

    def _make_core(self, config: Config) -> Dispatcher:
        queue = spread = None
        if config.fair_queue is not None and config.retry_after_jitter is not None:
            from thornshelf.admission.fair_queue import FairQueue
            from thornshelf.core.task import TaskRecord
            from thornshelf.retries.jitter import RetryAfterJitter

            queue, spread = (
                FairQueue[TaskRecord](config.fair_queue),
                RetryAfterJitter(config.retry_after_jitter),
            )
        core = Dispatcher(
            self.loop,
            self.settings,
            config.seed,
            self._make_node,
            self.log,
            self.translator,
            queue,
            spread,
            self._unix_offset_us,
        )
        core.descriptor_ledger = (
            self.admission_filter.descriptor_ledger if self.admission_filter is not None else None
        )
        return core

    def _make_node(self, machine: int, entry: NodeEndpoint, core: Dispatcher) -> NodeConnection:
        for make in self.node_factories:
            if (node := make(machine, entry, core)) is not None:
                return node
        return BinaryNodeConnection(self.loop, machine, entry, core)

    def _fault(self, fault: BaseException) -> None:
        """One coroutine's fault costs its connection, not the process."""
        text = "".join(traceback.format_exception(fault)).strip().replace(os.linesep, " | ")
        self.log(3, "coroutine-failed", {"code": InternalError.code, "type": type(fault).__name__}, text)
