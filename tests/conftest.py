"""Builders of settings, events and placers for tests of the decision module."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest

from thornshelf import placement as api
from thornshelf.lab.fakes import cluster
from thornshelf.placement.placer import Placer

pytest_plugins = ("tests.known_red",)

SAFE = api.TaskClass(name="safe", latency_objective_s=1.0, deadline_s=6.0, start_weight_s=8.0)


def settings(*classes: api.TaskClass, **changes: Any) -> api.Settings:
    """Return settings of a small deployment; ``changes`` replace fields of them, their limits, rules or prices."""
    limits = api.Limits(max_attempts=3, may_cancel=True, may_probe=True)
    rules = api.Rules(0.008, 0.5, 0.25, 10.0, 3.0, 1.0, 12.0, 10.0)
    base = api.Settings(
        me=0,
        placers=1,
        zone="here",
        zones=("here", "there"),
        kinds=("small", "large"),
        classes=classes or (SAFE,),
        tenants=(),
        limits=limits,
        prices=api.Prices(),
        rules=rules,
        cores_by_kind=(8.0, 32.0),
        memory_by_kind=(16.0, 64.0),
        overcommit_cores=1.0,
        overcommit_memory=1.0,
        unit_cores=1.0,
        mean_memory=1.0,
        accepts_before_running=True,
        reports_count_usage=False,
        reports_in_answers=True,
        reports_in_probes=True,
        endpoint_list_shows_free=False,
        reports_usage=True,
        reports_pressure=True,
        preempts=False,
        single_home=False,
        confirmation_s=3.0,
        over_quota_weight=0.1,
        list_on_request=False,
        tick_s=0.002,
    )
    for name in list(changes):
        for group in ("limits", "rules", "prices"):
            if hasattr(getattr(base, group), name):
                base = replace(base, **{group: replace(getattr(base, group), **{name: changes.pop(name)})})
                break
    return replace(base, **changes)


def endpoint(machine: int, **changes: Any) -> api.Endpoint:
    """Return an endpoint list entry of a small machine that is up; ``changes`` replace its fields."""
    base = api.Endpoint(machine, api.Health.UP, "small", "here", 1, 0.0, 0.0, 1.0, 0.0)
    return replace(base, **changes)


def endpoint_update(*entries: api.Endpoint, complete: bool = True) -> api.EndpointUpdate:
    """Return an update of the endpoint list; ``complete``: it replaces the whole list."""
    return api.EndpointUpdate(complete, 1, entries)


def placement_request(request: int, **changes: Any) -> api.PlacementRequest:
    """Return a request for a small task of the class ``safe``; ``changes`` replace its fields."""
    base = api.PlacementRequest(request, "safe", None, request, 6.0, None, 7, 1.0, 1.0)
    return replace(base, **changes)


def attempt_ended(
    request: int, machine: int, outcome: api.Outcome, attempt: int = 0, **changes: Any
) -> api.AttemptEnded:
    """Return the end of an attempt; ``changes`` replace its fields."""
    base = api.AttemptEnded(request, machine, attempt, outcome, api.Reason.UNSPECIFIED, False, 0.1, None)
    return replace(base, **changes)


def make_placer(*machines: api.Endpoint, placer_settings: api.Settings | None = None) -> Placer:
    """Return a placer that received its endpoint list at time 0."""
    new_placer = Placer(placer_settings or settings(), 1)
    new_placer.handle(0.0, [endpoint_update(*machines)])
    return new_placer


def started_attempts(actions: list[api.Action]) -> list[api.StartAttempt]:
    """Return the offers among some actions."""
    return [action for action in actions if isinstance(action, api.StartAttempt)]


def answers(actions: list[api.Action]) -> list[api.Reject | api.Fail]:
    """Return the negative final answers among some actions."""
    return [action for action in actions if isinstance(action, api.Reject | api.Fail)]


@pytest.fixture(autouse=True)
def _close_clusters() -> Iterator[None]:
    """Close the clusters of each test, so that none leaves sockets to the next."""
    yield
    while cluster.open_clusters:
        cluster.open_clusters.pop().close()
