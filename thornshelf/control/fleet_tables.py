"""The tables of the fleet: members, observations of nodes, gossip about draining nodes, and this member's quota."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from thornshelf.control.tables import INTEGER, REAL, TEXT, Table, Value, declare_columns, to_milliseconds
from thornshelf.membership.drain_gossip import STAGE_NAMES
from thornshelf.membership.outlier_gossip import OBSERVATION_NAMES
from thornshelf.membership.policies import FleetPolicies
from thornshelf.membership.protocol import MembershipProtocol
from thornshelf.membership.quota_division import NO_QUOTA
from thornshelf.membership.states import Member, MemberState, RecordStatus


def members_table(membership: MembershipProtocol) -> Table:
    """Returns the table ``members``: the fleet as this member sees it."""

    def row(name: str) -> Sequence[Value] | None:
        if name == membership.name:
            record = membership.local.record
            return name, MemberState.ALIVE.value, record.address, record.incarnation, 1, None, None, "", ""
        member: Member | None = membership.table.members.get(name)
        if member is None:
            return None
        record = member.record
        return (
            name,
            member.state.value,
            record.address,
            record.incarnation,
            0,
            to_milliseconds(membership.now_us - member.state_since_us),
            to_milliseconds(membership.now_us - member.last_seen_us),
            record.reported_by if record.status != RecordStatus.ALIVE else "",
            ",".join(sorted(member.suspected_by)),
        )

    return Table(
        "members",
        "The dispatchers of the fleet, as this one sees them.",
        declare_columns(
            ("name", TEXT, "name of the member described; `member` is the one that describes it"),
            ("state", TEXT, "alive, suspect, doomed (reported dead, may still refute), dead or left"),
            ("address", TEXT, "host:port of its datagram socket"),
            ("incarnation", INTEGER, "grows with each refutation and each start"),
            ("me", INTEGER, "1: the member that sends this row"),
            ("since_ms", INTEGER, "time in this state"),
            ("heard_ms", INTEGER, "time since its last message"),
            ("by", TEXT, "the member that reports it suspect or dead"),
            ("doubters", TEXT, "the members that have confirmed the suspicion"),
        ),
        lambda: sorted([membership.name, *membership.table.members]),
        row,
    )


def outlier_evidence_table(membership: MembershipProtocol, policies: FleetPolicies) -> Table:
    """Returns the table ``evidence``: the observations of nodes by all members."""

    def row(item: tuple[str, str, Any]) -> Sequence[Value]:
        node, observer, evidence = item
        return (
            node,
            observer,
            OBSERVATION_NAMES[evidence.observation],
            round(evidence.weight_at(membership.now_us), 3),
            to_milliseconds(max(0, membership.now_us - evidence.observed_us)),
        )

    return Table(
        "evidence",
        "Observations of nodes by members. They decay with time, and at most make a node a second choice.",
        declare_columns(
            ("node", TEXT, "name in the endpoint list"),
            ("by", TEXT, "the member that observed it"),
            ("sight", TEXT, "what it observed: refused, silent, broke or well"),
            ("weight", REAL, "current weight of the observation"),
            ("age_ms", INTEGER, "age of the observation"),
        ),
        lambda: list(policies.outlier_gossip.rows()),
        row,
    )


def drain_gossip_table(policies: FleetPolicies) -> Table:
    """Returns the table ``news``: the nodes that drain or are gone by the endpoint lists of all members."""

    def row(item: tuple[str, str, int, int, bool]) -> Sequence[Value]:
        node, member, started_ms, stage, is_avoided = item
        return node, member or policies.membership.name, STAGE_NAMES[stage], started_ms, int(is_avoided)

    return Table(
        "news",
        "Which nodes drain or are gone, by the endpoint lists of members, this one's included.",
        declare_columns(
            ("node", TEXT, "name in the endpoint list"),
            ("by", TEXT, "the member whose endpoint list says so"),
            ("place", TEXT, "up, draining or gone"),
            (
                "started_ms",
                INTEGER,
                "Unix ms of the start of the node's process if it is recent, 0 otherwise",
            ),
            ("kept_away", INTEGER, "1: it gets no new tasks because of other members' reports"),
        ),
        lambda: list(policies.drain_gossip.rows()),
        row,
    )


def quota_table(policies: FleetPolicies) -> Table:
    """Returns the table ``allowances``: this member's quota of the limits that all dispatchers share."""

    def items() -> list[tuple[str, Value, str]]:
        quota = policies.quota
        if quota is None:
            return [("by", "settings", "limits are divided by the configured number of dispatchers")]
        strict_divisor: Value = "none" if quota.strict_divisor >= NO_QUOTA else quota.strict_divisor
        return [
            ("by", "live members", "limits are divided by the number of live members"),
            ("place", quota.index, "index of this member among them"),
            ("placers", quota.soft_divisor, "divisor of limits that may be exceeded for a moment"),
            ("cold", strict_divisor, "divisor of attempts to nodes in slow start; none: no attempts for now"),
            ("turns", int(quota.round_robin), "1: indivisible limits are assigned to the members in turn"),
        ]

    return Table(
        "allowances",
        "This member's quota of the limits that all dispatchers share.",
        declare_columns(
            ("name", TEXT, "part of the quota"),
            ("value", TEXT, "its value"),
            ("meaning", TEXT, "what it means"),
        ),
        items,
        lambda item: (item[0], str(item[1]), item[2]),
    )
