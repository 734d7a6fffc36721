"""Tests how the reducer treats caller accounts: keys, importance, and turns in the queue."""

import unittest
from dataclasses import replace
from datetime import timedelta
from random import Random

from endivedrift.core import (
    AttemptOutcome,
    CallerName,
    Importance,
    Instant,
    RefusalReason,
    RequestHead,
    RequestId,
)
from endivedrift.core.effects import (
    DeliverAnswer,
    Effect,
    QueueRequest,
    RefuseRequest,
    SendToTarget,
)
from endivedrift.core.events import AttemptFinished, RequestArrived
from endivedrift.objects import (
    Caller,
    ObjectSet,
    SourceFile,
    check_sources,
    digest_account_key,
)
from endivedrift.policy import FairQueue, QueuedRequest, ServedShares
from tests.builders import (
    READ_PATH,
    HostHarness,
    build_answer,
    build_config_fetched,
    build_object_set,
)

ACME, GLOBEX = CallerName("acme"), CallerName("globex")
ACME_KEY, GLOBEX_KEY = digest_account_key(b"first"), digest_account_key(b"second")


def build_account_set(queue_length: int = 100, **callers: Caller) -> ObjectSet:
    """Builds an object set whose routes need the key of an account."""
    objects = build_object_set(targets=2, floor=1, slots=1, queue_length=queue_length)
    accounts = callers or {
        ACME: Caller(key_digests=(ACME_KEY,)),
        GLOBEX: Caller(key_digests=(GLOBEX_KEY,), importance="critical"),
    }
    routes = {
        name: replace(route, known_callers_only=True, importance="normal")
        for name, route in objects.route.items()
    }
    return replace(objects, caller=accounts, route=routes)


class AccountHarness(HostHarness):
    """Drives a reducer with requests that carry account keys."""

    def request_as(self, caller: CallerName | None, key: str | None) -> tuple[RequestId, Effect]:
        """Applies the arrival of a request; returns its id and the first effect."""
        self.request_count += 1
        request = RequestId(f"r{self.request_count}")
        head = RequestHead("GET", READ_PATH, caller=caller, account_key=key)  # type: ignore[arg-type]
        event = RequestArrived(self.clock.monotonic(), self.clock.wall(), request, head)
        return request, self.apply(event)[0]

    def fill_targets(self) -> list[SendToTarget]:
        """Sends requests until one is queued, and returns those that were sent."""
        sent = []
        while isinstance(effect := self.request_as(ACME, ACME_KEY)[1], SendToTarget):
            sent.append(effect)
        return sent

    def finish(self, sent: SendToTarget) -> list[Effect]:
        """Applies a good answer."""
        work = timedelta(seconds=0.1)
        outcome = AttemptOutcome.ANSWERED
        now = self.clock.monotonic()
        event = AttemptFinished(now, sent.request, sent.target, outcome, work, build_answer())
        return self.apply(event)


class KeysTest(unittest.TestCase):
    def test_an_unknown_key_is_refused_before_anything_else(self) -> None:
        host = AccountHarness(build_account_set())
        _, effect = host.request_as(None, "0" * 32)
        assert isinstance(effect, RefuseRequest)
        self.assertIs(effect.refusal.reason, RefusalReason.UNKNOWN_KEY)
        self.assertFalse(host.state.requests)

    def test_a_target_is_told_the_account(self) -> None:
        _, effect = AccountHarness(build_account_set()).request_as(ACME, ACME_KEY)
        assert isinstance(effect, SendToTarget)
        self.assertEqual(effect.caller, ACME)

    def test_a_withdrawn_key_ends_queued_requests_and_gives_no_retry(self) -> None:
        host = AccountHarness(build_account_set())
        sent = host.fill_targets()
        queued = [r for r, pending in host.state.requests.items() if pending.target is None]
        without_key = build_account_set(
            **{ACME: Caller(), GLOBEX: Caller(key_digests=(GLOBEX_KEY,))}
        )
        effects = host.apply(build_config_fetched(host.clock, without_key, 2))
        refused = {e.request: e.refusal.reason for e in effects if isinstance(e, RefuseRequest)}
        self.assertEqual(refused, dict.fromkeys(queued, RefusalReason.UNKNOWN_KEY))
        now, cut = host.clock.monotonic(), AttemptOutcome.CUT
        attempt = sent[0]
        effects = host.apply(
            AttemptFinished(now, attempt.request, attempt.target, cut, timedelta(seconds=0.1))
        )
        self.assertFalse([e for e in effects if isinstance(e, SendToTarget)])
        self.assertTrue([e for e in effects if isinstance(e, RefuseRequest)])

    def test_a_key_that_moves_stands_for_its_new_account(self) -> None:
        host = AccountHarness(build_account_set())
        host.fill_targets()
        moved = build_account_set(
            **{GLOBEX: Caller(key_digests=(ACME_KEY,), importance="critical")}
        )
        host.apply(build_config_fetched(host.clock, moved, 2))
        waiting = [p for p in host.state.requests.values() if p.target is None]
        self.assertEqual({(p.head.caller, p.priority) for p in waiting}, {(GLOBEX, 0)})

    def test_one_key_of_two_accounts_is_rejected_without_showing_it(self) -> None:
        text = (
            f'[caller.a]\nkey_digests = ["{ACME_KEY}"]\n[caller.b]\nkey_digests = ["{ACME_KEY}"]\n'
        )
        errors = check_sources([SourceFile("callers.toml", text)]).swap().default_value(())
        found = [str(error) for error in errors if error.object == "caller.b"]
        self.assertEqual(
            found, ["callers.toml: caller.b: key_digests.0: is caller.a key_digests.0 too"]
        )


