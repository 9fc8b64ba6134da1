"""The membership of this dispatcher on its socket: datagrams in and out, and what follows for this dispatcher.

All decisions are in ``thornshelf.membership``; see docs/fleet-view.md.
"""

from __future__ import annotations

import random
import secrets
import socket
from collections import Counter
from collections.abc import Callable, Generator
from dataclasses import replace

from thornshelf.components import Component, Host
from thornshelf.configuration import Config, ConfigError
from thornshelf.core import EndpointListUpdate, HealthCheckCompleted, NodeEndpoint
from thornshelf.core.messages import GossipReceived
from thornshelf.loop import Timer, Wait
from thornshelf.loop.loop import IN
from thornshelf.membership import policies
from thornshelf.membership.config import MAX_DATAGRAM_BYTES, FleetConfig
from thornshelf.membership.datagrams import MessageKind
from thornshelf.membership.drain_gossip import NodeProgress, NodeStage
from thornshelf.membership.outlier_gossip import Observation
from thornshelf.membership.protocol import MembershipProtocol
from thornshelf.membership.quota_division import Quota
from thornshelf.membership.scatter_gather import decline
from thornshelf.membership.states import MemberState
from thornshelf.placement import Health, Outcome, Reason

DATAGRAMS_PER_TURN = 64
REVIEW_INTERVAL_US = 250_000
WATCH_TIMEOUT_US = 2_600_000  # the poll interval of an endpoint watch, and a little more
COUNT_INTERVAL_US = 10_000_000  # between two log lines with the counts of rejected datagrams
MIN_TIMER_US = 1_000
MAX_LOGGED_REJECTIONS = 8  # of one flush
MAX_LOGGED_NODES = 16
MAX_LOGGED_REPORTERS = 4
OUTLIER_PENALTY = 1.0  # powers of the price's base
STAGES = {Health.UP: NodeStage.UP, Health.DRAINING: NodeStage.DRAINING, Health.REMOVED: NodeStage.REMOVED}
FAULTS = {
    Outcome.NOT_CONNECTED: Observation.CONNECTION_REFUSED,
    Outcome.TIMED_OUT: Observation.NO_RESPONSE,
    Outcome.BROKEN: Observation.CONNECTION_LOST,
}


def _state_name(state: MemberState | None) -> str:
    """A member's state in the log."""
    return "unknown" if state is None else state.value


