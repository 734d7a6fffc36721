"""Tests the spread of object sets and concurrent publishes.

No host reverts to an older object set when it reads a stale head, when a fetch fails, when messages
of peers arrive in one direction only, or when it restarts. A publisher is told truthfully whether
its set was accepted, also when the store applies a write late or loses its reply.
"""

import random
import unittest
from dataclasses import dataclass, field
from datetime import UTC, datetime

import curio
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from endivedrift.core import (
    NO_CONFIG,
    ConfigRef,
    Digest,
    HostId,
    ManualClock,
    MessageKind,
    PeerMessage,
    Version,
)
from endivedrift.core.effects import Effect, FetchConfig
from endivedrift.core.events import (
    ConfigFetched,
    ConfigFetchFailed,
    ConfigHeadObserved,
    PeerMessageReceived,
)
from endivedrift.objects import decode_object_set, digest_bytes, encode_object_set
from endivedrift.reducer import _config, _reduce
from endivedrift.store import (
    PlatformError,
    PublishOutcome,
    PublishRequest,
    Row,
    Write,
    _publishing,
    list_history,
    publish_object_set,
    read_config_head,
)
from standins.tasks import run_together
from tests.builders import HostHarness, build_identity, build_object_set
from tests.fuzzing import detects_fault, fuzz_machine, inject_fault

HOSTS = ("h1", "h2", "h3")
INDEX = st.integers(min_value=0, max_value=1_000)


class SpreadMachine(RuleBasedStateMachine):
    """Runs hosts that read stale heads, lose fetches, receive peers only one way and restart."""

    @initialize()
    def start(self) -> None:
        self.clock = ManualClock()
        self.published: list[tuple[ConfigRef, bytes]] = []
        self.hosts: dict[str, HostHarness] = {}
        self.fetches: list[tuple[str, FetchConfig]] = []
        self.sequence = 0
        self.incarnation = 0
        self.seen_versions: dict[str, int] = {}
        self.publish()
        for name in HOSTS:
            self.start_host(name)

    def start_host(self, name: str) -> None:
        self.incarnation += 1
        identity = build_identity(name, self.incarnation)
        self.hosts[name] = HostHarness(None, identity, self.clock)
        self.fetches = [(host, fetch) for host, fetch in self.fetches if host != name]
        self.seen_versions[name] = 0

    def handle_effects(self, host: str, effects: list[Effect]) -> None:
        self.fetches += [(host, e) for e in effects if isinstance(e, FetchConfig)]

    @rule()
    def publish(self) -> None:
        version = len(self.published) + 1
        canonical = encode_object_set(build_object_set(queue_length=version))
        self.published.append((ConfigRef(Version(version), digest_bytes(canonical)), canonical))

    @rule(host=st.sampled_from(HOSTS), lag=st.sampled_from((0, 0, 1, 2, 5)))
    def read_head(self, host: str, lag: int) -> None:
        config = self.published[max(0, len(self.published) - 1 - lag)][0]
        event = ConfigHeadObserved(self.clock.monotonic(), config)
        self.handle_effects(host, self.hosts[host].apply(event))

    @rule(index=INDEX, found=st.booleans())
    def end_fetch(self, index: int, found: bool) -> None:
        if not self.fetches:
            return
        host, fetch = self.fetches.pop(index % len(self.fetches))
        now = self.clock.monotonic()
        if found:
            canonical = self.published[fetch.config.version - 1][1]
            event: object = ConfigFetched(now, fetch.config, canonical)
        else:
            event = ConfigFetchFailed(now, fetch.config)
        self.handle_effects(host, self.hosts[host].apply(event))

    @rule(sender=st.sampled_from(HOSTS), receiver=st.sampled_from(HOSTS))
    def gossip(self, sender: str, receiver: str) -> None:
        if sender == receiver:
            return
        self.sequence += 1
        view = self.hosts[sender].state.membership
        message = PeerMessage(
            MessageKind.NOTICE, view.me, self.sequence, 0, HostId(""), False, view.config
        )
        event = PeerMessageReceived(self.clock.monotonic(), view.me.peer_address, message)
        self.handle_effects(receiver, self.hosts[receiver].apply(event))

    @rule(seconds=st.sampled_from((0.1, 0.5, 4.0)))
    def pass_time(self, seconds: float) -> None:
        for name in HOSTS:
            self.handle_effects(name, self.hosts[name].advance(seconds))

    @rule(host=st.sampled_from(HOSTS))
    def restart(self, host: str) -> None:
        self.start_host(host)

    @invariant()
    def never_older(self) -> None:
        for name, harness in getattr(self, "hosts", {}).items():
            config = harness.state.config
            assert config.version >= self.seen_versions[name], "an object set reverted"
            self.seen_versions[name] = config.version
            if config != NO_CONFIG:
                assert self.published[config.version - 1][0] == config

    def teardown(self) -> None:
        if not getattr(self, "hosts", None):
            return
        for _ in range(10):
            for name in HOSTS:
                self.read_head(name, 0)
            self.pass_time(0.5)
            while self.fetches:
                self.end_fetch(0, True)
        newest = len(self.published)
        assert all(b.state.config.version == newest for b in self.hosts.values())


