"""Fuzz tests of idempotency keys over several hosts with a store that loses replies.

The oracle counts what targets ran. A request with a key runs at most once, whatever is killed, cut
or lost; and a key that is reported as not run has not run and has no open attempt that may run it.
"""

import unittest
from collections import Counter
from dataclasses import dataclass
from datetime import timedelta

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from endivedrift.core import (
    AttemptOutcome,
    ClaimId,
    ClaimOutcome,
    ForwardOutcome,
    HostId,
    IdempotencyKey,
    Incarnation,
    KeyPhase,
    ManualClock,
    MessageKind,
    PeerMessage,
    RequestId,
    Verdict,
)
from endivedrift.core.effects import (
    ClaimKey,
    DeliverAnswer,
    Effect,
    ForwardToOwner,
    RefuseRequest,
    SendToTarget,
)
from endivedrift.core.events import (
    AttemptFinished,
    ForwardFinished,
    KeyClaimSettled,
    PeerMessageReceived,
)
from endivedrift.policy import mint_key
from endivedrift.reducer import _attempts, _keyed, _refusals
from tests.builders import (
    SECRET,
    WRITE_PATH,
    HostHarness,
    build_answer,
    build_identity,
    build_object_set,
)
from tests.fuzzing import detects_fault, fuzz_machine, inject_fault

HOSTS = ("h1", "h2", "h3")
CALLER_KEY_COUNT = 2
MAX_KEY_COUNT = 4
OUTCOMES = st.one_of(st.just(AttemptOutcome.ANSWERED), st.sampled_from(AttemptOutcome))
INDEX = st.integers(min_value=0, max_value=1_000)


@dataclass(frozen=True)
class Pending:
    """An effect whose completion a host process waits for."""

    host: str
    incarnation: Incarnation
    effect: Effect


