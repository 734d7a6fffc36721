@0xd5f1a3c27b9e4c11;
# Messages between the hosts of one fleet. Fields that end in Micros are in microseconds.

enum Kind {
  ping @0;
  ack @1;
  pingRequest @2;
  syncRequest @3;
  notice @4;
}

struct Member {
  host @0 :Text;
  incarnation @1 :UInt64;
  counter @2 :UInt32;  # Refutations of reports on the host, and announcements that it leaves.
  status @3 :UInt8;  # Number of a `MemberStatus`.
  failureDomain @4 :Text;
  callerAddress @5 :Text;
  peerAddress @6 :Text;
  operatorAddress @7 :Text;
  power @8 :Float32;  # Processor capacity, in cores.
}

struct Evidence {
  service @0 :Text;
  target @1 :Text;
  good @2 :UInt32;
  bad @3 :UInt32;
  leaving @4 :Bool;
  running @5 :UInt32;  # Requests that the sender has in progress at the target.
  paused @6 :Bool;
  leavingBorn @7 :Int64;  # Start of the process that leaves, in Unix milliseconds; 0 if unknown.
}

struct Target {
  name @0 :Text;
  service @1 :Text;
  address @2 :Text;
  failureDomain @3 :Text;
  slots @4 :UInt32;
  leaving @5 :Bool;
  warmUpMicros @6 :Int64;
  born @7 :Int64;  # Start of the target's process, in Unix milliseconds.
}

# The latest answer of the store to a question for all changes that the sender knows of.
struct StoreAnswer {
  ageMicros @0 :Int64;  # Time since the question was asked.
  source @1 :Text;  # The host that was answered.
  number @2 :UInt32;
  targetsVersion @3 :UInt64;
  configVersion @4 :UInt64;
}

# A report on the store, sent to other hosts by a host that reads it.
struct StoreUpdate {
  version @0 :UInt64;
  since @1 :UInt64;
  regainedMicros @2 :Int64;  # Time since the store began to answer; -1 if no answer is known.
  entries @3 :List(Target);
  gone @4 :List(Text);
  answer @5 :StoreAnswer;
  isQuestion @6 :Bool;  # The sender wants to be told of a later answer.
  answeredMicros @7 :Int64 = -1;  # Time since the latest answer to any host; -1 if none is known.
}

# The end of a target process while it worked on a request.
struct TargetEnd {
  target @0 :Text;
  born @1 :Int64;  # Start of the process, in Unix milliseconds; 0 if it is not known.
  ageMicros @2 :Int64;
}

# A report on a request that was in progress at targets that ended.
struct Suspect {
  digest @0 :Data;
  ends @1 :List(TargetEnd);
  answerAgeMicros @2 :Int64;  # -1 if no target is known to have answered it.
}

# A report on the limit that a target states.
struct RateLimit {
  service @0 :Text;
  target @1 :Text;
  born @2 :Int64;  # Start of the target's process, in Unix milliseconds; 0 if it is not known.
  requestsPerS @3 :Float64;  # Infinite if an earlier limit was withdrawn.
  ageMicros @4 :Int64;
  demandPerS @5 :Float64;  # Requests that arrive at the sender for the service.
}

# What a host has admitted of a caller account, for the keepers of the account.
struct Quota {
  account @0 :Text;
  epoch @1 :UInt32;  # Distinguishes the counts from earlier ones of the same process.
  admitted @2 :UInt64;
  recent @3 :Int32;  # Change of `admitted` that a keeper without an earlier report is to count.
  arrived @4 :UInt64;
  part @5 :Float32;  # Part of the account's rate that the sender uses.
  tokens @6 :Float64;  # Not a number if no keeper has told the sender of the account.
}

# The tokens of a caller account, from one of its keepers.
struct QuotaStatus {
  account @0 :Text;
  epoch @1 :UInt32;  # As in the receiver's latest report, like `admitted`.
  admitted @2 :UInt64;
  tokens @3 :Float64;
  demand @4 :Float32;  # Requests that arrive at other hosts within a reporting interval.
  certain @5 :Bool;
  requestsPerS @6 :Float32;  # Requests that arrive at other hosts.
}

# Body of a UDP datagram, in the packed encoding.
struct Datagram {
  kind @0 :Kind;
  sender @1 :Member;
  sequence @2 :UInt64;
  probe @3 :UInt64;
  subject @4 :Text;
  heardSubject @5 :Bool;
  configVersion @6 :UInt64;
  configDigest @7 :Text;
  members @8 :List(Member);
  evidence @9 :List(Evidence);
  storeUpdate @10 :StoreUpdate;
  suspects @11 :List(Suspect);
  rateLimits @12 :List(RateLimit);
  quotas @13 :List(Quota);
  quotaStatuses @14 :List(QuotaStatus);
}

struct Header {
  name @0 :Data;
  value @1 :Data;
}

struct Forward {
  owner @0 :Text;
  incarnation @1 :UInt64;
  method @2 :Text;
  target @3 :Text;
  headers @4 :List(Header);
  body @5 :Data;
  caller @6 :Text;
  key @7 :Text;
  patienceMicros @8 :UInt64;  # Time for which the sender waits for the reply.
  # The sender reaches no target, or has no retry left. Otherwise, the receiver owns the key.
  forPeer @9 :Bool;
  earlierAttempts @10 :UInt16;  # Attempts at targets that the sender has made.
  configVersion @11 :UInt64;  # Version that the receiver must have in force, or 0 for any.
  takesRetry @12 :Bool;  # The receiver takes the retry from its own budget.
}

# A call from one host to another over TCP.
struct Call {
  union {
    forward @0 :Forward;
    fetchConfig @1 :Text;
    fetchTargets @2 :Void;
  }
}

# Registered targets as known at a version of the store.
struct Targets {
  version @0 :UInt64;
  entries @1 :List(Target);
}

struct Answer {
  status @0 :UInt16;
  headers @1 :List(Header);
  body @2 :Data;
}

struct Refusal {
  reason @0 :Text;
  mayHaveRun @1 :Bool;
  attemptMayHaveRun @2 :Bool;
  retryAfterMicros @3 :Int64;  # -1 if a retry cannot succeed.
  detail @4 :Text;
}

# A process of a target.
struct Process {
  target @0 :Text;
  born @1 :Int64;  # Start of the process, in Unix milliseconds; 0 if it is not known.
}

# The reply to a call over TCP.
struct Reply {
  union {
    answer @0 :Answer;
    refusal @1 :Refusal;
    config @2 :Data;  # Compressed by zlib.
    nothing @3 :Void;
    targets @4 :Targets;
  }
  leaving @5 :List(Process);  # Processes that said, on this request, that they leave.
}
