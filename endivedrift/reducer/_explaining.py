"""Explains where a request would go, by the code that decides on a copy of the state.

The arrival of the request is reduced as if it had happened, so that the explanation cannot differ
from what a real request gets. Only what the arrival of a request without an idempotency key never
changes is shared with the copy: object set, routes, records of keys, registrations of targets, and
the services that the request cannot go to.
"""

from copy import deepcopy
from dataclasses import dataclass
from datetime import datetime, timedelta

from endivedrift.core import (
    CallerName,
    Instant,
    Refusal,
    RequestHead,
    RequestId,
    RouteName,
    ServiceName,
    TargetName,
)
from endivedrift.core.effects import (
    Effect,
    ForwardToPeer,
    QueueRequest,
    RefuseRequest,
    SendToTarget,
)
from endivedrift.core.events import RequestArrived
from endivedrift.fleet import NamedRoute, find_route
from endivedrift.policy import TargetCost, choose_target, list_costs
from endivedrift.reducer._quotas import estimate_tokens
from endivedrift.reducer._reduce import reduce
from endivedrift.reducer._state import HostState, RequestState, find_account, get_limit_per_target

EXPLAINED_REQUEST = RequestId("explained")
MAX_CHOICES = 3
MAX_OTHER_ROUTES = 3


@dataclass(frozen=True, slots=True)
class OtherRoute:
    """A route that does not apply to a request, and why."""

    name: RouteName
    cause: str


@dataclass(frozen=True, slots=True)
class Quota:
    """The quota of an account, and its tokens as known here; None before its first request."""

    requests_per_s: float
    burst: int
    tokens: float | None


@dataclass(frozen=True, slots=True)
class Explanation:
    """Where a request would go now.

    Attributes:
      route: The route that matched, or None.
      other_routes: The next routes, which did not match.
      service: Service that the request would go to, or None.
      caller: Account of the request, or None.
      quota: Quota of the account, or None if there is no account.
      effects: What the arrival of the request leads to.
      choices: The first choices among the targets, in order.
      costs: All targets of the service, in the order of their cost before the request.
    """

    route: NamedRoute | None
    other_routes: tuple[OtherRoute, ...]
    service: ServiceName | None
    caller: CallerName | None
    quota: Quota | None
    effects: tuple[Effect, ...]
    choices: tuple[TargetName, ...]
    costs: tuple[TargetCost, ...]

    @property
    def decision(self) -> str:
        """What would happen: send, queue, forward or refuse."""
        kinds = {SendToTarget: "send", QueueRequest: "queue", ForwardToPeer: "forward"}
        found = [kinds[type(effect)] for effect in self.effects if type(effect) in kinds]
        return found[0] if found else "refuse"

    @property
    def refusal(self) -> Refusal | None:
        """The refusal, or None if the request would not be refused."""
        for effect in self.effects:
            if isinstance(effect, RefuseRequest) and effect.request == EXPLAINED_REQUEST:
                return effect.refusal
        return None


def explain_request(
    state: HostState, at: Instant, wall: datetime, head: RequestHead
) -> Explanation:
    """Explains where a request without an idempotency key would go; the state is not changed.

    Args:
      state: The host.
      at: Current time.
      wall: Current date.
      head: The request.
    Returns:
      The explanation.
    """
    found = find_route(state.routes, head.method, head.path, head.host)
    involved = set(_list_services(found))
    others = [service for name, service in state.services.items() if name not in involved]
    shared = (state.objects, state.routes, state.keys.records, state.discovered, *others)
    copy = deepcopy(state, {id(part): part for part in shared})
    quota = _describe_quota(copy, at, head.caller)
    # The arrival changes the costs, so they are listed before it.
    costs = _list_costs(copy, at, found)
    effects = reduce(copy, RequestArrived(at, wall, EXPLAINED_REQUEST, head))
    pending = copy.requests.get(EXPLAINED_REQUEST)
    service = ServiceName(found.route.service) if found is not None else None
    choices: tuple[TargetName, ...] = ()
    if pending is not None:
        service = pending.service
        choices = _list_choices(copy, at, pending)
    return Explanation(
        route=found,
        other_routes=_list_other_routes(copy, head, found),
        service=service,
        caller=head.caller,
        quota=quota,
        effects=tuple(effects),
        choices=choices,
        costs=costs.get(service, ()) if service is not None else (),
    )


def _list_costs(
    copy: HostState, at: Instant, found: NamedRoute | None
) -> dict[ServiceName, tuple[TargetCost, ...]]:
    """Lists the costs of the targets of each service that a route may choose."""
    costs: dict[ServiceName, tuple[TargetCost, ...]] = {}
    if found is None:
        return costs
    for name in _list_services(found):
        service = copy.services.get(name)
        if service is not None:
            service.limit_per_target = get_limit_per_target(copy, service.name)
            domain = copy.identity.failure_domain
            listed = list_costs(service, domain, found.route.repeatable, at)
            costs[service.name] = tuple(listed)
    return costs


def _list_services(found: NamedRoute | None) -> list[ServiceName]:
    if found is None:
        return []
    names = (found.route.service, *(share.service for share in found.route.split))
    return [ServiceName(name) for name in names]


def _list_choices(copy: HostState, at: Instant, pending: RequestState) -> tuple[TargetName, ...]:
    """Lists the first choice, and those that follow if it were not available."""
    service = copy.services[pending.service]
    choices = [pending.target] if pending.target is not None else []
    while choices and len(choices) < MAX_CHOICES:
        name = choose_target(
            service,
            copy.identity.failure_domain,
            frozenset(choices),
            pending.route.route.repeatable,
            copy.random,
            at,
            timedelta(0),
            pending.head.body_bytes,
        )
        if name is None:
            break
        choices.append(name)
    return tuple(choices)


def _describe_quota(copy: HostState, at: Instant, caller: CallerName | None) -> Quota | None:
    account = find_account(copy, caller)
    if account is None or caller is None:
        return None
    tokens = estimate_tokens(copy, at, caller)
    return Quota(account.requests_per_s, account.burst, tokens)


def _list_other_routes(
    copy: HostState, head: RequestHead, found: NamedRoute | None
) -> tuple[OtherRoute, ...]:
    """Lists the routes with the longest common prefix that do not apply."""
    others: dict[RouteName, tuple[int, str]] = {}
    for (host, method, prefix), named in copy.routes.routes.items():
        if found is not None and named.name == found.name:
            continue
        is_under = head.path == prefix or head.path.startswith(prefix + "/")
        common = len(prefix) if is_under else 0
        if host not in ("", head.host):
            cause = f"it is for the host name {host}"
        elif not is_under:
            cause = f"the path is not under {named.route.path}"
        elif method not in ("*", head.method):
            cause = f"it is for the method {method}"
        else:
            cause = "another route has a longer prefix or is more specific"
        if named.name not in others or common > others[named.name][0]:
            others[named.name] = (common, cause)
    ordered = sorted(others.items(), key=lambda item: (-item[1][0], item[0]))
    return tuple(OtherRoute(name, cause) for name, (_, cause) in ordered[:MAX_OTHER_ROUTES])