class KeyMachine(RuleBasedStateMachine):
    """Runs three hosts with a table of claims, and records what their targets run."""

    @initialize()
    def start(self) -> None:
        self.clock = ManualClock()
        self.hosts: dict[str, HostHarness] = {}
        self.start_count = 0
        self.minted_count = 0
        self.claims: dict[str, tuple[HostId, Incarnation, ClaimId]] = {}
        self.delayed_claims: list[tuple[str, tuple[HostId, Incarnation, ClaimId]]] = []
        self.pending: list[Pending] = []
        self.keys: list[IdempotencyKey] = [
            IdempotencyKey(f"own-{n}") for n in range(CALLER_KEY_COUNT)
        ]
        self.key_of: dict[RequestId, str] = {}
        self.open_forwards: dict[RequestId, tuple[Pending, RequestId]] = {}
        self.runs: Counter[str] = Counter()
        for name in HOSTS:
            self.start_host(name)
        for name in HOSTS:
            self.announce(name)

    def start_host(self, name: str) -> None:
        self.start_count += 1
        identity = build_identity(name, incarnation=self.start_count, domain=name)
        objects = build_object_set(targets=3, floor=1, max_attempts=3)
        self.hosts[name] = HostHarness(objects, identity, self.clock, seed=self.start_count)

    def announce(self, name: str) -> None:
        me = self.hosts[name].state.membership.me
        for other, harness in self.hosts.items():
            if other != name:
                message = PeerMessage(
                    MessageKind.NOTICE, me, 1, 0, HostId(""), False, harness.state.config
                )
                event = PeerMessageReceived(self.clock.monotonic(), me.peer_address, message)
                harness.apply(event)

    @rule(host=st.sampled_from(HOSTS))
    def mint(self, host: str) -> None:
        incarnation = self.hosts[host].state.identity.incarnation
        self.minted_count += 1
        nonce = str(self.minted_count)
        if len(self.keys) >= MAX_KEY_COUNT:
            del self.keys[CALLER_KEY_COUNT]
        self.keys.append(mint_key(SECRET, HostId(host), incarnation, self.clock.wall(), nonce))

    @rule(host=st.sampled_from(HOSTS), index=INDEX, other_body=st.booleans())
    def arrive(self, host: str, index: int, other_body: bool) -> None:
        key = self.keys[-1 - index % len(self.keys)]
        body = b"other" if other_body and index % 5 == 0 else b"body"
        self.send(host, key, body, forwarded=False)

    def send(self, host: str, key: str, body: bytes, forwarded: bool) -> RequestId:
        harness = self.hosts[host]
        harness.request_count = len(self.key_of)
        request = RequestId(f"{host}-{harness.request_count + 1}")
        self.key_of[request] = key
        request, effects = harness.receive_request(
            "POST", WRITE_PATH, key=key, fingerprint=body, forwarded=forwarded
        )
        self.handle_effects(host, effects)
        return request

    def handle_effects(self, host: str, effects: list[Effect]) -> None:
        incarnation = self.hosts[host].state.identity.incarnation
        for effect in effects:
            if isinstance(effect, SendToTarget | ClaimKey | ForwardToOwner):
                self.pending.append(Pending(host, incarnation, effect))
            elif isinstance(effect, RefuseRequest):
                self.check_refusal(effect)
                outcome = ForwardOutcome.REFUSED
                self.finish_forward(effect.request, outcome, refusal=effect.refusal)
            elif isinstance(effect, DeliverAnswer):
                assert self.runs[self.key_of[effect.request]] == 1
                self.finish_forward(effect.request, ForwardOutcome.ANSWERED, answer=effect.answer)

    def check_refusal(self, effect: RefuseRequest) -> None:
        key = self.key_of[effect.request]
        if effect.refusal.verdict is Verdict.NOT_RUN:
            assert self.runs[key] == 0, f"{key} was reported as not run"
            assert not self.list_open_attempts(
                key
            ), f"{key} was reported as not run while it may run"

    def list_open_attempts(self, key: str) -> list[Pending]:
        return [
            p
            for p in self.pending
            if isinstance(p.effect, SendToTarget) and self.key_of[p.effect.request] == key
        ]

    def finish_forward(self, request: RequestId, outcome: ForwardOutcome, **result: object) -> None:
        if request not in self.open_forwards:
            return
        pending, original = self.open_forwards.pop(request)
        event = ForwardFinished(self.clock.monotonic(), original, outcome, **result)
        self.deliver(pending, event)

    def deliver(self, pending: Pending, event: object) -> None:
        harness = self.hosts[pending.host]
        if harness.state.identity.incarnation == pending.incarnation:
            self.handle_effects(pending.host, harness.apply(event))

    def pop_pending(self, index: int, kind: type) -> Pending | None:
        matching = [p for p in self.pending if isinstance(p.effect, kind)]
        if not matching:
            return None
        chosen = matching[index % len(matching)]
        self.pending.remove(chosen)
        return chosen

    @rule(index=INDEX, outcome=OUTCOMES, ran=st.booleans())
    def end_attempt(self, index: int, outcome: AttemptOutcome, ran: bool) -> None:
        pending = self.pop_pending(index, SendToTarget)
        if pending is None:
            return
        effect = pending.effect
        assert isinstance(effect, SendToTarget)
        answered = outcome is AttemptOutcome.ANSWERED
        if answered or (ran and could_have_run(outcome)):
            self.count_run(self.key_of[effect.request])
        event = AttemptFinished(
            self.clock.monotonic(),
            effect.request,
            effect.target,
            outcome,
            timedelta(milliseconds=5),
            build_answer() if answered else None,
        )
        self.deliver(pending, event)

    def count_run(self, key: str) -> None:
        self.runs[key] += 1
        assert self.runs[key] <= 1, f"{key} ran twice"

    @rule(index=INDEX, completion=st.sampled_from(("reply", "lost", "never", "late")))
    def end_claim(self, index: int, completion: str) -> None:
        pending = self.pop_pending(index, ClaimKey)
        if pending is None:
            return
        effect = pending.effect
        assert isinstance(effect, ClaimKey)
        row = (HostId(pending.host), pending.incarnation, effect.claim)
        if completion in ("reply", "lost"):
            self.claims.setdefault(effect.key, row)
        elif completion == "late":
            self.delayed_claims.append((effect.key, row))
        now = self.clock.monotonic()
        event = KeyClaimSettled(now, effect.request, ClaimOutcome.UNKNOWN)
        if completion == "reply":
            holder = self.claims[effect.key]
            outcome = ClaimOutcome.CLAIMED if holder == row else ClaimOutcome.TAKEN
            event = KeyClaimSettled(now, effect.request, outcome, *holder)
        self.deliver(pending, event)

    @rule(index=INDEX)
    def apply_late_claim(self, index: int) -> None:
        if self.delayed_claims:
            key, row = self.delayed_claims.pop(index % len(self.delayed_claims))
            self.claims.setdefault(key, row)

    @rule(index=INDEX, completion=st.sampled_from(("deliver", "deliver", "refused", "reply lost")))
    def end_forward(self, index: int, completion: str) -> None:
        pending = self.pop_pending(index, ForwardToOwner)
        if pending is None:
            return
        effect = pending.effect
        assert isinstance(effect, ForwardToOwner)
        if completion == "deliver" or completion == "reply lost":
            request = RequestId(f"{effect.owner}-{len(self.key_of) + 1}")
            if completion == "deliver":
                self.open_forwards[request] = (pending, effect.request)
            self.send(effect.owner, self.key_of[effect.request], b"body", forwarded=True)
        if completion != "deliver":
            event = ForwardFinished(
                self.clock.monotonic(),
                effect.request,
                ForwardOutcome.BROKEN,
                connected=completion == "reply lost",
            )
            self.deliver(pending, event)

    @rule(host=st.sampled_from(HOSTS), ran=st.booleans(), sees_others=st.booleans())
    def restart(self, host: str, ran: bool, sees_others: bool) -> None:
        for pending in [p for p in self.pending if p.host == host]:
            self.pending.remove(pending)
            if ran and isinstance(pending.effect, SendToTarget):
                self.count_run(self.key_of[pending.effect.request])
        self.open_forwards = {
            r: w for r, w in self.open_forwards.items() if not r.startswith(f"{host}-")
        }
        self.start_host(host)
        for name in HOSTS if sees_others else (host,):
            self.announce(name)

    @rule(seconds=st.sampled_from((0.1, 0.1, 1.0, 1.0, 5.0, 700.0, 4000.0)))
    def pass_time(self, seconds: float) -> None:
        self.clock.advance(timedelta(seconds=seconds))
        for name in HOSTS:
            self.handle_effects(name, self.hosts[name].advance(0.0001, step=0.0001))


