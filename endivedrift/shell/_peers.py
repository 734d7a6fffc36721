"""Communication with the other hosts: datagrams, calls, and fetches of object sets and targets."""

import contextlib
import random
import socket
from collections.abc import Awaitable, Callable
from datetime import timedelta

import curio

from endivedrift.core import (
    Address,
    Digest,
    PeerMessage,
    RequestHead,
    RequestId,
)
from endivedrift.core.effects import FetchConfig, FetchTargets
from endivedrift.core.events import (
    CallerDisconnected,
    ConfigFetched,
    ConfigFetchFailed,
    PeerMessageReceived,
    PeerTargetsReceived,
)
from endivedrift.objects import digest_bytes
from endivedrift.policy import Holding
from endivedrift.reducer import list_registered_targets
from endivedrift.settings import LimitsSection
from endivedrift.shell._codec import (
    MAX_DATAGRAM_BYTES,
    Call,
    ConfigBytes,
    ConfigQuery,
    ForwardedRequest,
    ForwardReply,
    KnownTargets,
    NotFound,
    Reply,
    TargetsQuery,
    decode_datagram,
    encode_datagram,
)
from endivedrift.shell._connection_slots import ConnectionSlots
from endivedrift.shell._http import accept_connections, parse_endpoint
from endivedrift.shell._log import make_logger
from endivedrift.shell._peer_calls import (
    PEER_CONNECT_TIMEOUT,
    PeerCallError,
    call_peer,
    serve_call,
)
from endivedrift.shell._requests import digest_request, fingerprint_request, read_host
from endivedrift.shell._serving import (
    MAX_MEMORY_WAIT,
    ServingContext,
    list_leaving,
    serve_request,
)
from endivedrift.shell._sockets import Socket, open_datagram_socket, open_stream_socket
from endivedrift.shell._targets import TargetRequest

FETCH_TIMEOUT = timedelta(seconds=2)
RECEIVE_BUFFER_BYTES = 131_072
"""Bytes of a call that the kernel holds while it is not read."""

_log = make_logger("peers")


