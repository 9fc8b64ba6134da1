"""The tables of the fleet's view: members, evidence on nodes, news of the list, allowances in force."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from thornshelf.control.tables import INTEGER, REAL, TEXT, Table, Value, declare_columns
from thornshelf.membership.drain_gossip import STAGE_NAMES
from thornshelf.membership.outlier_gossip import OBSERVATION_NAMES
from thornshelf.membership.policies import FleetPolicies
from thornshelf.membership.protocol import MembershipProtocol
from thornshelf.membership.quota_division import NO_QUOTA
from thornshelf.membership.states import Member, MemberState, RecordStatus


def members_table(view: MembershipProtocol) -> Table:
    """Who is in the fleet, as this member sees it."""

    def row(name: str) -> Sequence[Value] | None:
        now = view.now_us
        if name == view.name:
            me = view.local.record
            return name, MemberState.ALIVE.value, me.address, me.incarnation, 1, None, None, "", ""
        member: Member | None = view.table.members.get(name)
        if member is None:
            return None
        claim = member.record
        since, heard = ((now - at) // 1000 for at in (member.state_since_us, member.last_seen_us))
        by = claim.reported_by if claim.status != RecordStatus.ALIVE else ""
        doubters = ",".join(sorted(member.suspected_by))
        return name, member.state.value, claim.address, claim.incarnation, 0, since, heard, by, doubters

    return Table(
        "members",
        "The dispatchers of the fleet, as this one sees them.",
        declare_columns(
            ("name", TEXT, "of the member that is seen; `member` is the one that sees it"),
            ("state", TEXT, "alive, suspect, doomed, dead or left"),
            ("address", TEXT, "host:port of its datagrams"),
            ("incarnation", INTEGER, "grows as it refutes, and with each start"),
            ("me", INTEGER, "1: the one that tells this"),
            ("since_ms", INTEGER, "it has been in this state for so long"),
            ("heard_ms", INTEGER, "its last word came so long ago"),
            ("by", TEXT, "who says that it is suspect or dead"),
            ("doubters", TEXT, "who has confirmed a suspicion"),
        ),
        lambda: sorted([view.name, *view.table.members]),
        row,
    )


def outlier_evidence_table(view: MembershipProtocol, uses: FleetPolicies) -> Table:
    """What was seen of nodes, by whom."""

    def row(item: tuple[str, str, Any]) -> Sequence[Value]:
        node, by, seen = item
        return (
            node,
            by,
            OBSERVATION_NAMES[seen.observation],
            round(seen.weight_at(view.now_us), 3),
            max(0, view.now_us - seen.observed_us) // 1000,
        )

    return Table(
        "evidence",
        "What members saw of nodes; it fades, and makes a node second choice at most.",
        declare_columns(
            ("node", TEXT, "of the list"),
            ("by", TEXT, "the member that saw it"),
            ("sight", TEXT, "refused, silent, broke or well"),
            ("weight", REAL, "what is left of it"),
            ("age_ms", INTEGER, "seen so long ago"),
        ),
        lambda: list(uses.outlier_gossip.rows()),
        row,
    )


def drain_gossip_table(uses: FleetPolicies) -> Table:
    """Places of nodes in their lives, by whose word."""
    return Table(
        "news",
        "Which nodes drain or are gone, by whose word; the own list's word is among them.",
        declare_columns(
            ("node", TEXT, "of the list"),
            ("by", TEXT, "a member; its own name for the own list"),
            ("place", TEXT, "up, draining or gone"),
            ("started_ms", INTEGER, "of the process that is meant, Unix ms, 0 for long ago"),
            ("kept_away", INTEGER, "1: nothing new goes there by others' word"),
        ),
        lambda: list(uses.drain_gossip.rows()),
        lambda item: (item[0], item[1] or uses.membership.name, STAGE_NAMES[item[3]], item[2], int(item[4])),
    )


def quota_table(uses: FleetPolicies) -> Table:
    """This member's share."""

    def items() -> list[tuple[str, Value, str]]:
        share = uses.quota
        if share is None:
            return [
                ("by", "settings", "no share by the live members is in force: the configured number holds")
            ]
        cold: Value = "none" if share.strict_divisor >= NO_QUOTA else share.strict_divisor
        return [
            ("by", "live members", "what divides what all may do together"),
            ("place", share.index, "of this member among them"),
            ("placers", share.soft_divisor, "what may be exceeded for a moment is divided by so many"),
            ("cold", cold, "offers to cold nodes are divided by so many; none: it takes no share now"),
            ("turns", int(share.round_robin), "1: what can't be divided is dealt in turns"),
        ]

    return Table(
        "allowances",
        "This member's share of what all may do together.",
        declare_columns(("name", TEXT, "what"), ("value", TEXT, "how much"), ("meaning", TEXT, "of what")),
        items,
        lambda item: (item[0], str(item[1]), item[2]),
    )
