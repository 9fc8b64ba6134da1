"""The fleet component: sends and receives membership datagrams, and applies the fleet's policies to this dispatcher.

``thornshelf.membership`` makes all decisions; see docs/fleet-view.md.
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

MAX_DATAGRAMS_PER_WAKE = 64
REVIEW_INTERVAL_US = 250_000
WATCH_TIMEOUT_US = 2_600_000  # a little more than the poll interval of an endpoint watch
REJECTION_COUNT_INTERVAL_US = 10_000_000  # between two log lines with the counts of rejected datagrams
MIN_TICK_DELAY_US = 1_000
MAX_LOGGED_REJECTIONS = 8  # in one flush
MAX_LOGGED_NODES = 16
MAX_LOGGED_REPORTERS = 4
OUTLIER_PENALTY = 1.0  # added to the exponent of the cost of placing tasks on the node
STAGE_BY_HEALTH = {
    Health.UP: NodeStage.UP,
    Health.DRAINING: NodeStage.DRAINING,
    Health.REMOVED: NodeStage.REMOVED,
}
OBSERVATION_BY_OUTCOME = {
    Outcome.NOT_CONNECTED: Observation.CONNECTION_REFUSED,
    Outcome.TIMED_OUT: Observation.NO_RESPONSE,
    Outcome.BROKEN: Observation.CONNECTION_LOST,
}


def _state_name(state: MemberState | None) -> str:
    """Returns the name of a member's state in the log."""
    return "unknown" if state is None else state.value


