"""Decisions of the admission controller by source, prefix, rate and reputation."""

from __future__ import annotations

import ipaddress

from thornshelf.admission.controller import (
    AdmissionConfig,
    AdmissionController,
    ConnectionPermit,
    Limits,
    PrefixRule,
)
from thornshelf.admission.gcra import Rate
from thornshelf.admission.prefixes import parse_prefix
from thornshelf.admission.reserved_connections import ReservedConnectionsConfig


def make_controller(**changes: object) -> AdmissionController:
    """A controller with rules for three prefixes; ``changes``: other values of ``AdmissionConfig``."""
    settings: dict[str, object] = {
        "reserved_connections": ReservedConnectionsConfig(20, 6, 2),
        "rules": (
            PrefixRule("wide", parse_prefix("10.0.0.0/8"), prefix_limits=Limits(max_connections=12)),
            PrefixRule("hollis", parse_prefix("10.1.0.0/16"), known=True),
            PrefixRule(
                "block",
                parse_prefix("10.9.0.0/16"),
                prefix_limits=Limits(max_connections=4),
                source_limits=Limits(max_connections=9),
            ),
        ),
        "source_limits": Limits(
            max_connections=5, connection_rate=Rate(10, 1_000_000, 10), request_rate=Rate(5, 1_000_000, 5)
        ),
    }
    return AdmissionController(AdmissionConfig(**(settings | changes)))  # type: ignore[arg-type]


def connect(
    controller: AdmissionController, address: str, count: int, now: int = 0, busy: int | None = None
) -> list[ConnectionPermit]:
    """Opens ``count`` connections from an address; returns the permits of those that are admitted.

    ``busy``: connections of unknown sources that can't be closed; None means all of them.
    """
    permits = []
    for _ in range(count):
        decision, permit = controller.admit_connection(
            address, now, controller.reserved_connections.unknown_count if busy is None else busy
        )
        if permit is not None:
            assert decision.admitted
            permits.append(permit)
    return permits


def test_a_flood_from_one_address_leaves_connections_for_others() -> None:
    controller = make_controller()
    assert len(connect(controller, "192.0.2.1", 100)) == 5
    assert controller.counts["refused"] == 95
    decision, permit = controller.admit_connection("192.0.2.1", 0, 5)
    assert not decision.admitted
    assert permit is None
    assert "its address" in decision.reason
    assert decision.retry_after_us > 0
    for number in range(2, 40):
        connect(controller, f"192.0.2.{number}", 5)
    assert controller.reserved_connections.unknown_count == 14  # all but the reserved connections
    assert len(connect(controller, "10.1.0.1", 5)) == 5


def test_limits_nest_and_a_rejection_consumes_none_of_them() -> None:
    controller = make_controller()
    permits = connect(controller, "10.9.0.1", 9)
    assert len(permits) == 4  # the limit of the prefix, below that of each source
    assert len(connect(controller, "10.9.0.2", 3)) == 0
    assert controller._sources[4, int(ipaddress.ip_address("10.9.0.2"))].open_count == 0
    assert len(connect(controller, "10.8.0.1", 9)) == 5
    assert len(connect(controller, "10.1.0.1", 9)) == 3  # the wide prefix has reached its limit of twelve
    for permit in permits:
        controller.release(permit)
        controller.release(permit)  # releasing twice has no effect
    assert len(connect(controller, "10.9.0.2", 3)) == 3
    assert controller.reserved_connections.open_count == 11


def test_a_flood_from_many_addresses_of_one_prefix_is_limited() -> None:
    controller = make_controller()
    admitted_count = sum(
        len(connect(controller, f"10.9.{number // 250}.{number % 250 + 1}", 2)) for number in range(200)
    )
    assert admitted_count == 4


def test_rejections_by_rate_say_when_to_retry() -> None:
    controller = make_controller(
        source_limits=Limits(connection_rate=Rate(2, 1_000_000, 2), request_rate=Rate(1, 500_000, 1))
    )
    first, _ = connect(controller, "192.0.2.1", 2)
    decision, permit = controller.admit_connection("192.0.2.1", 0, 0)
    assert permit is None
    assert decision.retry_after_us == 500_000
    assert controller.admit_connection("192.0.2.1", 500_000, 0)[0].admitted
    assert controller.admit_request(first, 0).admitted
    assert controller.admit_request(first, 0).retry_after_us == 500_000
    assert controller.admit_request(first, 500_000).admitted


