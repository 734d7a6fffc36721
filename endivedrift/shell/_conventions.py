"""Header names and the format of refusals, which differ between environments.

The daemon runs with one `HttpConventions`: the default one, or that of the platform on which it
runs. It holds only names and formats; routing does not depend on it.
"""

from collections.abc import Callable
from dataclasses import dataclass

from endivedrift.core import Refusal, RequestId
from endivedrift.shell._answers import HttpAnswer, describe_refusal


@dataclass(frozen=True, slots=True)
class HttpConventions:
    """Header names and the format of refusals; all header names are in lower case.

    A header that is None is not used.

    Attributes:
      request_id_header: Request id, which targets echo.
      keeps_request_ids: Whether the caller's request id is passed on; otherwise, each attempt is
        sent with an id of its own.
      deadline_header: Time in milliseconds for which the sender still waits.
      rejects_invalid_deadlines: Whether an invalid deadline is refused; otherwise, it is ignored.
      expected_target_header: Name of the target that a request is meant for.
      load_header: A target's running requests, waiting requests and slots, separated by commas.
      leaving_headers: Headers of an answer, besides the one that its upstream group names, which
        state that the target is shutting down unless their value is 0.
      rate_limit_headers: Headers of an answer that state how many requests a second the target
        takes from all hosts together, as long as its answers have one of them.
      proof_header: Header that proves that an answer comes from the target itself. Of the answers
        without it, only server errors are passed on; others are treated as malformed.
      caller_header: Name of the caller's account, which targets are sent.
      trusts_caller_header: Whether callers may name an account that has no keys; otherwise only a
        key tells the account.
      account_key_header: Key of the caller's account, which is never passed on.
      key_header: Idempotency key.
      describe_refusal: Builds the answer for a refusal.
    """

    request_id_header: bytes
    keeps_request_ids: bool
    deadline_header: bytes
    rejects_invalid_deadlines: bool
    expected_target_header: bytes | None
    load_header: bytes | None
    leaving_headers: tuple[bytes, ...]
    rate_limit_headers: tuple[bytes, ...]
    proof_header: bytes | None
    caller_header: bytes | None
    trusts_caller_header: bool
    account_key_header: bytes | None
    key_header: bytes | None
    describe_refusal: Callable[[Refusal, RequestId], HttpAnswer]

    @property
    def replaced_headers(self) -> frozenset[bytes]:
        """Headers of a caller that are removed or replaced before a request is sent to a target."""
        names = {
            self.deadline_header,
            self.expected_target_header,
            self.caller_header,
            b"expect",
        }
        if not self.keeps_request_ids:
            names.add(self.request_id_header)
        return frozenset(name for name in names if name is not None)


DEFAULT_CONVENTIONS = HttpConventions(
    request_id_header=b"x-request-id",
    keeps_request_ids=False,
    deadline_header=b"x-request-deadline-ms",
    rejects_invalid_deadlines=True,
    expected_target_header=None,
    load_header=None,
    leaving_headers=(),
    rate_limit_headers=(b"x-rate-limit",),
    proof_header=None,
    caller_header=b"x-caller",
    trusts_caller_header=True,
    account_key_header=b"x-api-key",
    key_header=b"idempotency-key",
    describe_refusal=describe_refusal,
)
"""The conventions of the default environment."""
