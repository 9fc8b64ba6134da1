"""A whole dispatcher: loop, core, frontends, nodes, endpoint watch and log. Embed it, or see ``__main__``."""

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
from thornshelf.configuration import Config, ConfigError
from thornshelf.configuration.addresses import Address
from thornshelf.configuration.descriptors import descriptor_limits
from thornshelf.core import Dispatcher, EndpointListUpdate, LogFunction, NodeConnection, NodeEndpoint
from thornshelf.core.dispatcher import ENDPOINT_LIST_TIMEOUT_US
from thornshelf.discovery.endpoint_events import decode_events
from thornshelf.discovery.endpoint_watch import EndpointWatch
from thornshelf.errors import InternalError
from thornshelf.frontends.connection_budget import ConnectionBudget
from thornshelf.frontends.json_lines import JsonLinesFrontend
from thornshelf.lifecycle.graceful_shutdown import drain
from thornshelf.lifecycle.signals import watch_signals
from thornshelf.loop import Loop, Wait
from thornshelf.nodes.binary import BinaryNodeConnection
from thornshelf.nodes.connection_pool import ConnectionPool
from thornshelf.syslog import Syslog
from thornshelf.wire.errors import WireError

if TYPE_CHECKING:
    from thornshelf.admission.fair_queue import FairQueue
    from thornshelf.control.tables import Catalog
    from thornshelf.core.task import TaskRecord
    from thornshelf.frontends.admission_filter import AdmissionFilter
    from thornshelf.frontends.grpc import GrpcFrontend
    from thornshelf.lifecycle.socket_handover import InheritedSockets
    from thornshelf.retries.jitter import RetryAfterJitter
    from thornshelf.translation.translator import Translator

SPARE_NODES = 16  # descriptors for connections to nodes that are about to join
_FRONTEND_NAMES = ("listen", "grpc")  # of the listening sockets, as a successor gets them


def _raise_invalid(fault: WireError) -> None:
    """Reject all of the initial endpoints where one of them is malformed."""
    raise fault


def _inherit_sockets() -> InheritedSockets | None:
    """The sockets of a predecessor, where there is one; the module is loaded only then."""
    if "LISTEN_FDS" not in os.environ:
        return None
    from thornshelf.lifecycle.socket_handover import inherit_sockets

    return inherit_sockets(os.environ)


