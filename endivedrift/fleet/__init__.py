"""How hosts act together: membership, routes and the spread of services over hosts."""

from endivedrift.fleet._entry import rank_hosts
from endivedrift.fleet._members import (
    HEARD_WINDOW,
    MemberRecord,
    Membership,
    advance_membership,
    announce_leaving,
    announce_serving,
    build_membership,
    find_member,
    learn_seeds,
    list_usable,
    receive_message,
    send_evidence,
)
from endivedrift.fleet._routes import NamedRoute, RouteTable, build_routes, find_route

__all__ = [
    "HEARD_WINDOW",
    "MemberRecord",
    "Membership",
    "NamedRoute",
    "RouteTable",
    "advance_membership",
    "announce_leaving",
    "announce_serving",
    "build_membership",
    "build_routes",
    "find_member",
    "find_route",
    "learn_seeds",
    "list_usable",
    "rank_hosts",
    "receive_message",
    "send_evidence",
]