def test_unknown_sources_share_a_request_rate_that_known_ones_do_not_use() -> None:
    controller = make_controller(unknown_request_rate=Rate(3, 1_000_000, 3), source_limits=Limits())
    unknown = [connect(controller, f"192.0.2.{number}", 1)[0] for number in range(1, 9)]
    assert sum(controller.admit_request(permit, 0).admitted for permit in unknown) == 3
    known = connect(controller, "10.1.0.1", 1)[0]
    assert all(controller.admit_request(known, 0).admitted for _ in range(50))


def test_a_source_becomes_known_by_its_reputation() -> None:
    controller = make_controller(unknown_request_rate=Rate(3, 1_000_000, 3), source_limits=Limits())
    permit = connect(controller, "198.51.100.7", 1)[0]
    assert not permit.known
    assert controller.reserved_connections.unknown_count == 1
    for _ in range(4):
        controller.record_placement(permit, 0)
    assert all(controller.admit_request(permit, 0).admitted for _ in range(10))
    assert permit.known
    assert (controller.reserved_connections.known_count, controller.reserved_connections.unknown_count) == (
        1,
        0,
    )
    controller.release(permit)
    assert controller.reserved_connections.open_count == 0
    assert controller.is_known(controller.source_of("198.51.100.7"), 0)


def test_a_flooding_known_source_is_bounded_by_its_own_limits() -> None:
    rules = (
        PrefixRule(
            "hollis", parse_prefix("10.1.0.0/16"), known=True, prefix_limits=Limits(max_connections=8)
        ),
    )
    controller = make_controller(rules=rules, source_limits=Limits())
    assert len(connect(controller, "10.1.0.1", 50)) == 8
    assert controller.counts["refused known"] == 42
    assert len(connect(controller, "192.0.2.1", 50)) > 0


def test_a_known_source_replaces_an_idle_unknown_connection() -> None:
    controller = make_controller(
        source_limits=Limits(), rules=(PrefixRule("hollis", parse_prefix("10.1.0.0/16"), known=True),)
    )
    unknown = connect(controller, "192.0.2.1", 50, busy=0)
    assert len(unknown) == 18  # all are idle: they may use the reserved connections except for the floor
    assert len(connect(controller, "10.1.0.1", 2, busy=0)) == 2
    decision, permit = controller.admit_connection("10.1.0.1", 0, 0)
    assert decision.admitted
    assert decision.replaces_idle
    assert permit is not None
    # No connection can be closed.
    assert not controller.admit_connection("10.1.0.1", 0, controller.reserved_connections.unknown_count)[
        0
    ].admitted


def test_clients_behind_one_address_share_its_limits() -> None:
    controller = make_controller()
    assert len(connect(controller, "192.0.2.1", 3)) == 3
    assert len(connect(controller, "192.0.2.1", 3)) == 2


def test_invalid_and_ipv6_addresses_are_mapped_to_sources() -> None:
    controller = make_controller()
    assert len(connect(controller, "no address", 9)) == 5
    assert len(connect(controller, "", 9)) == 0
    assert (
        controller.source_of("fe80::1%eth0")
        == controller.source_of("fe80::2%eth1")
        != controller.source_of("fe80:0:0:1::1")
    )
    assert controller.source_of("::ffff:192.0.2.1") == controller.source_of("192.0.2.1")


def test_a_reconfiguration_closes_no_connection() -> None:
    controller = make_controller()
    permits = connect(controller, "10.9.0.1", 4)
    controller.reconfigure(
        AdmissionConfig(
            ReservedConnectionsConfig(3, 1, 1),
            (PrefixRule("block", parse_prefix("10.9.0.0/16"), prefix_limits=Limits(2)),),
        )
    )
    assert controller.reserved_connections.open_count == 4
    assert not controller.admit_connection("10.9.0.1", 0, 0)[0].admitted
    for permit in permits[:3]:
        controller.release(permit)
    assert controller.admit_connection("10.9.0.1", 0, 0)[0].admitted
    assert controller.reserved_connections.open_count == 2


def test_the_number_of_tracked_sources_is_bounded() -> None:
    controller = make_controller(
        max_sources=50, rules=(), reserved_connections=ReservedConnectionsConfig(10_000, 0, 0)
    )
    permits = [
        permit
        for number in range(3000)
        for permit in connect(controller, str(ipaddress.ip_address(number)), 1)
    ]
    assert len(controller) <= 51
    assert len(permits) >= 50  # further sources share one state with its limits
    for permit in permits:
        controller.release(permit)
    for number in range(5000, 5200):
        for permit in connect(controller, str(ipaddress.ip_address(number)), 1, now=10**9):
            controller.release(permit)
    assert len(controller) <= 51
    assert controller.reserved_connections.open_count == 0
