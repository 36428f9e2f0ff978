// Messages between the nodes of a fleet. On the wire, each frame is a 4-byte
// big-endian length followed by one Frame in the Thrift compact protocol.
namespace cpp hickoryglade.wire

struct Header {
  1: string name
  2: string value
}

// The first frame in each direction of a link.
struct Hello {
  1: string node
  2: i64 bootId
  3: string dataCentre
  4: i32 protocolVersion
}

// Verifies in both directions that a link with open streams still works.
struct Heartbeat {
  1: i64 sequence
  2: bool reply
}

// What an endpoint has said about itself in an answer.
struct EndpointNotice {
  1: string endpoint
  2: string incarnation
  // Requests per second that it takes from all nodes together.
  3: optional double limit
  4: bool isLeaving
  // Time since the sender heard it.
  5: i64 ageMs
}

// Properties of a request that a gate needs before the body is sent.
struct Ticket {
  1: string attemptId
  2: string workspace
  3: string serviceName
  4: i64 gateBootId
  5: i64 timeoutMs
  // Time on the sender's clock since the Hello of the link. If it lags
  // behind the receiver's own value, the link was frozen.
  6: i64 linkAgeMs
  7: i64 expectedCostUs
  8: bool isLong
  9: bool isIdempotent
  10: i64 fingerprint
  12: bool awaitsClaim
  // Number of endpoints that earlier attempts of this request have crashed.
  13: i32 knownCrashes
  // The gate must refuse the request if no slot is free, and not queue it.
  14: bool onlyIfFree
  // An earlier attempt has reached an endpoint, so the gate's budget for
  // repeated requests decides whether this one is admitted.
  15: bool isRepeat
  // The entry chose the gate knowing that its endpoint is doubtful or on trial.
  16: bool acceptsDoubtful
  // Priority among requests that compete for a slot; 0 is the highest.
  17: i32 priority
  // The request has suspect content and was sent to the one gate where all
  // requests with this content run one at a time.
  18: bool isSerialized
  // Sent to a doubtful endpoint because no healthy one has a free slot.
  19: bool isSpill
  // Time left until the answer loses value for the caller; 0 if the sender
  // gives none.
  20: i64 targetMs
  // No attempt is left after this one, or the sender is stopping.
  21: bool isLastTry
  // Maximum wait for a slot; 0 if only the gate's own limits apply.
  22: i64 maxWaitMs
  // Other gates have refused the request because their endpoints are silent.
  23: bool acceptsSilent
  // Notices that this process of the gate may not know.
  24: optional list<EndpointNotice> notices
  // The sender understands Overdue. For senders of earlier releases the gate
  // itself ends runs that are overdue.
  25: bool decidesRetry
  // Share of the arrivals at the service's endpoints that the endpoints have
  // shed lately, in percent, as far as the sender knows.
  26: optional i32 shedPercent
}

// The request itself. It opens a stream, or claims the slot that a Grant
// reserved.
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

// The gate's own load figures for a service at the time of a reply.
struct Load {
  1: i32 freeSlots
  2: i32 queued
  3: i32 slots
  // Best standing among the gate's endpoints of the service, plus one; 0 if
  // the sender gives none.
  4: i32 standing
  // Requests per second that the gate's endpoints take, if all of them name a
  // limit, and the time until the limits let one more request start.
  5: optional double limitPerSecond
  6: optional i32 limitWaitMs
}

struct Grant {
  1: string endpoint
  // Load of the gate with the granted slot in use. Nodes of earlier releases
  // don't send it.
  2: optional Load load
}

struct Answer {
  1: i32 status
  2: list<Header> headers
  3: i64 bodyBytes
  4: string endpoint
  5: Load load
  // Time that the endpoint took to respond.
  6: i64 runUs
  // Set if the endpoint names a limit or is leaving.
  7: optional EndpointNotice notice
}

struct Failure {
  1: i32 kind
  2: i32 run
  3: string detail
  4: i64 retryAfterMs
  5: Load load
  6: string endpoint
  // The endpoint's process was found to have exited.
  7: bool isCrash
  // Bytes of the request were sent to an endpoint.
  8: bool hasReached
}

struct Cancel {}

// The sender is stopping. Gates of earlier releases then let an overdue run go
// on instead of ending it for a retry elsewhere.
struct Keep {}

// The attempt is overdue at an endpoint that stalls, or its gate ends soon. It
// goes on until the receiver sends GiveUp.
struct Overdue {
  // Time until the gate ends the attempt; set if the gate is stopping.
  1: optional i64 endsInMs
}

// Another attempt has answered in place of an overdue one; the receiver ends it.
struct GiveUp {}

// The last frame of a gate that ends. It has answered all calls that it has run,
// and runs no other.
struct Goodbye {}

// Queries the state of an attempt and fences it if it has not started.
struct Revoke {
  1: string attemptId
  2: i64 gateBootId
  3: i64 timeoutMs
  // Node to which the receiver forwards the query; empty if the receiver
  // answers it itself.
  4: string askedNode
}

