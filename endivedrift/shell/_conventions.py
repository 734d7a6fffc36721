"""Names of headers and forms of refusals, which differ between the interfaces that a host serves.

The daemon takes one `HttpConventions` at start: its own, or that of a platform it runs on. It holds
names and formats; which request goes where does not depend on it.
"""

from collections.abc import Callable
from dataclasses import dataclass

from endivedrift.core import Refusal, RequestId
from endivedrift.shell._answers import HttpAnswer, describe_refusal


@dataclass(frozen=True, slots=True)
class HttpConventions:
    """Names and forms of one interface; all header names are in lower case.

    Attributes:
      request_id_header: Id of a request, which targets echo.
      keeps_request_ids: Whether the caller's own id is passed on, or each attempt gets a new one.
      deadline_header: Milliseconds that the sender still waits.
      rejects_invalid_deadlines: Whether an unusable deadline is refused or ignored.
      expected_target_header: Names the target that a request is meant for, or None.
      load_header: A target's running and waiting requests and slots, with commas, or None.
      proof_header: Header without which a target's success is not one, or None.
      caller_header: Names the caller's account, or None.
      key_header: Idempotency key, or None.
      describe_refusal: Forms the answer for a refusal.
    """

    request_id_header: bytes
    keeps_request_ids: bool
    deadline_header: bytes
    rejects_invalid_deadlines: bool
    expected_target_header: bytes | None
    load_header: bytes | None
    proof_header: bytes | None
    caller_header: bytes | None
    key_header: bytes | None
    describe_refusal: Callable[[Refusal, RequestId], HttpAnswer]

    @property
    def set_headers(self) -> frozenset[bytes]:
        """Headers of a caller that are replaced on the way to a target."""
        names = {self.deadline_header, self.expected_target_header, b"expect"}
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
    proof_header=None,
    caller_header=b"x-caller",
    key_header=b"idempotency-key",
    describe_refusal=describe_refusal,
)
"""The project's own interface."""