class FleetComponent(Component):
    """Makes this dispatcher a member of the fleet. Implements the core's port ``Gossip``."""

    def start(self) -> None:
        """Listen, and contact the seeds without waiting for them.

        Raises ``ConfigError`` if the address can't be bound.
        """
        host, loop = self.host, self.host.loop
        config = host.config.fleet
        assert config is not None
        self._bind(config)
        membership_config = replace(config.membership, address=config.membership.address or self.address)
        random_source = random.Random(secrets.randbits(64))
        self.membership = MembershipProtocol(membership_config, secrets.randbits(62), loop.now, random_source)
        self.policies = policies.FleetPolicies(
            self.membership, config.policies, host.config.settings.placers, config.quota_hold_us, loop.now
        )
        # The endpoints of avoided nodes as they were before, from this dispatcher's own endpoint list.
        self._avoided_endpoints: dict[str, NodeEndpoint] = {}
        self._timer: Timer | None = None
        self._logged_rejections: Counter[str] = Counter()
        self._has_logged_superseded = False
        self.on_user_message: Callable[[str, MessageKind, bytes], None] = self._decline_query
        self._add_tables()
        host.core.gossip = self
        host.endpoint_listeners.append(self.endpoints_changed)
        loop.spawn(self._receive_datagrams())
        loop.call_later(0, self._tick)
        loop.call_later(REVIEW_INTERVAL_US, self._first_review)
        loop.call_later(REJECTION_COUNT_INTERVAL_US, self._log_rejection_counts)
        parameters: dict[str, object] = {
            "fleet": membership_config.fleet,
            "member": membership_config.name,
            "address": membership_config.address,
        }
        host.log(6, "membership-started", parameters, "This member listens for datagrams of its fleet.")

    def _bind(self, config: FleetConfig) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        host, port = config.listen
        try:
            self._socket.bind(config.listen)
        except OSError as error:
            self._socket.close()
            raise ConfigError(f"fleet.listen: {error.strerror}: {host}:{port}") from None
        self.address = "{}:{}".format(*self._socket.getsockname())

    def _add_tables(self) -> None:
        """Add the fleet's tables to the catalog if there is a control socket."""
        if self.host.catalog is not None:
            from thornshelf.control import fleet_tables

            self.host.catalog.add(
                fleet_tables.members_table(self.membership),
                fleet_tables.outlier_evidence_table(self.membership, self.policies),
                fleet_tables.drain_gossip_table(self.policies),
                fleet_tables.quota_table(self.policies),
            )

    def reload(self, config: Config) -> None:
        """Do nothing: the table takes effect after a restart."""

    def stop(self) -> None:
        """Leave gracefully, so that the other members need not detect a failure."""
        self.membership.leave()
        self.flush()
        self._socket.close()

    # datagrams

    def _receive_datagrams(self) -> Generator[Wait, int, None]:
        while True:
            yield Wait(self._socket.fileno(), IN)
            for _ in range(MAX_DATAGRAMS_PER_WAKE):
                try:
                    data = self._socket.recv(MAX_DATAGRAM_BYTES + 1)
                except BlockingIOError:
                    break
                except OSError:
                    continue  # an ICMP error in reply to a datagram that was sent: nobody listens at its address
                self.membership.receive(data, self.host.loop.now)
            self.flush()

    def _tick(self) -> None:
        self._timer = None
        self.membership.tick(self.host.loop.now)
        self.flush()

    def _decline_query(self, name: str, kind: MessageKind, content: bytes) -> None:
        """Decline a query at once, since this dispatcher has no control socket."""
        if kind is MessageKind.QUERY and (reply := decline(content, "it has no control socket")) is not None:
            self.membership.send_user_message(name, MessageKind.QUERY_REPLY, reply)

    def flush(self) -> None:
        """Send waiting datagrams, and handle what received datagrams have brought: messages, changes and entries."""
        for name, kind, content in self.membership.take_user_messages():
            self.on_user_message(name, kind, content)
        self._send_datagrams()
        self._handle_member_changes()
        self._handle_entries()
        self._log_rejections()
        if self.membership.superseded is not None and not self._has_logged_superseded:
            self._handle_superseded()
        self._schedule_tick()

    def _send_datagrams(self) -> None:
        for address, data in self.membership.take_outgoing():
            host, _, port = address.rpartition(":")
            try:
                self._socket.sendto(data, (host, int(port)))
            except (OSError, ValueError, OverflowError):
                self.membership.counters["unsent"] += 1  # handled like a datagram that the network lost

    def _handle_member_changes(self) -> None:
        for change in self.membership.take_changes():
            self.policies.member_changed(change)
            parameters: dict[str, object] = {
                "name": change.name,
                "before": _state_name(change.before),
                "after": _state_name(change.after),
            }
            text = "This member's view of another member's state has changed."
            self.host.log(5, "member-state-changed", parameters, text)

    def _handle_entries(self) -> None:
        for entry in self.membership.take_received_entries():
            if entry.kind == policies.PLACER_GOSSIP:
                number = policies.member_number(entry.writer)
                self.host.core.inbox.append(GossipReceived(number, entry.value))
            else:
                self.policies.entry_received(entry, self.host.loop.now)

    def _log_rejections(self) -> None:
        """Log the first rejected datagram of each reason; further ones are only counted."""
        for error in self.membership.rejected_datagrams[:MAX_LOGGED_REJECTIONS]:
            if not self._logged_rejections[error.reason]:
                self._logged_rejections[error.reason] = 1
                parameters: dict[str, object] = {"code": error.code, "reason": error.reason}
                self.host.log(4, "datagram-rejected", parameters, str(error))
        self.membership.rejected_datagrams.clear()

    def _handle_superseded(self) -> None:
        """Log that another process has taken over this name, and divide quotas by the configured number again."""
        superseded = self.membership.superseded
        assert superseded is not None
        self._has_logged_superseded = True
        parameters: dict[str, object] = {"code": superseded.code, "member": self.membership.name}
        self.host.log(3, "member-superseded", parameters, f"{superseded}: {superseded.remedy}")
        settings = self.host.config.settings
        self.host.core.placer.set_quota(settings.me, settings.placers)

    def _schedule_tick(self) -> None:
        loop = self.host.loop
        due_us = max(self.membership.next_due_us(), loop.now + MIN_TICK_DELAY_US)
        if self._timer is None or self._timer.due > due_us:
            if self._timer is not None:
                self._timer.cancel()
            self._timer = loop.call_at(due_us, self._tick)

    def _log_rejection_counts(self) -> None:
        """Log the counts of rejected datagrams by reason if they have changed."""
        counters = self.membership.counters
        counts = {reason: counters[reason] for reason in self._logged_rejections if counters[reason]}
        if counts != dict(self._logged_rejections):
            self._logged_rejections = Counter(counts)
            text = "Datagrams that were rejected since the start, by reason."
            self.host.log(5, "rejected-datagrams-counted", dict(counts), text)
        self.host.loop.call_later(REJECTION_COUNT_INTERVAL_US, self._log_rejection_counts)

    # policies

    def _first_review(self) -> None:
        """Take over the initial endpoint list, which the core has by now, and start the periodic reviews."""
        endpoints = list(self.host.core.endpoints.entries.values())
        self.endpoints_changed(EndpointListUpdate(True, 0, endpoints))
        self._review()

    def _review(self) -> None:
        loop, core, watch = self.host.loop, self.host.core, self.host.endpoint_watch
        watch_unresponsive = watch is not None and (
            not watch.is_responding or loop.now - watch.last_response_us > WATCH_TIMEOUT_US
        )
        machine_numbers = {endpoint.name: machine for machine, endpoint in core.endpoints.entries.items()}
        nodes_up = {
            name
            for name, machine in machine_numbers.items()
            if core.endpoints.is_up(machine) or name in self._avoided_endpoints
        }
        changes = self.policies.review(nodes_up, watch_unresponsive, loop.now)
        if changes.quota is not None:
            self._apply_quota(changes.quota)
        if changes.outliers is not None:
            self._apply_outliers(changes.outliers, machine_numbers)
        if changes.avoided_nodes is not None:
            self._avoid_nodes(changes.avoided_nodes, machine_numbers)
        for name in changes.nodes_to_check:
            if (node := core.endpoints.nodes.get(machine_numbers[name])) is not None:
                node.check_health()
        for result in changes.check_results:
            if result.node in machine_numbers:
                outcome = Outcome.OK if result.is_healthy else Outcome.TIMED_OUT
                core.inbox.append(HealthCheckCompleted(machine_numbers[result.node], outcome, 0))
        self.flush()
        loop.call_later(REVIEW_INTERVAL_US, self._review)

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

    def _apply_outliers(self, outliers: set[str], machine_numbers: dict[str, int]) -> None:
        for name, number in machine_numbers.items():
            if (machine := self.host.core.placer.machines.get(number)) is not None:
                machine.gossip_penalty = OUTLIER_PENALTY if name in outliers else 0.0
        parameters: dict[str, object] = {"nodes": ",".join(sorted(outliers)[:MAX_LOGGED_NODES])}
        text = "Other members report failures of these nodes, which are now a second choice."
        self.host.log(6, "outliers-changed", parameters, text)

    def _avoid_nodes(self, names: set[str], machine_numbers: dict[str, int]) -> None:
        """Mark the named nodes as draining in the core, since other members report that they drain.

        The endpoints of nodes that are no longer named are restored, unless the endpoint list has changed them
        meanwhile.
        """
        core = self.host.core
        changed: list[NodeEndpoint] = []
        for name in names - self._avoided_endpoints.keys():
            endpoint = core.endpoints.entries.get(machine_numbers.get(name, -1))
            if endpoint is not None and endpoint.health is Health.UP:
                self._avoided_endpoints[name] = endpoint
                changed.append(replace(endpoint, health=Health.DRAINING))
                self._log_avoided(name)
        for name in self._avoided_endpoints.keys() - names:
            original = self._avoided_endpoints.pop(name)
            current = core.endpoints.entries.get(machine_numbers.get(name, -1))
            is_unchanged = current is not None and current == replace(original, health=Health.DRAINING)
            progress = NodeProgress(self._started_ms(original), NodeStage.UP)
            if is_unchanged and self.policies.drain_gossip.local_progress(name) == progress:
                changed.append(original)
        if changed:
            core.update_endpoints(EndpointListUpdate(False, 0, changed))

    def _log_avoided(self, name: str) -> None:
        reporters = ",".join(self.policies.drain_gossip.reporters(name)[:MAX_LOGGED_REPORTERS])
        text = "Other members report that this node drains, so it gets no new attempts."
        self.host.log(5, "node-avoided", {"node": name, "by": reporters}, text)

    def _started_ms(self, endpoint: NodeEndpoint) -> int:
        return 0 if endpoint.started_us is None else self.host.unix_ms(endpoint.started_us)

    def endpoints_changed(self, update: EndpointListUpdate) -> None:
        """Record the nodes of an endpoint list update for the gossip about draining nodes."""
        now_us = self.host.loop.now
        for endpoint in update.endpoints:
            self.policies.drain_gossip.update_local(
                endpoint.name, self._started_ms(endpoint), STAGE_BY_HEALTH[endpoint.health], now_us
            )

    # the core's port Gossip

    def broadcast(self, data: bytes) -> None:
        """Send a message of the decision module to all other members."""
        self.policies.publish_placer_gossip(data)

    def is_checked_by_peer(self, machine: int) -> bool:
        """Returns whether another member checks the health of this ejected node for all members."""
        endpoint = self.host.core.endpoints.entries.get(machine)
        if endpoint is None:
            return False
        return self.policies.delegate_health_check(endpoint.name, self.host.loop.now)

    def health_checked(self, result: HealthCheckCompleted) -> None:
        """Share the result of this dispatcher's own health check with the other members."""
        # The latency is 0 in results that other members have reported (see _review).
        endpoint = self.host.core.endpoints.entries.get(result.machine)
        if endpoint is not None and result.latency_us:
            is_healthy = result.outcome is Outcome.OK
            observation = Observation.HEALTHY if is_healthy else Observation.NO_RESPONSE
            self.policies.observe(endpoint.name, observation, self.host.loop.now)

    def attempt_ended(self, machine: int, outcome: Outcome, reason: Reason) -> None:
        """Share the failure of an attempt with the other members if it speaks against the node."""
        observation = OBSERVATION_BY_OUTCOME.get(outcome)
        endpoint = self.host.core.endpoints.entries.get(machine)
        if observation is None or reason is not Reason.UNSPECIFIED:
            return
        if endpoint is not None and endpoint.health is Health.UP:
            self.policies.observe(endpoint.name, observation, self.host.loop.now)


def create_component(host: Host) -> Component:
    """Create the fleet component."""
    return FleetComponent(host)
