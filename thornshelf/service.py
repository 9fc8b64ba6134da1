"""A complete dispatcher: event loop, core, frontends, nodes, endpoint watch and log.

``python -m thornshelf`` runs one; a program can also embed it.
"""

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

SPARE_NODES = 16  # descriptors reserved for connections to nodes that are about to join
_FRONTEND_NAMES = ("listen", "grpc")  # the names under which a successor inherits the listening sockets


def _raise_invalid(error: WireError) -> None:
    """Reject all initial endpoints if one of them is malformed."""
    raise error


def _inherit_sockets() -> InheritedSockets | None:
    """Return the sockets that a predecessor passed on, or None if there is no predecessor.

    The module for it is imported only if there is one.
    """
    if "LISTEN_FDS" not in os.environ:
        return None
    from thornshelf.lifecycle.socket_handover import inherit_sockets

    return inherit_sockets(os.environ)


class Service:
    """One dispatcher: creates its parts from the configuration, serves, reloads, restarts and shuts down.

    ``loop`` and ``log`` replace the default event loop and log. ``reread`` reads the configuration again for a
    reload; without it, a reload changes nothing. Raises ``ConfigError`` if the configuration can't be used.

    Components extend it: ``node_factories`` are tried in order to connect to a node, before the default, binary
    messages; ``endpoint_filter`` selects this dispatcher's part of each update of the endpoint list;
    ``endpoint_listeners`` are called with that part, after the core has applied it.
    """

    def __init__(
        self,
        config: Config,
        loop: Loop | None = None,
        log: LogFunction | None = None,
        reread: Callable[[], Config] | None = None,
    ) -> None:
        self.config = config
        self.settings = config.settings  # components may replace them before the core is created
        self.loop = loop or Loop()
        # All conversions between Unix time and the loop's clock use this offset.
        self._unix_offset_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000
        self.log = log or self._make_log()
        self.loop.on_exception = self._log_exception
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
        self._defer_attempts_until_synced()
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
        """Pass the configured endpoints to the core; returns the sequence number of the last event among them.

        They are then removed from the configuration: for a large fleet they would take up most of the process's
        memory.
        """
        try:
            last_sequence, updates = decode_events(
                self.config.initial_endpoints, 0, self.monotonic_us, _raise_invalid
            )
        except WireError as error:
            raise ConfigError(f"known: {error}") from None
        for update in updates:
            self._update_core(update)
        self.config = replace(self.config, initial_endpoints={})
        return last_sequence

    def _make_connection_budget(self) -> ConnectionBudget:
        """Divide the descriptors between clients and nodes.

        Without admission control, a connection pool limits the descriptors that nodes use.
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
        except OSError as error:
            raise ConfigError(f"listen: {error.strerror}: {address[0]}:{address[1]}") from None

    def unix_ms(self, us: int) -> int:
        """Convert a time of the loop's clock, in microseconds, to Unix time in milliseconds."""
        return (us + self._unix_offset_us) // 1000

    def monotonic_us(self, unix_us: int) -> int:
        """Convert Unix time to the loop's clock; both are in microseconds."""
        return unix_us - self._unix_offset_us

    def named_frontends(self) -> dict[str, JsonLinesFrontend | GrpcFrontend]:
        """Return the frontends by the names under which a successor inherits their sockets."""
        return dict(zip(_FRONTEND_NAMES, self.frontends, strict=False))

    def _update_core(self, update: EndpointListUpdate) -> EndpointListUpdate:
        """Pass an update of the endpoint list to the core, filtered to this dispatcher's nodes; returns that part."""
        filtered = update if self.endpoint_filter is None else self.endpoint_filter(update)
        self.core.update_endpoints(filtered)
        return filtered

    def _endpoints_updated(self, update: EndpointListUpdate) -> None:
        """Process an update from the endpoint watch; if one listener raises an exception, the others still get it."""
        filtered = self._update_core(update)
        for listener in self.endpoint_listeners:
            try:
                listener(filtered)
            except Exception as error:
                self._log_exception(error)

    def _watch_endpoints(self, address: Address | None) -> None:
        """Watch the endpoint list at an address, starting after the last known event; None: there is no watch."""
        watch = self.endpoint_watch
        if address is None:
            return
        if watch is None:
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

    def _defer_attempts_until_synced(self) -> None:
        """Hold back attempts until the endpoint watch has read the changes that were made during the start.

        Without this, attempts could go to nodes whose drain was announced while this process was starting.
        """
        if self.endpoint_watch is None:
            return
        self.core.is_endpoint_list_stale = (
            lambda: self.endpoint_watch is not None and not self.endpoint_watch.has_synced
        )
        self.loop.call_later(ENDPOINT_LIST_TIMEOUT_US, lambda: None)  # ensures a turn when the wait times out

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, complete the open requests, and return."""
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
            signal.SIGHUP: self.reload,  # unhandled, it would terminate the process
        }
        if self.admission_filter is not None:
            handlers[signal.SIGUSR2] = self.hand_over
        watch_signals(self.loop, handlers)

    def _addresses(self) -> dict[str, object]:
        """Return the addresses on which the frontends listen, as parameters of a log line."""
        return {
            name: "{}:{}".format(*frontend.listener.address)
            for name, frontend in self.named_frontends().items()
        }

    def close(self) -> None:
        """Close the listeners and the loop at once, without completing anything."""
        for frontend in self.frontends:
            frontend.listener.close()
        if self.admission_filter is not None:
            self.admission_filter.close()
        self.loop.close()

    def reload(self) -> None:
        """Read the configuration again; if it is invalid, the old one stays in force."""
        if self._reread is None:
            self.log(5, "config-reload-failed", {}, "there is no source to reload the configuration from")
            return
        try:
            reloaded = self.config.reloaded(self._reread())
        except ConfigError as error:
            self.log(4, "config-reload-failed", {"kept": "old", "code": error.code}, str(error))
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
        text = "configuration reloaded"
        if restart_keys:
            values["restart"] = ",".join(restart_keys)
            text += "; changes of the keys in 'restart' take effect at the next restart"
        self.log(5, "config-reloaded", values, text)

    def hand_over(self) -> None:
        """Start a successor on the same listening sockets, hand over to it once it is ready, and stop.

        If the successor fails to start, this process keeps serving. So it does if the files lack a key that is in
        force, as the successor can't know that.
        """
        if self._shutting_down or self._handing_over:
            return
        if (error := self._missing_key()) is not None:
            self.log(3, "successor-failed", {"kept": "old", "code": error.code}, str(error))
            return
        self._handing_over = True
        self.loop.spawn(self._hand_over())

    def _missing_key(self) -> ConfigError | None:
        """Return the error of files that a successor would accept, though they lack a key in force."""
        if self._reread is None:
            return None
        try:
            new_config = self._reread()
        except ConfigError:
            return None  # a successor fails on them by itself
        try:
            self.config.reloaded(new_config)
        except ConfigError as error:
            return error
        return None

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
        """Report to the predecessor, if there is one, that this process is ready, and take over its tasks."""
        inherited = self.inherited
        if inherited is None or inherited.channel is None:
            return
        from thornshelf.lifecycle.graceful_restart import take_over
        from thornshelf.lifecycle.socket_handover import READY_MESSAGE

        inherited.channel.send(READY_MESSAGE)
        self.loop.spawn(take_over(self, inherited))

    def shut_down(self) -> None:
        """Start a graceful shutdown: serve a while longer, then complete the open requests and stop."""
        if not self._shutting_down:
            self._shutting_down = True
            self.log(5, "shutdown-started", {"open": self.core.open_count}, "shutdown requested")
            self.loop.spawn(self._shut_down())

    def _shut_down(self) -> Generator[Wait, int, None]:
        yield from drain(self)
        self.loop.stop()

    def _log_exception(self, error: BaseException) -> None:
        """Log an exception that ended one coroutine or call; the process goes on."""
        text = "".join(traceback.format_exception(error)).strip().replace(os.linesep, " | ")
        self.log(3, "coroutine-failed", {"code": InternalError.code, "type": type(error).__name__}, text)
