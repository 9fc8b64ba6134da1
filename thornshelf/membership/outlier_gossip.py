"""What members have seen of nodes, shared: who stands aside for whom, and who probes which suspect for all.

Others' word makes a node second choice and never more than that, takes two witnesses where there are two, fades
within seconds, and holds for at most a fifth of the fleet. So a member that calls healthy nodes dead costs at most
the order in which a fifth of them is chosen.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from typing import Annotated

import msgspec
import xxhash
from msgspec import Meta

HALF_LIFE_US = 4_000_000
MIN_WEIGHT = 0.5  # less weight than this is none
MAX_WEIGHT = 8.0
MAX_ROWS = 16  # of one member
NODES_PER_OUTLIER = 5  # one node in so many may be second choice
MIN_REPORTERS = 2
HEALTH_CHECKERS = 2  # members probe a suspect for all
HEALTHY_REPORT_US = 3_000_000  # a prober's word that a node answers holds so long
HEALTHY_REPORT_SLACK_US = 500_000
SUFFICIENT_REPORTERS = 3  # members who have seen the same: no more need say it


class Observation(enum.IntEnum):
    """What was seen."""

    REFUSED = 0  # a connect: its process is not there
    SILENT = 1  # an offer or a probe without an answer
    BROKE = 2  # a connection
    WELL = 3  # a probe with an answer


class ObservationRow(msgspec.Struct, frozen=True, array_like=True):
    """One node, as one member has seen it."""

    node: Annotated[str, Meta(min_length=1, max_length=64)]
    observation: Annotated[int, Meta(ge=0, le=3)]
    weight: Annotated[float, Meta(ge=0.0, le=MAX_WEIGHT)]  # at the moment of writing


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[list[ObservationRow]] = msgspec.msgpack.Decoder(list[ObservationRow])


@dataclass(slots=True)
class DecayingObservation:
    """A sight that fades."""

    observation: Observation
    weight: float
    observed_us: int

    def weight_at(self, now_us: int) -> float:
        """What is left of its weight."""
        return self.weight * math.exp2(-max(0, now_us - self.observed_us) / HALF_LIFE_US)


def health_checkers(node: str, live: Iterable[str], count: int = HEALTH_CHECKERS) -> list[str]:
    """The members that probe a suspect for all, by rendezvous hashing: when one goes, only its own nodes move."""
    return sorted(live, key=lambda name: xxhash.xxh3_64_intdigest(f"{node}|{name}".encode()), reverse=True)[
        :count
    ]


class OutlierGossip:
    """Own sights and those of others."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._own: dict[str, DecayingObservation] = {}
        self._others: dict[str, dict[str, DecayingObservation]] = {}  # by node, by member
        self._told: set[str] = set()  # of one's own, what the others were told last

    def observe(self, node: str, sight: Observation, now_us: int) -> None:
        """Something of one's own."""
        old = self._own.get(node)
        if sight is Observation.WELL:
            if old is not None:
                self._own[node] = DecayingObservation(sight, 1.0, now_us)
            return
        weight = 1.0 + (
            old.weight_at(now_us) if old is not None and old.observation is not Observation.WELL else 0.0
        )
        self._own[node] = DecayingObservation(sight, min(MAX_WEIGHT, weight), now_us)

    def encode(self, now_us: int) -> bytes:
        """One's own sights as they are shared; empty where there are none."""
        for node, seen in list(self._own.items()):
            if seen.weight_at(now_us) < MIN_WEIGHT:
                del self._own[node]
        told = {
            node: seen
            for node, seen in self._own.items()
            if seen.observation is Observation.WELL
            or node in self._told
            or len(self.reporters(node, now_us)) < SUFFICIENT_REPORTERS
        }
        worst = sorted(told.items(), key=lambda one: (-one[1].weight_at(now_us), one[0]))[:MAX_ROWS]
        self._told = {node for node, _ in worst}
        rows = [
            ObservationRow(node, int(seen.observation), round(seen.weight_at(now_us), 1))
            for node, seen in sorted(worst)
        ]
        return _encoder.encode(rows) if rows else b""

    def receive(self, writer: str, value: bytes, written_us: int) -> bool:
        """All that another member sees now; false where it can't be read."""
        try:
            rows = _decoder.decode(value) if value else []
        except msgspec.MsgspecError:
            return False
        self.discard_member(writer)
        for row in rows[:MAX_ROWS]:
            seen = DecayingObservation(Observation(row.observation), row.weight, written_us)
            self._others.setdefault(row.node, {})[writer] = seen
        return True

    def discard_member(self, writer: str) -> None:
        """A member's word counts no more."""
        for node in [
            node for node, seen in self._others.items() if seen.pop(writer, None) is not None and not seen
        ]:
            del self._others[node]

    def weight(self, node: str, now_us: int) -> float:
        """The others' word on a node."""
        seen = self._others.get(node, {}).values()
        return sum(one.weight_at(now_us) for one in seen if one.observation is not Observation.WELL)

    def reporters(self, node: str, now_us: int) -> list[str]:
        """Who says so."""
        seen = self._others.get(node, {})
        return sorted(
            name
            for name, one in seen.items()
            if one.observation is not Observation.WELL and one.weight_at(now_us) >= MIN_WEIGHT
        )

    def rows(self) -> Iterator[tuple[str, str, DecayingObservation]]:
        """All sights: a node, who saw it, and what."""
        for node, seen in list(self._own.items()):
            yield node, self._name, seen
        for node, by in list(self._others.items()):
            for name, seen in by.items():
                yield node, name, seen

    def outliers(self, nodes: Collection[str], live: Collection[str], now_us: int) -> set[str]:
        """The nodes that are second choice by the others' word."""
        wanted = min(MIN_REPORTERS, max(1, len(live) - 1))
        found = []
        for node in self._others:
            if node in nodes and len(set(self.reporters(node, now_us)) & set(live)) >= wanted:
                found.append((-self.weight(node, now_us), node))
        return {node for _, node in sorted(found)[: len(nodes) // NODES_PER_OUTLIER]}

    def nodes_to_check(self, nodes: Collection[str], live: Collection[str], now_us: int) -> list[str]:
        """The suspects, one's own and others', that this member probes for all; bounded as the second choice is."""
        found = []
        for node in self._others.keys() | self._own.keys():
            own = self._own.get(node)
            mine = (
                own is not None
                and own.observation is not Observation.WELL
                and own.weight_at(now_us) >= MIN_WEIGHT
            )
            if (
                node in nodes
                and (mine or self.reporters(node, now_us))
                and self._name in health_checkers(node, live)
            ):
                found.append((not mine, -self.weight(node, now_us), node))
        return [node for _, _, node in sorted(found)[: max(1, len(nodes) // NODES_PER_OUTLIER)]]

    def reported_healthy(self, node: str, live: Collection[str], now_us: int, since_us: int) -> bool:
        """Whether one that probes it for all says that it answers, and has said so since a time, or just before."""
        seen = self._others.get(node, {})
        return any(
            (one := seen.get(name)) is not None
            and one.observation is Observation.WELL
            and one.observed_us >= max(now_us - HEALTHY_REPORT_US, since_us - HEALTHY_REPORT_SLACK_US)
            for name in health_checkers(node, live)
        )
