"""Enumerations of states, kinds, outcomes and reasons."""

from enum import Enum, IntEnum


class HostPhase(Enum):
    """Phases of a host process from its start to its end."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class MemberStatus(IntEnum):
    """Believed status of a member; of two equally recent reports, the greater status applies."""

    STARTING = 0
    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4


class TargetState(Enum):
    """States of a target, which determine whether and how it is given requests."""

    WARMING = "warming"
    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBATION = "probation"
    LEAVING = "leaving"


class LeavingSource(Enum):
    """How a host learned that a target is shutting down."""

    NONE = "none"
    LISTED = "listed"
    ANNOUNCED = "told"
    REPLACED = "replaced"


class ChangeSource(Enum):
    """How a host learned of changes in the store."""

    READ = "read"
    WAIT = "wait"
    QUESTION = "question"
    UPDATE = "update"
    FETCH = "fetch"


class Importance(IntEnum):
    """Priority of a queued request; the lowest value is served first."""

    CRITICAL = 0
    NORMAL = 1
    DEFERRABLE = 2


class AttemptOutcome(Enum):
    """How one attempt at a target ended.

    WITHDRAWN: it was not sent, since the target was found to be leaving in the meantime.
    """

    ANSWERED = "answered"
    SHED = "shed"
    DRAINING = "draining"
    NOT_CONNECTED = "not-connected"
    WITHDRAWN = "withdrawn"
    MISDIRECTED = "misdirected"
    CUT = "cut"
    TIMED_OUT = "timed-out"
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    NO_MEMORY = "no-memory"
    CANCELLED = "cancelled"


class PauseCause(Enum):
    """Kinds of failure after which a target is paused."""

    BROKEN = "broken"
    ANSWERED = "answered"
    REFUSED = "refused"


class KeyPhase(Enum):
    """State of the request that an idempotency key identifies, as known to the key's owner."""

    CLAIMING = "claiming"
    IDLE = "idle"
    RUNNING = "running"
    ANSWERED = "answered"
    UNCERTAIN = "uncertain"


class ClaimOutcome(Enum):
    """Result of writing a claim row for a key chosen by a caller."""

    CLAIMED = "claimed"
    TAKEN = "taken"
    UNKNOWN = "unknown"


class ForwardOutcome(Enum):
    """Result of forwarding a request to another host."""

    ANSWERED = "answered"
    REFUSED = "refused"
    BROKEN = "broken"


class RefusalReason(Enum):
    """Why a request got no answer from a target."""

    NO_CONFIGURATION = "no-configuration"
    STOPPING = "stopping"
    NO_ROUTE = "no-route"
    UNKNOWN_CALLER = "unknown-caller"
    UNKNOWN_KEY = "unknown-key"
    CALLER_LIMIT = "caller-limit"
    KEY_REQUIRED = "key-required"
    KEY_EXPIRED = "key-expired"
    KEY_REUSED = "key-reused"
    KEY_BUSY = "key-busy"
    KEY_SPENT = "key-spent"
    KEY_TABLE_FULL = "key-table-full"
    KEY_STORE_DOWN = "key-store-down"
    OWNER_GONE = "owner-gone"
    OWNER_UNREACHABLE = "owner-unreachable"
    PEER_UNREACHABLE = "peer-unreachable"
    NO_PATH = "no-path"
    NO_RETRY = "no-retry"
    QUARANTINED = "quarantined"
    OVERLOADED = "overloaded"
    QUEUE_FULL = "queue-full"
    QUEUE_WAIT = "queue-wait"
    DEADLINE = "deadline"
    NO_TARGET = "no-target"
    TARGET_REFUSED = "target-refused"
    TARGET_UNREACHABLE = "target-unreachable"
    TARGET_CUT = "target-cut"
    TARGET_TIMEOUT = "target-timeout"
    TARGET_MALFORMED = "target-malformed"
    TARGET_TOO_LARGE = "target-too-large"
    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    HEADERS_TOO_LARGE = "headers-too-large"
    UNSUPPORTED = "unsupported"
    SLOW_CALLER = "slow-caller"
    NO_MEMORY = "no-memory"
    TOO_MANY_CONNECTIONS = "too-many-connections"
    HOST_FAILED = "host-failed"


class MessageKind(Enum):
    """Kinds of datagram between hosts."""

    PING = "ping"
    ACK = "ack"
    PING_REQUEST = "pingRequest"
    SYNC_REQUEST = "syncRequest"
    NOTICE = "notice"


class AuditKind(Enum):
    """Kinds of entry in a host's audit trail."""

    EJECTED = "ejected"
    READMITTED = "readmitted"
    PROBATION = "probation"
    PAUSED = "paused"
    FLOOR_CHANGED = "floor-changed"
    ATTEMPT_ABORTED = "attempt-aborted"
    PATH_CHANGED = "path-changed"
    LOAD_CHANGED = "load-changed"
    RATE_LIMIT_CHANGED = "rate-limit-changed"
    REQUEST_SUSPECTED = "request-suspected"
    REQUEST_QUARANTINED = "request-quarantined"
    REQUEST_CLEARED = "request-cleared"
    STORE_CHANGED = "store-changed"
    TARGET_MISSING = "target-missing"
    TARGET_JOINED = "target-joined"
    TARGET_GONE = "target-gone"
    TARGET_LEAVING = "target-leaving"
    CONFIG_APPLIED = "config-applied"
    CONFIG_REJECTED = "config-rejected"
    MEMBER_CHANGED = "member-changed"
    REFUSED = "refused"
    PHASE_CHANGED = "phase-changed"