class ImportanceTest(unittest.TestCase):
    def test_the_importance_of_the_account_takes_precedence(self) -> None:
        host = AccountHarness(build_account_set())
        sent = host.fill_targets()
        urgent, effect = host.request_as(GLOBEX, GLOBEX_KEY)
        self.assertIsInstance(effect, QueueRequest)
        self.assertIs(host.state.requests[urgent].priority, Importance.CRITICAL)
        started = [e.request for e in host.finish(sent[0]) if isinstance(e, SendToTarget)]
        self.assertEqual(started, [urgent])


class FloodTest(unittest.TestCase):
    """Load: accounts that send as usual beside one, or three, that send seven times as much."""

    SLOT_COUNT, WORK_S, SECONDS = 2, 0.1, 30.0
    ACCOUNT_COUNT = 12

    def serve_load(self, flooding: int) -> float:
        """Returns the share served of the requests of the accounts that do not flood."""
        accounts = {
            f"a{n}": Caller(key_digests=(digest_account_key(b"%d" % n),))
            for n in range(self.ACCOUNT_COUNT)
        }
        host = AccountHarness(build_account_set(queue_length=20, **accounts))
        random = Random(5)
        rate = 0.85 * self.SLOT_COUNT / self.WORK_S / self.ACCOUNT_COUNT
        busy: list[tuple[Instant, SendToTarget]] = []
        arrived: dict[RequestId, int] = {}
        served: set[RequestId] = set()

        def handle(effects: list[Effect]) -> None:
            for effect in effects:
                if isinstance(effect, SendToTarget):
                    busy.append((host.clock.monotonic() + timedelta(seconds=self.WORK_S), effect))
                elif isinstance(effect, DeliverAnswer):
                    served.add(effect.request)

        for _ in range(round(self.SECONDS / 0.01)):
            for n, name in enumerate(accounts):
                factor = 7.0 if n < flooding else 1.0
                if random.random() < rate * factor * 0.01:
                    request, effect = host.request_as(
                        CallerName(name), digest_account_key(b"%d" % n)
                    )
                    arrived[request] = n
                    handle([effect])
            handle(host.advance(0.01, step=0.01))
            due = [attempt for at, attempt in busy if at <= host.clock.monotonic()]
            busy[:] = [(at, attempt) for at, attempt in busy if at > host.clock.monotonic()]
            for attempt in due:
                handle(host.finish(attempt))
        others = [request for request, n in arrived.items() if n >= 3]
        return sum(request in served for request in others) / len(others)

    def test_other_accounts_are_served_as_without_the_flood(self) -> None:
        calm = self.serve_load(0)
        for flooding in (1, 3):
            with self.subTest(flooding=flooding):
                self.assertGreaterEqual(self.serve_load(flooding), calm - 0.02)


class FairQueueTest(unittest.TestCase):
    def test_the_account_served_least_goes_first_and_the_longest_is_evicted(self) -> None:
        queue, use, at = FairQueue(), ServedShares(), Instant(0)
        for number, caller in enumerate("aaab"):
            queue.append(QueuedRequest(RequestId(str(number)), at, at, CallerName(caller)))
        use.add(CallerName("a"), 1.0, at)
        self.assertEqual(queue.count_ahead(CallerName("c"), use), 1)
        self.assertEqual(queue.count_ahead(CallerName("a"), use), 4)
        self.assertEqual(queue.pop_longest().request, "2")
        first = queue.popleft(use)
        self.assertEqual(first.request, "3")
        queue.appendleft(first)
        use.add(CallerName("b"), 0.5, at)
        self.assertEqual([queue.popleft(use).request for _ in range(3)], ["0", "1", "3"])
        self.assertEqual(len(queue), 0)

    def test_use_decays_and_is_divided_by_the_quota(self) -> None:
        use = ServedShares()
        use.add(ACME, 10.0, Instant(0))
        use.add(GLOBEX, 20.0, Instant(0))
        self.assertGreater(use.get(ACME), use.get(GLOBEX))
        for seconds in (30, 600):
            later = Instant(0) + timedelta(seconds=seconds)
            use.add(GLOBEX, 20.0, later)
            self.assertGreater(use.get(GLOBEX), use.get(ACME))


class LabelTest(unittest.TestCase):
    # Guards against targets that are told another name of an account than its operator gave it.
    def test_targets_are_told_the_label_of_an_account(self) -> None:
        objects = build_object_set()
        callers = {"plain": Caller(), "two_words.1": Caller(label="two words")}
        harness = HostHarness(replace(objects, caller=callers))
        for name, told in (("plain", "plain"), ("two_words.1", "two words")):
            _, effects = harness.receive_request(caller=name)
            (sent,) = (effect for effect in effects if isinstance(effect, SendToTarget))
            self.assertEqual(sent.caller, told)


if __name__ == "__main__":
    unittest.main()
