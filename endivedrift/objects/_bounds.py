"""Rules for services whose operators publish routes only.

Where the place that a fleet runs in has bounds of its own and no objects for limits, the rules of
each service follow from those bounds.
"""

from dataclasses import dataclass

from endivedrift.objects._schema import (
    DrainRule,
    EjectionLimit,
    RetryRule,
    Service,
    UpstreamGroup,
)

BOUNDS_RULE_NAME = "bounds"
SLOTS_PER_CORE = 100
"""Slots of targets for each core of the hosts: a slot answers about 4.5 of the users' requests a
second, each took a host 3.4 ms (docs/MEASUREMENTS.md), and two thirds are busy in the rush."""
RATIO_SHARE = 0.95
"""Part of the fleet-wide ratio of retries that hosts earn with each request; the rest covers those
that are counted at a host later than at the caller."""
SLACK_SHARE = 0.7
"""Part of the fleet-wide slack that the entry hosts may save up: the rest covers hosts that get
requests although they are not named to callers."""


@dataclass(frozen=True, slots=True)
class FleetBounds:
    """Bounds that hold for a fleet as a whole.

    Attributes:
      retry_ratio: Attempts beyond the first, as a share of the requests for a service.
      retry_burst: Attempts beyond the first that are allowed besides, at one time.
      floor_share: Share of a service's targets that must stay in use.
      entry_hosts: Hosts that serve a service together.
    """

    retry_ratio: float
    retry_burst: int
    floor_share: float
    entry_hosts: int


def build_ejection_limit(bounds: FleetBounds) -> EjectionLimit:
    """Builds how far targets are taken out of use."""
    return EjectionLimit(
        floor=1,
        floor_share=bounds.floor_share,
        pause_ms=2_000,
        false_ejection_rate=1e-6,
        detectable_failure_rate=0.4,
        base_stay_ms=2_000,
        max_stay_ms=10_000,
    )


def build_retry_rule(bounds: FleetBounds) -> RetryRule:
    """Builds one host's part of the fleet's retry budget."""
    return RetryRule(
        max_attempts=1,
        budget_ratio=bounds.retry_ratio * RATIO_SHARE,
        budget_cap=int(bounds.retry_burst * SLACK_SHARE / bounds.entry_hosts),
    )


def build_drain_rule() -> DrainRule:
    """Builds how new targets are warmed up."""
    return DrainRule(warm_up_ms=3_000)


def build_discovered_service(name: str, bounds: FleetBounds) -> Service:
    """Builds a service whose targets register themselves in a group of the same name."""
    return Service(
        upstream_group=name,
        ejection_limit=BOUNDS_RULE_NAME,
        drain_rule=BOUNDS_RULE_NAME,
        retry_rule=BOUNDS_RULE_NAME,
        entry_hosts=bounds.entry_hosts,
        slots_per_core=SLOTS_PER_CORE,
        share_at_once=True,
    )


def build_discovered_group(connection_cap: int, not_run_header: str) -> UpstreamGroup:
    """Builds a group whose targets register themselves with their slots."""
    return UpstreamGroup(
        slots=1,
        connection_cap=connection_cap,
        not_run_header=not_run_header,
        discovered=True,
        close_delimited=True,
        connect_ms=200,
        reuse_unrepeatable_ms=2_000,
    )