def could_have_run(outcome: AttemptOutcome) -> bool:
    """Tells, independently of the code under test, whether a failed attempt may have run."""
    return outcome not in (
        AttemptOutcome.SHED,
        AttemptOutcome.DRAINING,
        AttemptOutcome.NOT_CONNECTED,
        AttemptOutcome.WITHDRAWN,
        # Another target answered at the address; by the interface, it does not run such a request.
        AttemptOutcome.MISDIRECTED,
    )


class KeyFuzzTest(unittest.TestCase):
    def test_keys_run_at_most_once_and_not_run_is_reported_truthfully(self) -> None:
        fuzz_machine(KeyMachine)


class FaultDetectionTest(unittest.TestCase):
    """Checks that the fuzz test detects each injected fault."""

    def assert_detected(self) -> None:
        self.assertTrue(detects_fault(KeyMachine))

    def test_running_a_key_of_another_host_is_noticed(self) -> None:
        def run_here(state, at, request, owner, incarnation):  # type: ignore[no-untyped-def]
            return _attempts.admit(state, at, request)

        with inject_fault(_keyed, "_forward", run_here):
            self.assert_detected()

    def test_retrying_a_cut_request_is_noticed(self) -> None:
        with inject_fault(_attempts, "judge_outcome", lambda outcome: Verdict.NOT_RUN):
            self.assert_detected()

    def test_forgetting_what_ran_is_noticed(self) -> None:
        def forget(table, key, answer):  # type: ignore[no-untyped-def]
            del table.records[key]

        with inject_fault(_attempts, "store_answer", forget):
            machine = KeyMachine()
            machine.start()
            machine.mint(host="h1")
            machine.arrive(host="h1", index=0, other_body=False)
            machine.end_attempt(index=0, outcome=AttemptOutcome.ANSWERED, ran=True)
            machine.arrive(host="h1", index=0, other_body=False)
            with self.assertRaises(AssertionError):
                machine.end_attempt(index=0, outcome=AttemptOutcome.ANSWERED, ran=True)
            self.assert_detected()

    def test_reporting_every_refusal_as_not_run_is_noticed(self) -> None:
        with inject_fault(_refusals, "compute_key_verdict", lambda state, key: Verdict.NOT_RUN):
            self.assert_detected()

    def test_treating_an_unsettled_claim_as_granted_is_noticed(self) -> None:
        def grant(state, event, key):  # type: ignore[no-untyped-def]
            state.keys.records[key].phase = KeyPhase.RUNNING
            return _attempts.admit(state, event.at, event.request)

        with inject_fault(_keyed, "_refuse_unsettled_claim", grant):
            self.assert_detected()