class SpreadTest(unittest.TestCase):
    def test_versions_never_revert_and_the_newest_arrives(self) -> None:
        fuzz_machine(SpreadMachine)

    def test_applying_any_fetched_set_is_noticed(self) -> None:
        real = _config._install

        def install_any(state, event):  # type: ignore[no-untyped-def]
            state.fetching = None
            objects = decode_object_set(event.canonical).ok
            return real(state, event, objects)

        with inject_fault(_reduce, "apply_config", install_any):
            self.assertTrue(detects_fault(SpreadMachine))

    def test_a_starting_host_waits_for_a_peer_before_it_trusts_a_stale_head(self) -> None:
        harness = HostHarness(None)
        harness.advance(0.1)
        config = ConfigRef(Version(1), Digest("old"))
        effects = harness.apply(ConfigHeadObserved(harness.clock.monotonic(), config))
        self.assertEqual(effects, [])
        later = harness.advance(1.5)
        self.assertTrue(any(isinstance(effect, FetchConfig) for effect in later))


@dataclass
class LossyStore:
    """A store in memory that randomly fails reads, delays writes and loses their replies.

    A delayed write reports that it may have run, and is applied later.
    """

    rng: random.Random
    is_faulty: bool = True
    rows: dict[tuple[str, str], tuple[int, dict[str, object]]] = field(default_factory=dict)
    objects: dict[str, bytes] = field(default_factory=dict)
    delayed_writes: list[tuple[Write, ...]] = field(default_factory=list)

    async def read_row(self, table: str, key: str) -> Row:
        await self.yield_randomly()
        self.fail_randomly(0.1, False)
        version, value = self.rows.get((table, key), (0, {}))
        return Row(table, key, Version(version), dict(value))

    async def list_rows(self, table: str) -> tuple[Row, ...]:
        await self.yield_randomly()
        self.fail_randomly(0.1, False)
        keys = sorted(key for name, key in self.rows if name == table)
        return tuple(
            Row(table, key, Version(self.rows[table, key][0]), dict(self.rows[table, key][1]))
            for key in keys
        )

    async def write_rows(self, writes: tuple[Write, ...]) -> bool:
        await self.yield_randomly()
        if self.is_faulty and self.rng.random() < 0.2:
            self.delayed_writes.append(writes)
            raise PlatformError("lost", True)
        applied = self.apply(writes)
        await self.yield_randomly()
        self.fail_randomly(0.2, True)
        return applied

    async def put_object(self, digest: Digest, data: bytes) -> None:
        await self.yield_randomly()
        self.objects[digest] = data

    async def get_object(self, digest: Digest) -> bytes | None:
        return self.objects.get(digest)

    def apply(self, writes: tuple[Write, ...]) -> bool:
        for write in writes:
            if self.rows.get((write.table, write.key), (0, {}))[0] != write.expected:
                return False
        for write in writes:
            self.rows[write.table, write.key] = (write.expected + 1, write.value)
        return True

    async def yield_randomly(self) -> None:
        for _ in range(self.rng.randrange(4)):
            await curio.sleep(0)
        if self.delayed_writes and self.rng.random() < 0.2:
            self.apply(self.delayed_writes.pop(0))

    def fail_randomly(self, probability: float, may_have_run: bool) -> None:
        if self.is_faulty and self.rng.random() < probability:
            raise PlatformError("no reply", may_have_run)


@dataclass(frozen=True)
class Operation:
    """One call of a history: logical times, and a publish id and outcome or the version read."""

    started: int
    ended: int
    publish_id: str
    outcome: PublishOutcome | None
    version: int


