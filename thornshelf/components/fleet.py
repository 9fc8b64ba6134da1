"""The view of the fleet on its socket: datagrams in and out, and what follows for this dispatcher.

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
from thornshelf.membership import drain_gossip, policies
from thornshelf.membership.config import MAX_DATAGRAM_BYTES
from thornshelf.membership.datagrams import MessageKind
from thornshelf.membership.outlier_gossip import Observation
from thornshelf.membership.protocol import MembershipProtocol
from thornshelf.membership.scatter_gather import decline
from thornshelf.placement.interface import Health, Outcome, Reason

A_TURN = 64  # datagrams read in one go
REVIEW_US = 250_000
SILENT_US = 2_600_000  # a change log's poll, and a little more
ACCOUNT_US = 10_000_000  # refused datagrams are logged by reason so often
SECOND_CHOICE = 1.0  # powers of the price's base
RANKS = {
    Health.UP: drain_gossip.UP,
    Health.DRAINING: drain_gossip.DRAINING,
    Health.REMOVED: drain_gossip.GONE,
}
SIGHTS = {
    Outcome.NOT_CONNECTED: Observation.REFUSED,
    Outcome.TIMED_OUT: Observation.SILENT,
    Outcome.BROKEN: Observation.BROKE,
}


class FleetComponent(Component):
    """This dispatcher among the others."""

    def start(self) -> None:
        """Listen, and call the seeds; nothing waits for their answers."""
        host, config = self.host, self.host.config.fleet
        assert config is not None
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        try:
            self._sock.bind(config.listen)
        except OSError as fault:
            self._sock.close()
            raise ConfigError(
                f"fleet.listen: {fault.strerror}: {config.listen[0]}:{config.listen[1]}"
            ) from None
        self.address = "{}:{}".format(*self._sock.getsockname())
        terms = replace(config.membership, address=config.membership.address or self.address)
        chance = random.Random(secrets.randbits(64))
        self.membership = MembershipProtocol(terms, secrets.randbits(62), host.loop.now, chance)
        settings = host.config.settings
        self.policies = policies.FleetPolicies(
            self.membership, config.policies, settings.placers, config.quota_hold_us, host.loop.now
        )
        self._own: dict[str, NodeEndpoint] = {}  # the own list's word on nodes that others' word keeps away
        self._timer: Timer | None = None
        self._reported: Counter[str] = Counter()
        self._quiet = False
        self.on_user_message: Callable[[str, MessageKind, bytes], None] = self._no_answer
        if host.catalog is not None:
            from thornshelf.control import fleet_tables as tables

            shown = (
                tables.outlier_evidence_table(self.membership, self.policies),
                tables.drain_gossip_table(self.policies),
                tables.quota_table(self.policies),
            )
            host.catalog.add(tables.members_table(self.membership), *shown)
        host.core.gossip = self
        host.endpoint_listeners.append(self.endpoints_changed)
        host.loop.spawn(self._read())
        host.loop.after(0, self._turn)
        host.loop.after(REVIEW_US, self._first_review)
        host.loop.after(ACCOUNT_US, self._account)
        host.log(
            6, "fleet", {"name": terms.fleet, "member": terms.name, "address": terms.address}, "listening"
        )

    def reload(self, config: Config) -> None:
        """The fleet's table waits for a restart."""

    def stop(self) -> None:
        """Leave in order: the others need not find out."""
        self.membership.leave()
        self.flush()
        self._sock.close()

    # datagrams

    def _read(self) -> Generator[Wait, int, None]:
        while True:
            yield Wait(self._sock.fileno(), IN)
            for _ in range(A_TURN):
                try:
                    data = self._sock.recv(MAX_DATAGRAM_BYTES + 1)
                except BlockingIOError:
                    break
                except OSError:
                    continue  # an earlier datagram of ours came back: nobody listens there
                self.membership.receive(data, self.host.loop.now)
            self.flush()

    def _turn(self) -> None:
        self._timer = None
        self.membership.tick(self.host.loop.now)
        self.flush()

    def _no_answer(self, name: str, kind: MessageKind, content: bytes) -> None:
        """Without a control socket here nothing is told; who asks hears that at once."""
        if kind is MessageKind.QUERY and (answer := decline(content, "it has no control socket")) is not None:
            self.membership.send_user_message(name, MessageKind.QUERY_REPLY, answer)

    def flush(self) -> None:
        """Send what the view wants sent, and do what follows from what came."""
        view, host = self.membership, self.host
        spoken, view.user_messages = view.user_messages, []
        for name, kind, content in spoken:
            self.on_user_message(name, kind, content)
        out, view.outgoing = view.outgoing, []
        for address, data in out:
            name, _, port = address.rpartition(":")
            try:
                self._sock.sendto(data, (name, int(port)))
            except (OSError, ValueError, OverflowError):
                view.counters["unsent"] += 1  # as if the network had lost it
        for change in view.take_changes():
            self.policies.member_changed(change)
            before, after = (
                one.value if one is not None else "unknown" for one in (change.before, change.after)
            )
            host.log(5, "member", {"name": change.name, "before": before, "after": after}, "seen so here")
        came, view.received_entries = view.received_entries, []
        for item in came:
            if item.kind == policies.PLACER_GOSSIP:
                host.core.inbox.append(GossipReceived(policies.member_number(item.writer), item.value))
            else:
                self.policies.entry_received(item, host.loop.now)
        for fault in view.rejected_datagrams[:8]:
            if not self._reported[fault.reason]:
                self._reported[fault.reason] = 1
                host.log(4, "datagram", {"code": fault.code, "reason": fault.reason}, str(fault))
        view.rejected_datagrams.clear()
        if view.superseded is not None and not self._quiet:
            self._quiet = True
            taken, settings = view.superseded, host.config.settings
            host.log(3, "fleet", {"code": taken.code, "member": view.name}, f"{taken}: {taken.remedy}")
            host.core.placer.set_quota(settings.me, settings.placers)
        due = max(view.next_due_us(), host.loop.now + 1_000)
        if self._timer is None or self._timer.due > due:
            if self._timer is not None:
                self._timer.cancel()
            self._timer = host.loop.at(due, self._turn)

    def _account(self) -> None:
        """Refused datagrams, by reason; the first of each was logged as it came."""
        view = self.membership
        refused = {name: view.counters[name] for name in self._reported if view.counters[name]}
        if refused != dict(self._reported):
            self._reported = Counter(refused)
            self.host.log(5, "datagrams", dict(refused), "refused so far, by reason")
        self.host.loop.after(ACCOUNT_US, self._account)

    # what follows

    def _first_review(self) -> None:
        """The list of the start: the core has taken it by now."""
        self.endpoints_changed(EndpointListUpdate(True, 0, list(self.host.core.endpoints.entries.values())))
        self._review()

    def _review(self) -> None:
        host = self.host
        core, now, follower = host.core, host.loop.now, host.endpoint_watch
        silent = follower is not None and (
            not follower.is_responding or now - follower.last_response_us > SILENT_US
        )
        machines = {entry.name: machine for machine, entry in core.endpoints.entries.items()}
        up = {
            name for name, machine in machines.items() if core.endpoints.is_up(machine) or name in self._own
        }
        review = self.policies.review(up, silent, now)
        if (share := review.quota) is not None:
            host.log(
                6,
                "share",
                {"me": share.index, "of": share.soft_divisor, "cold": share.strict_divisor},
                "by the live members",
            )
            core.placer.set_quota(share.index, share.soft_divisor, share.strict_divisor, share.round_robin)
        if review.outliers is not None:
            for name, machine in machines.items():
                if (one := core.placer.machines.get(machine)) is not None:
                    one.gossip_penalty = SECOND_CHOICE if name in review.outliers else 0.0
            host.log(6, "second-choice", {"nodes": ",".join(sorted(review.outliers)[:16])}, "by others' word")
        if review.avoided_nodes is not None:
            self._keep_away(review.avoided_nodes, machines)
        for name in review.nodes_to_check:
            if (node := core.endpoints.nodes.get(machines[name])) is not None:
                node.check_health()
        for name, well in review.check_results:
            if name in machines:
                outcome = Outcome.OK if well else Outcome.TIMED_OUT
                core.inbox.append(HealthCheckCompleted(machines[name], outcome, 0))
        self.flush()
        host.loop.after(REVIEW_US, self._review)

    def _keep_away(self, names: set[str], machines: dict[str, int]) -> None:
        """Nothing new to these by others' word; what the own list says comes back as soon as it speaks."""
        core, changes = self.host.core, []
        for name in names - self._own.keys():
            entry = core.endpoints.entries.get(machines.get(name, -1))
            if entry is not None and entry.health is Health.UP:
                self._own[name] = entry
                changes.append(replace(entry, health=Health.DRAINING))
                tellers = ",".join(self.policies.drain_gossip.reporters(name)[:4])
                self.host.log(5, "kept-away", {"node": name, "by": tellers}, "it drains, by others' word")
        for name in self._own.keys() - names:
            entry = self._own.pop(name)
            now = core.endpoints.entries.get(machines.get(name, -1))
            ours = now is not None and now == replace(entry, health=Health.DRAINING)
            if ours and self.policies.drain_gossip.own_progress(name) == (
                self._started_ms(entry),
                drain_gossip.UP,
            ):
                changes.append(entry)
        if changes:
            core.update_endpoints(EndpointListUpdate(False, 0, changes))

    def _started_ms(self, entry: NodeEndpoint) -> int:
        return 0 if entry.started_us is None else self.host.unix_ms(entry.started_us)

    def endpoints_changed(self, change: EndpointListUpdate) -> None:
        """The own list's word."""
        now = self.host.loop.now
        for entry in change.endpoints:
            self.policies.drain_gossip.update_own(
                entry.name, self._started_ms(entry), RANKS[entry.health], now
            )

    # what the core asks and tells

    def broadcast(self, data: bytes) -> None:
        """The module's message to its peers."""
        self.policies.publish_placer_gossip(data)

    def is_checked_by_peer(self, machine: int) -> bool:
        """Whether another probes this suspect for all."""
        entry = self.host.core.endpoints.entries.get(machine)
        return entry is not None and self.policies.delegate_health_check(entry.name, self.host.loop.now)

    def health_checked(self, item: HealthCheckCompleted) -> None:
        """A probe has its result."""
        entry = self.host.core.endpoints.entries.get(item.machine)
        if entry is not None and item.latency_us:
            sight = Observation.WELL if item.outcome is Outcome.OK else Observation.SILENT
            self.policies.observe(entry.name, sight, self.host.loop.now)

    def attempt_ended(self, machine: int, outcome: Outcome, reason: Reason) -> None:
        """An attempt at a node has ended so."""
        sight = SIGHTS.get(outcome)
        entry = self.host.core.endpoints.entries.get(machine)
        if (
            sight is not None
            and reason is Reason.UNSPECIFIED
            and entry is not None
            and entry.health is Health.UP
        ):
            self.policies.observe(entry.name, sight, self.host.loop.now)


def make(host: Host) -> Component:
    """The part."""
    return FleetComponent(host)
