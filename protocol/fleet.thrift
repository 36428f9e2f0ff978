// Messages between the processes of one fleet. Each frame on the wire is a
// 4-byte big-endian length followed by one Frame in the compact protocol.
namespace cpp hickoryglade.wire

struct Header {
  1: string name
  2: string value
}

// First frame in each direction of a link.
struct Hello {
  1: string node
  2: i64 bootId
  3: string dataCentre
  4: i32 protocolVersion
}

// Keeps a link with streams in flight verified in both directions.
struct Heartbeat {
  1: i64 sequence
  2: bool reply
}

// Facts about a request that a gate needs before it sees the body.
struct Ticket {
  1: string attemptId
  2: string workspace
  3: string serviceName
  4: i64 gateBootId
  5: i64 timeoutMs
  // Time on the sender's clock since the link's hello; a receiver that sees
  // it lag behind its own knows that the link was frozen.
  6: i64 linkAgeMs
  7: i64 expectedCostUs
  8: bool isLong
  9: bool isIdempotent
  10: i64 fingerprint
  12: bool awaitsClaim
  // Endpoints that this very request has crashed on its way here.
  13: i32 knownCrashes
  // The request is not to wait for a slot.
  14: bool onlyIfFree
  // An endpoint has seen the request before: the gate's budget of repeats
  // decides whether it may see it again.
  15: bool isRepeat
  // The entry knows that the gate's endpoint is doubtful or on trial.
  16: bool acceptsDoubtful
  // Rank among requests that compete for a slot; 0 goes first.
  17: i32 priority
  // Sent to the one gate at which all copies of suspect content meet.
  18: bool isSerialized
  // Sent to a doubtful endpoint because those in good standing have no slot
  // free.
  19: bool isSpill
  // Time left in which an answer has its full value to the caller; 0 if the
  // sender does not say.
  20: i64 targetMs
  // No other endpoint may be tried after this one.
  21: bool isLastTry
  // Longest wait for a slot; 0 if only the gate's own rules bound it.
  22: i64 maxWaitMs
  // Other gates have refused it because of silent endpoints.
  23: bool acceptsSilent
}

struct Grant {
  1: string endpoint
}

// The request itself; opens a stream, or claims the slot that a grant holds.
struct Call {
  1: Ticket ticket
  2: string method
  3: string target
  4: list<Header> headers
  5: i64 bodyBytes
}

struct Data {
  1: binary bytes
}

// What the gate knows first hand about a service at the time of a reply.
struct Load {
  1: i32 freeSlots
  2: i32 queued
  3: i32 slots
  // Best standing of the gate's endpoints of the service, plus one; 0 if the
  // sender does not say.
  4: i32 standing
}

struct Answer {
  1: i32 status
  2: list<Header> headers
  3: i64 bodyBytes
  4: string endpoint
  5: Load load
  // Time that the endpoint took.
  6: i64 runUs
}

struct Failure {
  1: i32 kind
  2: i32 run
  3: string detail
  4: i64 retryAfterMs
  5: Load load
  6: string endpoint
  // The endpoint's process was found gone.
  7: bool isCrash
  // The request's bytes have reached an endpoint.
  8: bool hasReached
}

struct Cancel {}

// The sender will not try the request elsewhere any more: it is stopping.
struct Keep {}

// Asks what became of a request, and fences it if it has not started.
struct Revoke {
  1: string attemptId
  2: i64 gateBootId
  3: i64 timeoutMs
  // Node that is to be asked by the receiver; none if the receiver itself is.
  4: string askedNode
}

struct Revoked {
  1: i32 state
  // The receiver could not reach the node that it was to ask.
  2: bool isUnreachable
}

enum KeyOperation { RESERVE = 0, COPY = 1, COMPLETE = 2, LOOKUP = 3, RELEASE = 4, VOUCH = 5 }

struct StoredAnswer {
  1: i32 status
  2: list<Header> headers
  3: binary body
}

struct KeyRecord {
  1: string key
  2: string requestId
  3: i64 fingerprint
  4: i32 state
  5: optional StoredAnswer answer
  6: i64 lifetimeMs
}

// A question to the keeper of an idempotency key.
struct KeyRequest {
  1: KeyOperation operation
  2: KeyRecord record
  3: i64 rosterOffset
}

struct KeyReply {
  1: i32 verdict
  2: optional KeyRecord record
  3: i64 rosterOffset
}

struct EndpointRecord {
  1: string name
  2: string workspace
  3: string serviceName
  4: i32 slots
  5: i64 generation
  6: i32 state
}

// A start of an endpoint that has left or is leaving.
struct DepartedRecord {
  1: string name
  2: i64 startedAtMs
}

// One node as it describes itself; a higher (bootId, version) replaces a lower.
struct MemberRecord {
  1: string node
  2: i64 bootId
  3: i64 version
  4: string fleetAddress
  5: string adminAddress
  6: string dataCentre
  7: i32 state
  8: list<EndpointRecord> endpoints
  9: i64 settingsOffset
  10: i64 ledgerOffset
  11: list<DepartedRecord> departed
}

struct QuarantineRecord {
  1: i64 fingerprint
  // Crashes that each node has seen.
  2: map<string, i32> crashes
  3: i64 remainingMs
}

// What the sender believes of a member; states as in MemberState.
struct MemberUpdate {
  1: MemberRecord record
  2: i32 state
}

// Passing standings of a node's endpoints; those not named are healthy.
struct StandingReport {
  1: string node
  2: i64 bootId
  3: i64 sequence
  4: map<string, i32> states
}

enum GossipKind { PING = 0, ACK = 1, PING_REQUEST = 2, SYNC = 3, UPDATES = 4 }

// Datagram of the membership protocol.
struct Gossip {
  1: GossipKind kind
  2: string sender
  3: string senderAddress
  4: i64 sequence
  // Member to probe (PING_REQUEST) or that has answered (ACK).
  5: string target
  6: list<MemberUpdate> updates
  // Hashes of the sender's records by bucket (SYNC).
  7: list<i64> buckets
  8: list<QuarantineRecord> quarantines
  // Version of the sender's settings, where they come as whole documents.
  9: optional i64 settingsNext
  10: optional StandingReport standings
  // The sender follows the source of settings and has its newest version.
  11: bool isSettingsFresh
}

struct SettingsEntry {
  1: string path
  2: string value
  3: i64 revision
  // Where and when the newest record of the value was written.
  4: i64 writtenOffset
  5: i64 writtenAtMs
}

struct VerdictRecord {
  1: string changeId
  2: string path
  3: i32 outcome
  4: i64 revision
}

struct SnapshotRequest {}

// The settings tree as folded up to an offset, with the latest verdicts.
struct Snapshot {
  1: i64 settingsOffset
  2: list<SettingsEntry> entries
  3: list<VerdictRecord> verdicts
}

struct Frame {
  1: i64 stream
  2: optional Hello hello
  3: optional Heartbeat heartbeat
  4: optional Ticket ticket
  5: optional Grant grant
  6: optional Call call
  7: optional Data data
  8: optional Answer answer
  9: optional Failure failure
  10: optional Cancel cancel
  11: optional Revoke revoke
  12: optional Revoked revoked
  13: optional KeyRequest keyRequest
  14: optional KeyReply keyReply
  15: optional Gossip gossip
  16: optional SnapshotRequest snapshotRequest
  17: optional Snapshot snapshot
  18: optional Keep keep
}