class Service:
    """One dispatcher, from its configuration to its end.

    ``loop`` and ``log`` replace those that it would make for itself. ``reread`` reads the configuration again for a
    reload; without it a reload changes nothing. Raises ``ConfigError`` where the configuration can't be used.
    """

    def __init__(
        self,
        config: Config,
        loop: Loop | None = None,
        log: LogFunction | None = None,
        reread: Callable[[], Config] | None = None,
    ) -> None:
        self.config = config
        self.settings = (
            config.settings
        )  # as the core gets them; a component may change them before it is made
        self.loop = loop or Loop()
        # The one place where Unix time and the loop's clock meet.
        self._unix_offset_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000
        self.log = log or self._make_log()
        self.loop.on_fault = self._log_fault
        self.inherited = _inherit_sockets()
        self.admission_filter: AdmissionFilter | None = None
        self.translator: Translator | None = None
        self.node_factories: list[Callable[[int, NodeEndpoint, Dispatcher], NodeConnection | None]] = []
        self.endpoint_listeners: list[Callable[[EndpointListUpdate], None]] = []
        self.endpoint_filter: Callable[[EndpointListUpdate], EndpointListUpdate] | None = None
        self.catalog: Catalog | None = None
        self.endpoint_watch: EndpointWatch | None = None
        self._reread = reread
        self._shutting_down = False
        self._handing_over = False
        self.components = create_components(self)
        for component in self.components:
            component.prepare()
        self.core = self._make_core(config)
        self._last_sequence = self._load_initial_endpoints()
        self.connection_budget = self._make_connection_budget()
        self.json_frontend = self._make_json_frontend()
        self.frontends: list[JsonLinesFrontend | GrpcFrontend] = [self.json_frontend]
        self._watch_endpoints(config.endpoint_source)
        self._guard_stale_endpoints()
        for component in self.components:
            component.start()

    def _make_log(self) -> Syslog:
        config = self.config
        return Syslog(self.loop, config.name, "thornshelf", self._unix_offset_us, config.syslog_collector)

    def _make_core(self, config: Config) -> Dispatcher:
        queue, jitter = self._make_fair_queue(config)
        core = Dispatcher(
            self.loop,
            self.settings,
            config.seed,
            self._make_node_connection,
            self.log,
            self.translator,
            queue,
            jitter,
            self._unix_offset_us,
        )
        core.descriptor_ledger = (
            self.admission_filter.descriptor_ledger if self.admission_filter is not None else None
        )
        return core

    def _make_fair_queue(
        self, config: Config
    ) -> tuple[FairQueue[TaskRecord] | None, RetryAfterJitter | None]:
        if config.fair_queue is None or config.retry_after_jitter is None:
            return None, None
        from thornshelf.admission.fair_queue import FairQueue
        from thornshelf.core.task import TaskRecord
        from thornshelf.retries.jitter import RetryAfterJitter

        return FairQueue[TaskRecord](config.fair_queue), RetryAfterJitter(config.retry_after_jitter)

    def _make_node_connection(self, machine: int, endpoint: NodeEndpoint, core: Dispatcher) -> NodeConnection:
        for make in self.node_factories:
            if (connection := make(machine, endpoint, core)) is not None:
                return connection
        return BinaryNodeConnection(self.loop, machine, endpoint, core)

    def _load_initial_endpoints(self) -> int:
        """Hand the configured endpoints to the core; the number of the last event among them.

        The configuration drops them afterwards: for a large fleet they would be most of the memory of the process.
        """
        try:
            last_sequence, updates = decode_events(
                self.config.initial_endpoints, 0, self.monotonic_us, _raise_invalid
            )
        except WireError as fault:
            raise ConfigError(f"known: {fault}") from None
        for update in updates:
            self._update_core(update)
        self.config = replace(self.config, initial_endpoints={})
        return last_sequence

    def _make_connection_budget(self) -> ConnectionBudget:
        """Divide the descriptors between clients and nodes.

        Without admission control, nodes share the descriptors that are theirs by a pool of connections.
        """
        pool = ConnectionPool(lambda: self.connection_budget.max_nodes)
        if self.config.admission is None:
            self.core.node_connections = pool

        def nodes_needed() -> int:
            return max(len(pool), len(self.core.endpoints.nodes) + SPARE_NODES)

        limits = descriptor_limits(self.config)
        return ConnectionBudget(limits.total, limits.client_floor, nodes_needed)

    def _make_json_frontend(self) -> JsonLinesFrontend:
        address = self.config.listen
        sock = self.inherited.sockets.get("listen") if self.inherited is not None else None
        try:
            return JsonLinesFrontend(
                self.loop, self.core, address, self.connection_budget, self.admission_filter, sock
            )
        except OSError as fault:
            raise ConfigError(f"listen: {fault.strerror}: {address[0]}:{address[1]}") from None

    def unix_ms(self, us: int) -> int:
        """A time of the loop's clock as Unix milliseconds."""
        return (us + self._unix_offset_us) // 1000

    def monotonic_us(self, unix_us: int) -> int:
        """Unix time in microseconds on the loop's clock."""
        return unix_us - self._unix_offset_us

    def named_frontends(self) -> dict[str, JsonLinesFrontend | GrpcFrontend]:
        """The frontends, by the names under which a successor gets their sockets."""
        return dict(zip(_FRONTEND_NAMES, self.frontends, strict=False))

    def _update_core(self, update: EndpointListUpdate) -> EndpointListUpdate:
        """Pass an update of the endpoint list to the core, filtered to the nodes of this dispatcher."""
        filtered = update if self.endpoint_filter is None else self.endpoint_filter(update)
        self.core.update_endpoints(filtered)
        return filtered

    def _endpoints_updated(self, update: EndpointListUpdate) -> None:
        """An update of the endpoint watch. A fault of one listener must not keep it from the others."""
        filtered = self._update_core(update)
        for listener in self.endpoint_listeners:
            try:
                listener(filtered)
            except Exception as fault:
                self._log_fault(fault)

    def _watch_endpoints(self, address: Address | None) -> None:
        """Watch the endpoint list at an address, from the last event that is known; None ends the watch."""
        watch = self.endpoint_watch
        if address is None:
            if watch is not None:
                self._last_sequence = watch.last_sequence
                self.endpoint_watch = None
                watch.stop()
        elif watch is None:
            self.endpoint_watch = EndpointWatch(
                self.loop,
                address,
                self._last_sequence,
                self.monotonic_us,
                self._endpoints_updated,
                self.log,
            )
        elif watch.address != address:
            watch.reconnect_to(address)

    def _guard_stale_endpoints(self) -> None:
        """Hold back attempts until the endpoint watch has caught up with what happened during the start.

        Without this, attempts could go to nodes whose drain was announced while this process was starting.
        """
        if self.endpoint_watch is None:
            return
        self.core.is_endpoint_list_stale = (
            lambda: self.endpoint_watch is not None and not self.endpoint_watch.has_synced
        )
        self.loop.after(ENDPOINT_LIST_TIMEOUT_US, lambda: None)  # a turn, where nothing else causes one

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then complete what is open."""
        self._watch_signals()
        self.log(6, "dispatcher-started", {"name": self.config.name} | self._addresses(), "ready")
        gc.collect()
        gc.freeze()
        self._take_over()
        self.loop.run()
        self.log(6, "dispatcher-stopped", dict(self.core.counters), "ended")
        for component in self.components:
            component.stop()
        if isinstance(self.log, Syslog):
            self.log.flush()

    def _watch_signals(self) -> None:
        handlers: dict[signal.Signals, Callable[[], None]] = {
            signal.SIGTERM: self.shut_down,
            signal.SIGINT: self.shut_down,
            signal.SIGHUP: self.reload,  # without a handler it would end the process
        }
        if self.admission_filter is not None:
            handlers[signal.SIGUSR2] = self.hand_over
        watch_signals(self.loop, handlers)

    def _addresses(self) -> dict[str, object]:
        """Where the frontends listen, as parameters of a log line."""
        return {
            name: "{}:{}".format(*frontend.listener.address)
            for name, frontend in self.named_frontends().items()
        }

    def close(self) -> None:
        """Drop everything at once."""
        for frontend in self.frontends:
            frontend.listener.close()
        if self.admission_filter is not None:
            self.admission_filter.close()
        self.loop.close()

    def reload(self) -> None:
        """Read the configuration again; a faulty one leaves the old one in force."""
        if self._reread is None:
            self.log(5, "config-reload-failed", {}, "nothing to read the configuration from")
            return
        try:
            reloaded = self.config.reloaded(self._reread())
        except ConfigError as fault:
            self.log(4, "config-reload-failed", {"kept": "old", "code": fault.code}, str(fault))
            return
        self.config = reloaded.config
        limits = descriptor_limits(self.config)
        self.connection_budget.total = limits.total
        self.connection_budget.client_floor = limits.client_floor
        for component in self.components:
            component.reload(self.config)
        self._watch_endpoints(self.config.endpoint_source)
        self._log_reload(reloaded.restart_keys)

    def _log_reload(self, restart_keys: list[str]) -> None:
        values: dict[str, object] = {}
        text = "configuration read again"
        if restart_keys:
            values["restart"] = ",".join(restart_keys)
            text += "; what changed under 'restart' waits for one"
        self.log(5, "config-reloaded", values, text)

    def hand_over(self) -> None:
        """Start a successor on the same listening sockets, and end once it is ready."""
        if self._shutting_down or self._handing_over:
            return
        self._handing_over = True
        self.loop.spawn(self._hand_over())

    def _hand_over(self) -> Generator[Wait, int, None]:
        from thornshelf.lifecycle import graceful_restart

        successor = yield from graceful_restart.start_successor(self)
        if successor is None:
            self._handing_over = False
            return
        self._shutting_down = True
        yield from graceful_restart.hand_over(self, successor)
        self.loop.stop()

    def _take_over(self) -> None:
        """Tell a predecessor, where there is one, that this process is ready, and take its tasks over."""
        inherited = self.inherited
        if inherited is None or inherited.channel is None:
            return
        from thornshelf.lifecycle.graceful_restart import take_over
        from thornshelf.lifecycle.socket_handover import READY_MESSAGE

        inherited.channel.send(READY_MESSAGE)
        self.loop.spawn(take_over(self, inherited))

    def shut_down(self) -> None:
        """A planned stop: serve on while requests still come, then complete the open ones."""
        if not self._shutting_down:
            self._shutting_down = True
            self.log(5, "shutdown-started", {"open": self.core.open_count}, "told to end")
            self.loop.spawn(self._shut_down())

    def _shut_down(self) -> Generator[Wait, int, None]:
        yield from drain(self)
        self.loop.stop()

    def _log_fault(self, fault: BaseException) -> None:
        """An exception of one coroutine costs its connection, not the process."""
        text = "".join(traceback.format_exception(fault)).strip().replace(os.linesep, " | ")
        self.log(3, "coroutine-failed", {"code": InternalError.code, "type": type(fault).__name__}, text)
