"""Shares observations of nodes among members, to detect outliers and to assign health checks of suspects.

Outliers are less preferred in placement, but never excluded. A node becomes one by reports of ``MIN_REPORTERS``
members (of one, if there is only one other). Reports decay within seconds, and at most one in ``NODES_PER_OUTLIER``
nodes is an outlier. So false reports can only change the order of preference of these few nodes.
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
MIN_WEIGHT = 0.5  # an observation is ignored below this weight
MAX_WEIGHT = 8.0
MAX_ROWS = 16  # per member
NODES_PER_OUTLIER = 5  # at most one in this number of nodes is an outlier
MIN_REPORTERS = 2
HEALTH_CHECKERS = 2  # members that check a suspect on behalf of all
HEALTHY_REPORT_US = 3_000_000  # validity of a report that a node is healthy
HEALTHY_REPORT_SLACK_US = 500_000  # by which a report may precede the delegation of the check
SUFFICIENT_REPORTERS = 3  # further members do not repeat the same report


class Observation(enum.IntEnum):
    """An observation of a node. The values are those on the wire."""

    CONNECTION_REFUSED = 0
    NO_RESPONSE = 1  # to an offer or a health check
    CONNECTION_LOST = 2
    HEALTHY = 3  # by a health check


# The names shown by the shell.
OBSERVATION_NAMES = {
    Observation.CONNECTION_REFUSED: "refused",
    Observation.NO_RESPONSE: "silent",
    Observation.CONNECTION_LOST: "broke",
    Observation.HEALTHY: "well",
}


class ObservationRow(msgspec.Struct, frozen=True, array_like=True):
    """A member's observation of one node, in the wire format."""

    node: Annotated[str, Meta(min_length=1, max_length=64)]
    observation: Annotated[int, Meta(ge=0, le=3)]
    weight: Annotated[float, Meta(ge=0.0, le=MAX_WEIGHT)]  # at the time of writing


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[list[ObservationRow]] = msgspec.msgpack.Decoder(list[ObservationRow])


@dataclass(slots=True)
class DecayingObservation:
    """An observation whose weight halves in ``HALF_LIFE_US``."""

    observation: Observation
    weight: float
    observed_us: int

    def weight_at(self, now_us: int) -> float:
        """Returns the decayed weight at this time."""
        return self.weight * math.exp2(-max(0, now_us - self.observed_us) / HALF_LIFE_US)

    def is_fault_at(self, now_us: int) -> bool:
        """Returns whether this is a fault whose weight is not negligible yet."""
        return self.observation is not Observation.HEALTHY and self.weight_at(now_us) >= MIN_WEIGHT


class ReportedObservation(NamedTuple):
    """An observation of a node and the member that made it."""

    node: str
    reporter: str
    observation: DecayingObservation


def health_checkers(node: str, live: Iterable[str], count: int = HEALTH_CHECKERS) -> list[str]:
    """Returns the members that check a suspect on behalf of all.

    Rendezvous hashing: when a member departs, only the suspects that it checked are reassigned.
    """

    def weight(name: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{node}|{name}".encode())

    return sorted(live, key=weight, reverse=True)[:count]


class OutlierGossip:
    """The observations of this member, called ``name``, and those of other members."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._own: dict[str, DecayingObservation] = {}  # by node
        self._others: dict[str, dict[str, DecayingObservation]] = {}  # by node, by member
        self._published: set[str] = set()  # nodes in the last published observations

    def observe(self, node: str, observation: Observation, now_us: int) -> None:
        """Record an observation of this member. ``HEALTHY`` is ignored for a node without an earlier fault."""
        old = self._own.get(node)
        if observation is Observation.HEALTHY:
            if old is not None:
                self._own[node] = DecayingObservation(observation, 1.0, now_us)
            return
        is_repeated = old is not None and old.observation is not Observation.HEALTHY
        weight = 1.0 + (old.weight_at(now_us) if old is not None and is_repeated else 0.0)
        self._own[node] = DecayingObservation(observation, min(MAX_WEIGHT, weight), now_us)

    def encode(self, now_us: int) -> bytes:
        """Returns the encoded observations to publish, empty if there are none."""
        for node, own in list(self._own.items()):
            if own.weight_at(now_us) < MIN_WEIGHT:
                del self._own[node]
        due = {node: own for node, own in self._own.items() if self._should_publish(node, own, now_us)}
        heaviest = sorted(due.items(), key=lambda item: (-item[1].weight_at(now_us), item[0]))[:MAX_ROWS]
        self._published = {node for node, _ in heaviest}
        rows = [
            ObservationRow(node, int(own.observation), round(own.weight_at(now_us), 1))
            for node, own in sorted(heaviest)
        ]
        return _encoder.encode(rows) if rows else b""

    def _should_publish(self, node: str, own: DecayingObservation, now_us: int) -> bool:
        """Returns whether to publish an observation. A fault that enough other members report is omitted."""
        return (
            own.observation is Observation.HEALTHY
            or node in self._published
            or len(self.reporters(node, now_us)) < SUFFICIENT_REPORTERS
        )

    def receive(self, writer: str, value: bytes, written_us: int) -> bool:
        """Replace the observations of another member; returns False if the value cannot be decoded."""
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
        """Discard the observations of a departed member."""
        for node, by_member in list(self._others.items()):
            if by_member.pop(writer, None) is not None and not by_member:
                del self._others[node]

    def weight(self, node: str, now_us: int) -> float:
        """Returns the total weight of the faults of a node that other members observed."""
        observations = self._others.get(node, {}).values()
        return sum(
            one.weight_at(now_us) for one in observations if one.observation is not Observation.HEALTHY
        )

    def reporters(self, node: str, now_us: int) -> list[str]:
        """Returns the sorted names of the other members that report a fault of a node."""
        by_member = self._others.get(node, {})
        return sorted(name for name, one in by_member.items() if one.is_fault_at(now_us))

    def rows(self) -> Iterator[ReportedObservation]:
        """Yields all observations, those of this member first."""
        for node, own in list(self._own.items()):
            yield ReportedObservation(node, self._name, own)
        for node, by_member in list(self._others.items()):
            for name, observation in by_member.items():
                yield ReportedObservation(node, name, observation)

    def outliers(self, nodes: Collection[str], live: Collection[str], now_us: int) -> set[str]:
        """Returns the outliers: nodes with faults reported by enough live members, limited to the heaviest."""
        min_reporters = min(MIN_REPORTERS, max(1, len(live) - 1))
        found = []
        for node in self._others:
            if node in nodes and len(set(self.reporters(node, now_us)) & set(live)) >= min_reporters:
                found.append((-self.weight(node, now_us), node))
        return {node for _, node in sorted(found)[: len(nodes) // NODES_PER_OUTLIER]}

    def nodes_to_check(self, nodes: Collection[str], live: Collection[str], now_us: int) -> list[str]:
        """Returns the suspects that this member checks on behalf of all.

        These are nodes with faults observed by any member. Their number is bounded like that of outliers; those that
        this member suspects itself come first.
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
        """Returns whether a health checker of a node reported it as healthy since ``since_us``, or just before."""
        earliest_us = max(now_us - HEALTHY_REPORT_US, since_us - HEALTHY_REPORT_SLACK_US)
        by_member = self._others.get(node, {})
        return any(
            (one := by_member.get(name)) is not None
            and one.observation is Observation.HEALTHY
            and one.observed_us >= earliest_us
            for name in health_checkers(node, live)
        )
