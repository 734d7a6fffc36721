"""A refusal promises that a request did not run only where that is true, whatever its reason."""

import unittest
from datetime import timedelta
from itertools import product

from endivedrift.core import Refusal, RefusalReason, RequestId, Verdict
from endivedrift.platform._headers import PLATFORM_CONVENTIONS
from endivedrift.shell._answers import NOT_RUN_STATUSES
from endivedrift.shell._conventions import DEFAULT_CONVENTIONS


class RefusalStatusTest(unittest.TestCase):
    # Guards against a 503 for a request whose attempts at all targets gave unreadable answers.
    def test_no_reason_promises_that_a_request_did_not_run_which_may_have(self) -> None:
        may_have_run = Verdict.MAY_HAVE_RUN
        # A request that was not received whole has reached no target.
        reasons = set(RefusalReason) - {RefusalReason.SLOW_CALLER}
        for conventions, reason in product((DEFAULT_CONVENTIONS, PLATFORM_CONVENTIONS), reasons):
            with self.subTest(reason=reason):
                refusal = Refusal(reason, may_have_run, may_have_run, timedelta(seconds=1), "")
                status = conventions.describe_refusal(refusal, RequestId("r")).status
                self.assertNotIn(status, NOT_RUN_STATUSES)


if __name__ == "__main__":
    unittest.main()