struct Revoked {
  1: i32 state
  // The receiver could not reach the node askedNode.
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

// A request to the keeper of an idempotency key.
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

// Asks the owner of a workspace's quota for tokens, one for each request.
struct QuotaRequest {
  1: string workspace
  2: i32 tokens
  // Tokens of earlier replies that were not used, less the requests that were
  // admitted without a token of the owner.
  3: i32 returned
  // The sender asks a node that is not the first in the ranking of owners,
  // since the first has not answered.
  4: bool isFallback
}

struct QuotaReply {
  1: i32 tokens
  // Time until the next token if fewer were given than asked for.
  2: i64 retryAfterMs
  // The receiver of the request is not the owner, so that other nodes may give
  // out more tokens.
  3: bool isUnknown
}

struct EndpointRecord {
  1: string name
  2: string workspace
  3: string serviceName
  4: i32 slots
  5: i64 generation
  6: i32 state
}

// An endpoint that has left or is leaving, identified by name and start time.
struct DepartedRecord {
  1: string name
  2: i64 startedAtMs
}

// A node's description of itself. The record with the higher (bootId, version)
// replaces the other.
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
  // 0 if it is not known, as to nodes of earlier releases.
  12: i32 linkMbps
}

struct QuarantineRecord {
  1: i64 fingerprint
  // Crashes since the content was last completed, by the endpoint's incarnation,
  // with the value 1. Nodes of earlier releases count crashes by node.
  2: map<string, i32> crashes
  3: i64 remainingMs
  // Time since each crash was noticed. Nodes of earlier releases don't send it.
  4: optional map<string, i64> crashAgesMs
  // Time since the content was last completed, if it is known to have been.
  5: optional i64 completedAgeMs
}

// The state that the sender assumes for a member, a value of MemberState.
struct MemberUpdate {
  1: MemberRecord record
  2: i32 state
}

// Current standings of a node's endpoints. Endpoints not listed are healthy.
struct StandingReport {
  1: string node
  2: i64 bootId
  3: i64 sequence
  4: map<string, i32> states
}

enum GossipKind { PING = 0, ACK = 1, PING_REQUEST = 2, SYNC = 3, UPDATES = 4 }

// A datagram of the membership protocol.
struct Gossip {
  1: GossipKind kind
  2: string sender
  3: string senderAddress
  4: i64 sequence
  // Member to probe (PING_REQUEST) or that has answered (ACK).
  5: string target
  6: list<MemberUpdate> updates
  // Hashes of the sender's records, one for each bucket (SYNC).
  7: list<i64> buckets
  8: list<QuarantineRecord> quarantines
  // Version of the sender's settings, if they come as whole documents.
  9: optional i64 settingsNext
  10: optional StandingReport standings
  // The sender knows how current its settings are. Nodes of earlier releases
  // take them for the newest at arrival.
  11: bool isSettingsFresh
  // Time since the sender's settings are known to have been the newest.
  12: optional i64 settingsAgeMs
  // Incarnation of the source of the settings, as far as the sender knows.
  13: optional i64 sourceIncarnation
  // Newer settings are arriving at the sender from their source.
  14: bool isReadingSettings
}

struct SettingsEntry {
  1: string path
  2: string value
  3: i64 revision
  // Offset and time of the newest record of the value.
  4: i64 writtenOffset
  5: i64 writtenAtMs
}

struct VerdictRecord {
  1: string changeId
  2: string path
  3: i32 outcome
  4: i64 revision
}

// Asks for the settings. Without a digest, which earlier releases don't send,
// the reply is a Snapshot, else a SnapshotHead and its content.
struct SnapshotRequest {
  // Hash of the requester's settings for each bucket of paths, 8 bytes each in
  // little-endian order; empty if it has none, or needs all.
  1: optional binary digest
}

// The settings after all records up to an offset, with the latest verdicts.
struct Snapshot {
  1: i64 settingsOffset
  2: list<SettingsEntry> entries
  3: list<VerdictRecord> verdicts
  // Buckets whose entries these are, out of bucketCount; all if that is 0.
  4: i32 bucketCount
  5: list<i32> buckets
  // Hash of all the sender's settings.
  6: i64 treeHash
}

// Place in the source of the settings from which changes that are later than
// the sender's settings can be read.
struct SourcePosition {
  1: i64 offset
  2: i64 incarnation
}

// Reply to a SnapshotRequest with a digest. Data frames follow with the
// content, a Snapshot in compressed form.
struct SnapshotHead {
  // As in Snapshot; -1 if the sender has no settings yet.
  1: i64 settingsOffset
  // 0 if there is no content.
  2: i64 contentBytes
  3: i64 plainBytes
  // The sender is sending large parts to as many nodes as it may at a time.
  4: bool isBusy
  5: optional SourcePosition position
  // Time since the sender's settings are known to have been the newest.
  6: optional i64 settingsAgeMs
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
  19: optional SnapshotHead snapshotHead
  20: optional Overdue overdue
  21: optional GiveUp giveUp
  22: optional QuotaRequest quotaRequest
  23: optional QuotaReply quotaReply
  24: optional Goodbye goodbye
}