class PublishHistory:
    """Runs publishers and a reader concurrently on a lossy store and records their operations."""

    def __init__(self, seed: int) -> None:
        self.store = LossyStore(random.Random(seed))
        self.operations: list[Operation] = []
        self.logical_time = 0

    def tick(self) -> int:
        self.logical_time += 1
        return self.logical_time

    async def run(self, publishers: int, publish_count: int) -> None:
        publishing = [
            self.publish_repeatedly(number, publish_count) for number in range(publishers)
        ]
        await run_together([*publishing, self.read_repeatedly(publish_count * 4)])
        self.store.is_faulty = False
        while self.store.delayed_writes:
            self.store.apply(self.store.delayed_writes.pop(0))

    async def publish_repeatedly(self, number: int, publish_count: int) -> None:
        for count in range(publish_count):
            canonical = encode_object_set(build_object_set(queue_length=10 * number + count))
            request = PublishRequest(
                "d", canonical, f"p{number}", datetime(2026, 1, 1, tzinfo=UTC), f"{number}-{count}"
            )
            started = self.tick()
            result = await publish_object_set(self.store, request)
            self.operations.append(
                Operation(started, self.tick(), request.publish_id, result.outcome, 0)
            )

    async def read_repeatedly(self, count: int) -> None:
        for _ in range(count):
            started = self.tick()
            try:
                head = await read_config_head(self.store, "d")
            except PlatformError:
                continue
            version = head.config.version
            self.operations.append(Operation(started, self.tick(), "", None, version))


def check_publishes(history: PublishHistory) -> list[str]:
    """Checks a history of publishes and reads against the audit trail.

    Returns:
      Its violations: two sets with one version, a publish with the wrong outcome, or an operation
      that saw an older version than one that had ended before.
    """
    trail = curio.run(list_history, history.store, "d")
    versions = {entry.publish_id: entry.config.version for entry in trail}
    violations = [] if len(set(versions.values())) == len(trail) else ["two sets share a version"]
    seen: list[tuple[int, int, int]] = []
    for operation in history.operations:
        if operation.outcome in (PublishOutcome.NOT_RUN, PublishOutcome.LOST_RACE):
            if operation.publish_id in versions:
                violations.append(f"{operation.publish_id} was refused and accepted")
        elif operation.outcome is PublishOutcome.ACCEPTED:
            if operation.publish_id not in versions:
                violations.append(f"{operation.publish_id} was reported as accepted and was not")
                continue
            version = versions[operation.publish_id]
            seen.append((operation.started, operation.ended, version))
        elif operation.outcome is None:
            seen.append((operation.started, operation.ended, operation.version))
    for _, first_ended, first in seen:
        for second_started, _, second in seen:
            if first_ended < second_started and second < first:
                violations.append(f"version {second} was seen after {first}")
    return violations


class PublishTest(unittest.TestCase):
    def run_histories(self, seeds: range) -> list[str]:
        violations = []
        for seed in seeds:
            history = PublishHistory(seed)
            curio.run(history.run, 3, 4)
            violations += check_publishes(history)
        return violations

    def test_concurrent_publishes_are_linearizable_and_reported_truthfully(self) -> None:
        self.assertEqual(self.run_histories(range(300)), [])

    def test_reporting_a_lost_reply_as_not_run_is_noticed(self) -> None:
        async def report_not_run(platform, request, before):  # type: ignore[no-untyped-def]
            return _publishing.PublishResult(PublishOutcome.NOT_RUN, None, "")

        with inject_fault(_publishing, "_settle_lost_reply", report_not_run):
            self.assertNotEqual(self.run_histories(range(50)), [])

    def test_an_unconditional_write_is_noticed(self) -> None:
        def overwrite(store, writes):  # type: ignore[no-untyped-def]
            for write in writes:
                row = store.rows.get((write.table, write.key), (0, {}))
                store.rows[write.table, write.key] = (row[0] + 1, write.value)
            return True

        with inject_fault(LossyStore, "apply", overwrite):
            self.assertNotEqual(self.run_histories(range(50)), [])

    def test_a_new_version_exceeds_a_version_in_force_beyond_the_head(self) -> None:
        store = LossyStore(random.Random(1), is_faulty=False)
        canonical = encode_object_set(build_object_set())
        request = PublishRequest(
            "d", canonical, "p", datetime(2026, 1, 1, tzinfo=UTC), "id", version_in_force=Version(7)
        )
        result = curio.run(publish_object_set, store, request)
        self.assertEqual(result.outcome, PublishOutcome.ACCEPTED)
        assert result.head is not None
        self.assertEqual(result.head.config.version, 8)
