"""Cooperation of hosts: membership, routes, and the assignment of services to hosts."""

from endivedrift.fleet._datagrams import (
    sample_alive,
    send_evidence,
    send_quota_statuses,
    send_quotas,
    send_rate_limits,
    send_store_update,
    send_suspects,
)
from endivedrift.fleet._membership import (
    MemberRecord,
    Membership,
    build_membership,
    find_member,
    list_reachable,
    list_usable,
    replace_seeds,
)
from endivedrift.fleet._probing import (
    advance_membership,
    announce_leaving,
    mark_serving,
    watch_members,
)
from endivedrift.fleet._ranking import (
    Ranking,
    list_first_of_domains,
    order_across_domains,
    rank_hosts,
    select_near_hosts,
    select_spread_hosts,
)
from endivedrift.fleet._receiving import HEARD_WINDOW, receive_message
from endivedrift.fleet._routes import NamedRoute, RouteTable, build_routes, find_route

__all__ = [
    "HEARD_WINDOW",
    "MemberRecord",
    "Membership",
    "NamedRoute",
    "Ranking",
    "RouteTable",
    "advance_membership",
    "announce_leaving",
    "build_membership",
    "build_routes",
    "find_member",
    "find_route",
    "list_first_of_domains",
    "list_reachable",
    "list_usable",
    "mark_serving",
    "order_across_domains",
    "rank_hosts",
    "receive_message",
    "replace_seeds",
    "sample_alive",
    "select_near_hosts",
    "select_spread_hosts",
    "send_evidence",
    "send_quota_statuses",
    "send_quotas",
    "send_rate_limits",
    "send_store_update",
    "send_suspects",
    "watch_members",
]
