"""Derives the objects of services for which operators only publish routes.

Some environments set bounds for the fleet as a whole instead of publishing objects with limits. The
limits and rules of each service are then derived from these bounds.
"""

from dataclasses import dataclass

from endivedrift.objects._schema import (
    DrainRule,
    EjectionLimit,
    HedgeRule,
    RetryRule,
    Service,
    UpstreamGroup,
)

BOUNDS_RULE_NAME = "bounds"
SLOTS_PER_CORE = 100
"""Target slots for each core of the hosts. A slot answers about 4.5 requests a second, a request
takes 3.4 ms of a host's core (docs/MEASUREMENTS.md), and two thirds of the slots are busy at peak
load."""
RETRY_RATIO_SHARE = 0.95
"""Share of the fleet-wide retry ratio that a host adds to its retry budget with each request. The
rest covers requests that a host counts later than the caller does."""
RETRY_BURST_SHARE = 0.7
"""Share of the fleet-wide retry burst that the primaries may accumulate. The rest covers hosts
that receive requests although callers are not sent to them."""


@dataclass(frozen=True, slots=True)
class FleetBounds:
    """Bounds that apply to the fleet as a whole.

    Attributes:
      retry_ratio: Retries allowed per request to a service.
      retry_burst: Retries allowed at one time in addition to that ratio.
      floor_share: Share of a service's targets that must remain in use.
      entry_hosts: Minimum number of hosts to which callers of a service are sent.
      hedge_share: Share of a service's requests that may be hedged; 0 disables hedging.
    """

    retry_ratio: float
    retry_burst: int
    floor_share: float
    entry_hosts: int
    hedge_share: float = 0.0


def build_ejection_limit(bounds: FleetBounds) -> EjectionLimit:
    """Builds the ejection limit that keeps the required share of targets in use."""
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
    """Builds the retry rule with one host's share of the fleet's retry budget."""
    return RetryRule(
        max_attempts=1,
        budget_ratio=bounds.retry_ratio * RETRY_RATIO_SHARE,
        budget_cap=int(bounds.retry_burst * RETRY_BURST_SHARE / bounds.entry_hosts),
    )


def build_hedge_rules(bounds: FleetBounds) -> dict[str, HedgeRule]:
    """Builds the hedge rule of all services by name; empty if nothing may be hedged."""
    if not bounds.hedge_share:
        return {}
    return {BOUNDS_RULE_NAME: HedgeRule(max_extra_share=bounds.hedge_share)}


def build_drain_rule() -> DrainRule:
    """Builds the drain rule, which sets how long new targets are warmed up."""
    return DrainRule(warm_up_ms=3_000)


def build_discovered_service(name: str, bounds: FleetBounds) -> Service:
    """Builds a service whose targets register in an upstream group of the same name."""
    return Service(
        upstream_group=name,
        ejection_limit=BOUNDS_RULE_NAME,
        drain_rule=BOUNDS_RULE_NAME,
        retry_rule=BOUNDS_RULE_NAME,
        hedge_rule=BOUNDS_RULE_NAME if bounds.hedge_share else "",
        entry_hosts=bounds.entry_hosts,
        slots_per_core=SLOTS_PER_CORE,
        share_at_once=True,
    )


def build_discovered_group(connection_cap: int, not_run_header: str) -> UpstreamGroup:
    """Builds an upstream group whose targets register and state their own slots."""
    return UpstreamGroup(
        slots=1,
        connection_cap=connection_cap,
        not_run_header=not_run_header,
        discovered=True,
        close_delimited=True,
        connect_ms=200,
        reuse_unrepeatable_ms=2_000,
    )
