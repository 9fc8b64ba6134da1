"""What members have observed of nodes, shared: which nodes are outliers, and who checks the health of which suspect.

Observations of others only make a node a second choice. They take two reporters where there are two other members,
decay within seconds, and concern at most a fifth of the nodes. So a member that reports healthy nodes as faulty costs
at most the order in which a fifth of them is chosen.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from typing import Annotated, NamedTuple

import msgspec
import xxhash
from msgspec import Meta

HALF_LIFE_US = 4_000_000
MIN_WEIGHT = 0.5  # an observation with less weight counts no more
MAX_WEIGHT = 8.0
MAX_ROWS = 16  # of one member
NODES_PER_OUTLIER = 5  # one node in so many may be an outlier
MIN_REPORTERS = 2
HEALTH_CHECKERS = 2  # members that check the health of a suspect for all
HEALTHY_REPORT_US = 3_000_000  # a checker's report that a node is healthy is valid for so long
HEALTHY_REPORT_SLACK_US = 500_000
SUFFICIENT_REPORTERS = 3  # members that report the same: no more need to


class Observation(enum.IntEnum):
    """What was observed of a node. The values are those on the wire."""

    CONNECTION_REFUSED = 0
    NO_RESPONSE = 1  # to an offer or a health check
    CONNECTION_LOST = 2
    HEALTHY = 3  # by a health check


# As the shell shows them.
OBSERVATION_NAMES = {
    Observation.CONNECTION_REFUSED: "refused",
    Observation.NO_RESPONSE: "silent",
    Observation.CONNECTION_LOST: "broke",
    Observation.HEALTHY: "well",
}


class ObservationRow(msgspec.Struct, frozen=True, array_like=True):
    """One node, as one member has observed it."""

    node: Annotated[str, Meta(min_length=1, max_length=64)]
    observation: Annotated[int, Meta(ge=0, le=3)]
    weight: Annotated[float, Meta(ge=0.0, le=MAX_WEIGHT)]  # at the moment of writing


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[list[ObservationRow]] = msgspec.msgpack.Decoder(list[ObservationRow])


@dataclass(slots=True)
class DecayingObservation:
    """An observation whose weight halves in ``HALF_LIFE_US``."""

    observation: Observation
    weight: float
    observed_us: int

    def weight_at(self, now_us: int) -> float:
        """Its weight now."""
        return self.weight * math.exp2(-max(0, now_us - self.observed_us) / HALF_LIFE_US)

    def is_fault_at(self, now_us: int) -> bool:
        """Whether it is a fault, and still counts."""
        return self.observation is not Observation.HEALTHY and self.weight_at(now_us) >= MIN_WEIGHT


class ReportedObservation(NamedTuple):
    """An observation, and the member that made it."""

    node: str
    reporter: str
    observation: DecayingObservation


def health_checkers(node: str, live: Iterable[str], count: int = HEALTH_CHECKERS) -> list[str]:
    """The members that check a suspect for all, by rendezvous hashing: when one goes, only its own nodes move."""

    def weight(name: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{node}|{name}".encode())

    return sorted(live, key=weight, reverse=True)[:count]


class OutlierGossip:
    """The observations of this member, called ``name``, and those of the others."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._own: dict[str, DecayingObservation] = {}  # by node
        self._others: dict[str, dict[str, DecayingObservation]] = {}  # by node, by member
        self._published: set[str] = set()  # nodes of the own observations that were published last

    def observe(self, node: str, observation: Observation, now_us: int) -> None:
        """Note an observation of this member. A healthy node only matters after a fault."""
        old = self._own.get(node)
        if observation is Observation.HEALTHY:
            if old is not None:
                self._own[node] = DecayingObservation(observation, 1.0, now_us)
            return
        is_repeated = old is not None and old.observation is not Observation.HEALTHY
        weight = 1.0 + (old.weight_at(now_us) if old is not None and is_repeated else 0.0)
        self._own[node] = DecayingObservation(observation, min(MAX_WEIGHT, weight), now_us)

    def encode(self, now_us: int) -> bytes:
        """This member's observations as they are published; empty where there are none."""
        for node, own in list(self._own.items()):
            if own.weight_at(now_us) < MIN_WEIGHT:
                del self._own[node]
        due = {node: own for node, own in self._own.items() if self._is_published(node, own, now_us)}
        heaviest = sorted(due.items(), key=lambda item: (-item[1].weight_at(now_us), item[0]))[:MAX_ROWS]
        self._published = {node for node, _ in heaviest}
        rows = [
            ObservationRow(node, int(own.observation), round(own.weight_at(now_us), 1))
            for node, own in sorted(heaviest)
        ]
        return _encoder.encode(rows) if rows else b""

    def _is_published(self, node: str, own: DecayingObservation, now_us: int) -> bool:
        """Whether an own observation is published: a fault that enough members report is left to them."""
        return (
            own.observation is Observation.HEALTHY
            or node in self._published
            or len(self.reporters(node, now_us)) < SUFFICIENT_REPORTERS
        )

    def receive(self, writer: str, value: bytes, written_us: int) -> bool:
        """Take over all that another member observes now; returns False where it cannot be decoded."""
        try:
            rows = _decoder.decode(value) if value else []
        except msgspec.MsgspecError:
            return False
        self.discard_member(writer)
        for row in rows[:MAX_ROWS]:
            observed = DecayingObservation(Observation(row.observation), row.weight, written_us)
            self._others.setdefault(row.node, {})[writer] = observed
        return True

    def discard_member(self, writer: str) -> None:
        """Discard the observations of a member that is gone."""
        for node, by_member in list(self._others.items()):
            if by_member.pop(writer, None) is not None and not by_member:
                del self._others[node]

    def weight(self, node: str, now_us: int) -> float:
        """The weight of all faults of a node that others have observed."""
        observations = self._others.get(node, {}).values()
        return sum(
            one.weight_at(now_us) for one in observations if one.observation is not Observation.HEALTHY
        )

    def reporters(self, node: str, now_us: int) -> list[str]:
        """The other members that report a fault of a node."""
        by_member = self._others.get(node, {})
        return sorted(name for name, one in by_member.items() if one.is_fault_at(now_us))

    def rows(self) -> Iterator[ReportedObservation]:
        """All observations, this member's first."""
        for node, own in list(self._own.items()):
            yield ReportedObservation(node, self._name, own)
        for node, by_member in list(self._others.items()):
            for name, observation in by_member.items():
                yield ReportedObservation(node, name, observation)

    def outliers(self, nodes: Collection[str], live: Collection[str], now_us: int) -> set[str]:
        """The nodes that are a second choice, as enough live members report faults of them."""
        min_reporters = min(MIN_REPORTERS, max(1, len(live) - 1))
        found = []
        for node in self._others:
            if node in nodes and len(set(self.reporters(node, now_us)) & set(live)) >= min_reporters:
                found.append((-self.weight(node, now_us), node))
        return {node for _, node in sorted(found)[: len(nodes) // NODES_PER_OUTLIER]}

    def nodes_to_check(self, nodes: Collection[str], live: Collection[str], now_us: int) -> list[str]:
        """The suspects, this member's own and others', whose health this member checks for all.

        Their number is bounded as that of outliers is; this member's own suspects go first.
        """
        found = []
        for node in self._others.keys() | self._own.keys():
            own = self._own.get(node)
            is_own = own is not None and own.is_fault_at(now_us)
            is_suspect = is_own or bool(self.reporters(node, now_us))
            if node in nodes and is_suspect and self._name in health_checkers(node, live):
                found.append((not is_own, -self.weight(node, now_us), node))
        return [node for _, _, node in sorted(found)[: max(1, len(nodes) // NODES_PER_OUTLIER)]]

    def reported_healthy(self, node: str, live: Collection[str], now_us: int, since_us: int) -> bool:
        """Whether a member that checks a node for all has found it healthy since a time, or just before."""
        earliest_us = max(now_us - HEALTHY_REPORT_US, since_us - HEALTHY_REPORT_SLACK_US)
        by_member = self._others.get(node, {})
        return any(
            (one := by_member.get(name)) is not None
            and one.observation is Observation.HEALTHY
            and one.observed_us >= earliest_us
            for name in health_checkers(node, live)
        )