class PeerTransport:
    """Sends and receives the messages between hosts."""

    def __init__(
        self,
        context: ServingContext,
        address: Address,
        read_object: Callable[[Digest], Awaitable[bytes | None]],
        limits: LimitsSection,
    ) -> None:
        """Opens the sockets, and registers with the runtime for sending and fetching.

        Args:
          context: What serving a forwarded request needs.
          address: Address to listen on for datagrams and calls.
          read_object: Reads an object set from the store, or returns None if that fails.
          limits: Limits on connections.
        Raises:
          OSError: If the address cannot be used.
        """
        self._context = context
        self._runtime = context.runtime
        self._read_object = read_object
        self._canonical: dict[str, bytes] = {}
        sockaddr = parse_endpoint(address).to_sockaddr()
        self._udp = open_datagram_socket()
        self._udp.bind(sockaddr)
        self._tcp = open_stream_socket()
        self._tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._tcp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._tcp.bind(sockaddr)
        self._tcp.listen(limits.peer_connections)
        self._slots = ConnectionSlots(limits.peer_connections)
        # The reducer often sends one message to several hosts; it is encoded only once.
        self._last_encoded: tuple[PeerMessage | None, bytes] = (None, b"")
        self._runtime.send_datagram = self.send_message
        self._runtime.fetch_config = self.fetch_config
        self._runtime.fetch_targets = self.fetch_targets

    def send_message(self, address: Address, message: PeerMessage) -> None:
        """Sends a message as a datagram, or drops it if the send buffer is full."""
        if message is not self._last_encoded[0]:
            self._last_encoded = (message, encode_datagram(self._context.secret, message))
        datagram = self._last_encoded[1]
        self._runtime.metrics.peer_bytes["sent"] += len(datagram)
        with contextlib.suppress(OSError):
            self._udp.raw.sendto(datagram, parse_endpoint(address).to_sockaddr())

    async def receive(self) -> None:
        """Receives datagrams until cancelled."""
        while True:
            datagram, source = await self._udp.recvfrom(MAX_DATAGRAM_BYTES)
            self._runtime.metrics.peer_bytes["received"] += len(datagram)
            message = decode_datagram(self._context.secret, datagram)
            if message is None:
                self._runtime.metrics.rejected_peer_messages += 1
                continue
            origin = Address(f"{source[0]}:{source[1]}")
            now = self._runtime.clock.monotonic()
            await self._runtime.dispatch(PeerMessageReceived(now, origin, message))

    async def accept(self) -> None:
        """Accepts calls until cancelled."""

        async def start(sock: Socket) -> None:
            await self._slots.start(sock, self._serve_connection)

        await accept_connections(self._tcp, start)

    async def fetch_config(self, effect: FetchConfig) -> None:
        """Fetches an object set from peers or, if none of them has it, from the object store.

        A failure of any kind is reported, since the set is not fetched again before.
        """
        try:
            await self._fetch_and_install(effect)
        except Exception:
            _log.exception("Fetching an object set failed.", version=effect.config.version)
            now = self._runtime.clock.monotonic()
            await self._runtime.dispatch(ConfigFetchFailed(now, effect.config))

    async def _fetch_and_install(self, effect: FetchConfig) -> None:
        config = effect.config
        reply = await self._ask_until(
            effect.peers,
            ConfigQuery(config.digest),
            lambda reply: isinstance(reply, ConfigBytes)
            and digest_bytes(reply.canonical) == config.digest,
        )
        canonical = reply.canonical if isinstance(reply, ConfigBytes) else None
        if canonical is None:
            canonical = await self._read_object(config.digest)
        now = self._runtime.clock.monotonic()
        if canonical is None or digest_bytes(canonical) != config.digest:
            await self._runtime.dispatch(ConfigFetchFailed(now, config))
            return
        await self.install(ConfigFetched(now, config, canonical))

    async def fetch_targets(self, effect: FetchTargets) -> None:
        """Asks peers for registered targets until one of them knows any."""
        reply = await self._ask_until(
            effect.peers,
            TargetsQuery(),
            lambda reply: isinstance(reply, KnownTargets) and bool(reply.entries),
        )
        if isinstance(reply, KnownTargets):
            now = self._runtime.clock.monotonic()
            await self._runtime.dispatch(PeerTargetsReceived(now, reply.entries, reply.version))

    async def install(self, fetched: ConfigFetched) -> None:
        """Keeps an object set for other hosts to fetch, and gives it to the reducer."""
        self._canonical = {fetched.config.digest: fetched.canonical}
        await self._runtime.dispatch(fetched)

    async def close(self) -> None:
        """Closes the sockets."""
        await self._udp.close()
        await self._tcp.close()

    async def _ask_until(
        self,
        peers: tuple[Address, ...],
        query: ConfigQuery | TargetsQuery,
        is_wanted: Callable[[Reply], bool],
    ) -> Reply | None:
        """Asks hosts in turn, the next one also while those before it have not replied for a while.

        Returns:
          The first wanted reply, or None if no host gives one.
        """
        waiting = list(peers)
        async with curio.TaskGroup() as group:
            asked = 0
            while waiting or asked:
                if waiting:
                    await group.spawn(self._ask, waiting.pop(0), query)
                    asked += 1
                limit = PEER_CONNECT_TIMEOUT if waiting else FETCH_TIMEOUT
                task = None
                async with curio.ignore_after(limit.total_seconds()):
                    task = await group.next_done()
                if task is None:
                    continue
                asked -= 1
                if task.result is not None and is_wanted(task.result):
                    await group.cancel_remaining()
                    reply: Reply = task.result
                    return reply
        return None

    async def _ask(self, address: Address, query: ConfigQuery | TargetsQuery) -> Reply | None:
        """Asks another host; returns None if it does not reply in time."""
        try:
            return await call_peer(
                self._context.secret,
                address,
                query,
                FETCH_TIMEOUT,
                connect_timeout=PEER_CONNECT_TIMEOUT,
            )
        except PeerCallError as error:
            _log.info("A host did not reply.", peer=address, cause=str(error))
            return None

    async def _serve_connection(self, sock: Socket) -> None:
        request_id, memory = self._runtime.new_request_id(), self._context.pool.memory
        holding = memory.open(request_id, id(sock))

        async def reserve(size: int) -> bool:
            return await memory.reserve(holding, size, MAX_MEMORY_WAIT)

        async def handle(call: Call) -> Reply:
            self._slots.note_request(sock)
            return await self._handle_call(sock, holding, call)

        try:
            if not await serve_call(self._context.secret, sock, handle, reserve):
                self._runtime.metrics.rejected_peer_messages += 1
        finally:
            memory.close(holding)

    async def _handle_call(self, sock: Socket, holding: Holding, call: Call) -> Reply:
        if isinstance(call, ConfigQuery):
            canonical = self._canonical.get(call.digest)
            return ConfigBytes(canonical) if canonical is not None else NotFound()
        if isinstance(call, TargetsQuery):
            return KnownTargets(*list_registered_targets(self._runtime.state))
        self._context.pool.memory.assign_account(holding, call.caller)
        request_id = holding.request
        if not call.for_peer:
            return await self._serve_forwarded(request_id, call)
        watching = await curio.spawn(self._watch_sender(sock, request_id), daemon=True)
        try:
            return await self._serve_forwarded(request_id, call)
        finally:
            await watching.cancel()

    async def _watch_sender(self, sock: Socket, request_id: RequestId) -> None:
        """Reports when the sender of a request closes its connection, since its caller has left."""
        with contextlib.suppress(OSError):
            await sock.recv(1)
        now = self._runtime.clock.monotonic()
        await self._runtime.dispatch(CallerDisconnected(now, request_id))

    async def _serve_forwarded(self, request_id: RequestId, call: ForwardedRequest) -> ForwardReply:
        target = call.target.encode("latin-1")
        request = TargetRequest(call.method, target, call.headers, call.body)
        host = read_host(call.headers)
        head = RequestHead(
            method=call.method,
            path=call.target.partition("?")[0],
            host=host,
            caller=call.caller,
            key=call.key,
            fingerprint=fingerprint_request(call.caller, request),
            caller_timeout=call.timeout,
            forwarded=not call.for_peer,
            for_peer=call.for_peer,
            earlier_attempts=call.earlier_attempts,
            config_version=call.config_version,
            takes_retry=call.takes_retry,
            digest=digest_request(host, call.caller, request),
            body_bytes=len(call.body),
        )
        served = await serve_request(self._context, request_id, head, request)
        return ForwardReply(served.result, list_leaving(served.attempts))


def jitter_period(period: timedelta) -> float:
    """Returns a period in seconds with a jitter of 25 %, so that hosts do not act together."""
    return period.total_seconds() * random.uniform(0.75, 1.25)
