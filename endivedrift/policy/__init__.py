"""Decisions over requests and targets: evidence, ejection, choice, queues, limits and keys."""

from endivedrift.policy._bucket import TokenBucket
from endivedrift.policy._choice import choose_target, has_room
from endivedrift.policy._ejection import (
    mark_leaving,
    mark_returned,
    note_probation,
    update_states,
)
from endivedrift.policy._evidence import (
    add_own_evidence,
    add_shared_evidence,
    count_overdue,
    is_sick,
    judge_evidence,
    learn_latency,
    learn_usual_rate,
    take_deltas,
)
from endivedrift.policy._keys import (
    CLAIMED_LIFE,
    MAX_KEY_LENGTH,
    MAX_KEYS,
    MINTED_LIFE,
    KeyRecord,
    KeyTable,
    MintedKey,
    advance_date,
    drop_expired,
    mint_key,
    parse_minted,
    store_answer,
)
from endivedrift.policy._service import (
    Attempt,
    ServiceState,
    TargetRecord,
    Waiting,
    build_service,
)
from endivedrift.policy._waiting import (
    estimate_wait,
    pop_waiting,
    push_back,
    push_waiting,
    remove_waiting,
)

__all__ = [
    "CLAIMED_LIFE",
    "MAX_KEYS",
    "MAX_KEY_LENGTH",
    "MINTED_LIFE",
    "Attempt",
    "KeyRecord",
    "KeyTable",
    "MintedKey",
    "ServiceState",
    "TargetRecord",
    "TokenBucket",
    "Waiting",
    "add_own_evidence",
    "add_shared_evidence",
    "advance_date",
    "build_service",
    "choose_target",
    "count_overdue",
    "drop_expired",
    "estimate_wait",
    "has_room",
    "is_sick",
    "judge_evidence",
    "learn_latency",
    "learn_usual_rate",
    "mark_leaving",
    "mark_returned",
    "mint_key",
    "note_probation",
    "parse_minted",
    "pop_waiting",
    "push_back",
    "push_waiting",
    "remove_waiting",
    "store_answer",
    "take_deltas",
    "update_states",
]