class FleetComponent(Component):
    """This dispatcher as a member of the fleet."""

    def start(self) -> None:
        """Listen, and contact the seeds without waiting for them. Raises ``ConfigError`` if it cannot bind."""
        host, loop = self.host, self.host.loop
        config = host.config.fleet
        assert config is not None
        self._bind(config)
        membership = replace(config.membership, address=config.membership.address or self.address)
        random_source = random.Random(secrets.randbits(64))
        self.membership = MembershipProtocol(membership, secrets.randbits(62), loop.now, random_source)
        self.policies = policies.FleetPolicies(
            self.membership, config.policies, host.config.settings.placers, config.quota_hold_us, loop.now
        )
        self._own_endpoints: dict[str, NodeEndpoint] = {}  # of avoided nodes, as the own list has them
        self._timer: Timer | None = None
        self._logged_rejections: Counter[str] = Counter()
        self._has_logged_superseded = False
        self.on_user_message: Callable[[str, MessageKind, bytes], None] = self._decline_query
        self._add_tables()
        host.core.gossip = self
        host.endpoint_listeners.append(self.endpoints_changed)
        loop.spawn(self._read())
        loop.after(0, self._tick)
        loop.after(REVIEW_INTERVAL_US, self._first_review)
        loop.after(COUNT_INTERVAL_US, self._log_rejection_counts)
        parameters: dict[str, object] = {
            "fleet": membership.fleet,
            "member": membership.name,
            "address": membership.address,
        }
        host.log(6, "membership-started", parameters, "This member listens for datagrams of its fleet.")

    def _bind(self, config: FleetConfig) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        host, port = config.listen
        try:
            self._socket.bind(config.listen)
        except OSError as fault:
            self._socket.close()
            raise ConfigError(f"fleet.listen: {fault.strerror}: {host}:{port}") from None
        self.address = "{}:{}".format(*self._socket.getsockname())

    def _add_tables(self) -> None:
        """Show the membership to shells, where there is a control socket."""
        if self.host.catalog is not None:
            from thornshelf.control import fleet_tables

            self.host.catalog.add(
                fleet_tables.members_table(self.membership),
                fleet_tables.outlier_evidence_table(self.membership, self.policies),
                fleet_tables.drain_gossip_table(self.policies),
                fleet_tables.quota_table(self.policies),
            )

    def reload(self, config: Config) -> None:
        """The operator's table ``fleet`` takes effect at the next start only."""

    def stop(self) -> None:
        """Leave gracefully, so that the other members need not detect it."""
        self.membership.leave()
        self.flush()
        self._socket.close()

    # datagrams

    def _read(self) -> Generator[Wait, int, None]:
        while True:
            yield Wait(self._socket.fileno(), IN)
            for _ in range(DATAGRAMS_PER_TURN):
                try:
                    data = self._socket.recv(MAX_DATAGRAM_BYTES + 1)
                except BlockingIOError:
                    break
                except OSError:
                    continue  # an ICMP error for an earlier datagram: its receiver does not listen
                self.membership.receive(data, self.host.loop.now)
            self.flush()

    def _tick(self) -> None:
        self._timer = None
        self.membership.tick(self.host.loop.now)
        self.flush()

    def _decline_query(self, name: str, kind: MessageKind, content: bytes) -> None:
        """Without a control socket here a query is declined at once."""
        if kind is MessageKind.QUERY and (reply := decline(content, "it has no control socket")) is not None:
            self.membership.send_user_message(name, MessageKind.QUERY_REPLY, reply)

    def flush(self) -> None:
        """Send the datagrams that wait, and carry out what follows from those received."""
        for name, kind, content in self.membership.take_user_messages():
            self.on_user_message(name, kind, content)
        self._send_datagrams()
        self._take_member_changes()
        self._take_entries()
        self._log_rejections()
        if self.membership.superseded is not None and not self._has_logged_superseded:
            self._give_way()
        self._schedule_tick()

    def _send_datagrams(self) -> None:
        for address, data in self.membership.take_outgoing():
            host, _, port = address.rpartition(":")
            try:
                self._socket.sendto(data, (host, int(port)))
            except (OSError, ValueError, OverflowError):
                self.membership.counters["unsent"] += 1  # as if the network had lost it

    def _take_member_changes(self) -> None:
        for change in self.membership.take_changes():
            self.policies.member_changed(change)
            parameters: dict[str, object] = {
                "name": change.name,
                "before": _state_name(change.before),
                "after": _state_name(change.after),
            }
            text = "The state of another member has changed, as this one sees it."
            self.host.log(5, "member-state-changed", parameters, text)

    def _take_entries(self) -> None:
        for entry in self.membership.take_received_entries():
            if entry.kind == policies.PLACER_GOSSIP:
                number = policies.member_number(entry.writer)
                self.host.core.inbox.append(GossipReceived(number, entry.value))
            else:
                self.policies.entry_received(entry, self.host.loop.now)

    def _log_rejections(self) -> None:
        """Log the first rejected datagram of each reason; the others are counted."""
        for fault in self.membership.rejected_datagrams[:MAX_LOGGED_REJECTIONS]:
            if not self._logged_rejections[fault.reason]:
                self._logged_rejections[fault.reason] = 1
                parameters: dict[str, object] = {"code": fault.code, "reason": fault.reason}
                self.host.log(4, "datagram-rejected", parameters, str(fault))
        self.membership.rejected_datagrams.clear()

    def _give_way(self) -> None:
        """Another process of this name has taken over: use the configured number of dispatchers from now on."""
        superseded = self.membership.superseded
        assert superseded is not None
        self._has_logged_superseded = True
        parameters: dict[str, object] = {"code": superseded.code, "member": self.membership.name}
        self.host.log(3, "member-superseded", parameters, f"{superseded}: {superseded.remedy}")
        settings = self.host.config.settings
        self.host.core.placer.set_quota(settings.me, settings.placers)

    def _schedule_tick(self) -> None:
        loop = self.host.loop
        due_us = max(self.membership.next_due_us(), loop.now + MIN_TIMER_US)
        if self._timer is None or self._timer.due > due_us:
            if self._timer is not None:
                self._timer.cancel()
            self._timer = loop.at(due_us, self._tick)

    def _log_rejection_counts(self) -> None:
        """Log the counts of rejected datagrams by reason, if they have changed."""
        counters = self.membership.counters
        counts = {reason: counters[reason] for reason in self._logged_rejections if counters[reason]}
        if counts != dict(self._logged_rejections):
            self._logged_rejections = Counter(counts)
            text = "The numbers of datagrams that were rejected since the start, by reason."
            self.host.log(5, "rejected-datagrams-counted", dict(counts), text)
        self.host.loop.after(COUNT_INTERVAL_US, self._log_rejection_counts)

    # policies

    def _first_review(self) -> None:
        """Review for the first time, with the endpoint list of the start, which the core has taken over by now."""
        endpoints = list(self.host.core.endpoints.entries.values())
        self.endpoints_changed(EndpointListUpdate(True, 0, endpoints))
        self._review()

    def _review(self) -> None:
        loop, core, watch = self.host.loop, self.host.core, self.host.endpoint_watch
        watch_unresponsive = watch is not None and (
            not watch.is_responding or loop.now - watch.last_response_us > WATCH_TIMEOUT_US
        )
        machines = {endpoint.name: machine for machine, endpoint in core.endpoints.entries.items()}
        nodes_up = {
            name
            for name, machine in machines.items()
            if core.endpoints.is_up(machine) or name in self._own_endpoints
        }
        changes = self.policies.review(nodes_up, watch_unresponsive, loop.now)
        if changes.quota is not None:
            self._apply_quota(changes.quota)
        if changes.outliers is not None:
            self._apply_outliers(changes.outliers, machines)
        if changes.avoided_nodes is not None:
            self._avoid_nodes(changes.avoided_nodes, machines)
        for name in changes.nodes_to_check:
            if (node := core.endpoints.nodes.get(machines[name])) is not None:
                node.check_health()
        for result in changes.check_results:
            if result.node in machines:
                outcome = Outcome.OK if result.is_healthy else Outcome.TIMED_OUT
                core.inbox.append(HealthCheckCompleted(machines[result.node], outcome, 0))
        self.flush()
        loop.after(REVIEW_INTERVAL_US, self._review)

    def _apply_quota(self, quota: Quota) -> None:
        parameters: dict[str, object] = {
            "index": quota.index,
            "soft": quota.soft_divisor,
            "strict": quota.strict_divisor,
        }
        text = "This dispatcher's quota follows the number of live members."
        self.host.log(6, "quota-changed", parameters, text)
        self.host.core.placer.set_quota(
            quota.index, quota.soft_divisor, quota.strict_divisor, quota.round_robin
        )

    def _apply_outliers(self, outliers: set[str], machines: dict[str, int]) -> None:
        for name, number in machines.items():
            if (machine := self.host.core.placer.machines.get(number)) is not None:
                machine.gossip_penalty = OUTLIER_PENALTY if name in outliers else 0.0
        parameters: dict[str, object] = {"nodes": ",".join(sorted(outliers)[:MAX_LOGGED_NODES])}
        text = "These nodes are a second choice, as other members report faults of them."
        self.host.log(6, "outliers-changed", parameters, text)

    def _avoid_nodes(self, names: set[str], machines: dict[str, int]) -> None:
        """Drain nodes as other members report it; the own list's endpoint is restored once its watch responds."""
        core = self.host.core
        changed: list[NodeEndpoint] = []
        for name in names - self._own_endpoints.keys():
            endpoint = core.endpoints.entries.get(machines.get(name, -1))
            if endpoint is not None and endpoint.health is Health.UP:
                self._own_endpoints[name] = endpoint
                changed.append(replace(endpoint, health=Health.DRAINING))
                self._log_avoided(name)
        for name in self._own_endpoints.keys() - names:
            own = self._own_endpoints.pop(name)
            current = core.endpoints.entries.get(machines.get(name, -1))
            is_ours = current is not None and current == replace(own, health=Health.DRAINING)
            progress = NodeProgress(self._started_ms(own), NodeStage.UP)
            if is_ours and self.policies.drain_gossip.own_progress(name) == progress:
                changed.append(own)
        if changed:
            core.update_endpoints(EndpointListUpdate(False, 0, changed))

    def _log_avoided(self, name: str) -> None:
        reporters = ",".join(self.policies.drain_gossip.reporters(name)[:MAX_LOGGED_REPORTERS])
        text = "Nothing new goes to this node, as other members report that it drains."
        self.host.log(5, "node-avoided", {"node": name, "by": reporters}, text)

    def _started_ms(self, endpoint: NodeEndpoint) -> int:
        return 0 if endpoint.started_us is None else self.host.unix_ms(endpoint.started_us)

    def endpoints_changed(self, update: EndpointListUpdate) -> None:
        """Take over what the own endpoint list says."""
        now_us = self.host.loop.now
        for endpoint in update.endpoints:
            self.policies.drain_gossip.update_own(
                endpoint.name, self._started_ms(endpoint), STAGES[endpoint.health], now_us
            )

    # the core's port to the other dispatchers

    def broadcast(self, data: bytes) -> None:
        """Send the decision module's message to all other members."""
        self.policies.publish_placer_gossip(data)

    def is_checked_by_peer(self, machine: int) -> bool:
        """Whether another member checks the health of this suspect for all."""
        endpoint = self.host.core.endpoints.entries.get(machine)
        if endpoint is None:
            return False
        return self.policies.delegate_health_check(endpoint.name, self.host.loop.now)

    def health_checked(self, result: HealthCheckCompleted) -> None:
        """Share the result of a health check."""
        endpoint = self.host.core.endpoints.entries.get(result.machine)
        if endpoint is not None and result.latency_us:
            is_healthy = result.outcome is Outcome.OK
            observation = Observation.HEALTHY if is_healthy else Observation.NO_RESPONSE
            self.policies.observe(endpoint.name, observation, self.host.loop.now)

    def attempt_ended(self, machine: int, outcome: Outcome, reason: Reason) -> None:
        """Share a fault at which an attempt has ended."""
        fault = FAULTS.get(outcome)
        endpoint = self.host.core.endpoints.entries.get(machine)
        if fault is None or reason is not Reason.UNSPECIFIED:
            return
        if endpoint is not None and endpoint.health is Health.UP:
            self.policies.observe(endpoint.name, fault, self.host.loop.now)


def make(host: Host) -> Component:
    """The component."""
    return FleetComponent(host)
