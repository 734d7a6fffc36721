"""How hosts act together: membership, routes and the spread of services over hosts."""

from endivedrift.fleet._datagrams import sample_alive, send_evidence, send_store_update
from endivedrift.fleet._entry import Ranking, rank_hosts
from endivedrift.fleet._probing import (
    advance_membership,
    announce_leaving,
    mark_serving,
    watch_members,
)
from endivedrift.fleet._receiving import HEARD_WINDOW, receive_message
from endivedrift.fleet._routes import NamedRoute, RouteTable, build_routes, find_route
from endivedrift.fleet._view import (
    MemberRecord,
    Membership,
    build_membership,
    find_member,
    list_usable,
    replace_seeds,
)

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
    "list_usable",
    "mark_serving",
    "rank_hosts",
    "receive_message",
    "replace_seeds",
    "sample_alive",
    "send_evidence",
    "send_store_update",
    "watch_members",
]
