/// Control datagrams between instances. Regenerate gen/ with scripts/gen-wire
/// after an edit. Field numbers are never used twice.
namespace cpp magnoliaspread.idl

struct Address {
  1: string ip
  2: i32 port
}

struct ConfigStamp {
  1: i64 version
  2: i32 hash
}

struct Load {
  1: i32 freeSlots
  2: i32 queueLength
  3: i32 capacity
  4: i32 rate
  /// Id and units of each service by turns.
  5: optional list<i32> demand
}

struct Identity {
  1: string name
  2: string dataCentre
  3: string region
  4: i64 incarnation
  5: i64 epoch
  6: Address internal
  7: Address publicAddress
}

struct Report {
  1: i64 sequence
  2: i8 state
  3: ConfigStamp config
  4: Load load
  5: bool platformReachable
}

struct Row {
  1: Identity identity
  2: Report report
}

struct Summary {
  1: string dataCentre
  2: i64 rowsHash
  /// Left out when it is the sender of the frame.
  3: optional i64 speaker
  4: i64 sequence
  5: i64 lowestVersion
  6: ConfigStamp config
  7: i32 alive
  8: Load load
  9: bool platformReachable
}

struct Heartbeat {
  /// Left out when it is the sender of the frame.
  1: optional i64 incarnation
  2: Report report
  3: optional bool speaker
  4: optional list<Summary> summaries
  5: optional list<string> silentCentres
}

struct SummaryNews {
  1: Summary summary
  2: list<Row> changed
}

struct Rows {
  1: list<Row> rows
  2: bool relayed
}

struct RowsRequest {
  1: Row sender
  2: string dataCentre
}

struct AskRow {
  1: i64 limit
  2: i64 want
  3: i64 urgent
  4: i64 held
  5: i64 returned
}

struct TokenAsk {
  1: i64 incarnation
  2: i64 sequence
  3: i64 accepted
  4: list<AskRow> rows
}

struct GrantRow {
  1: i64 limit
  2: i64 tokens
  3: i64 left
  4: i64 sparePerSecond
  5: i64 mintedPerSecond
}

struct TokenGrant {
  1: i64 incarnation
  2: i64 sequence
  3: i64 configVersion
  4: i32 shares
  5: list<GrantRow> rows
}

struct Mate {
  1: string name
  2: i64 incarnation
}

struct PromiseRow {
  1: i32 index
  2: i64 version
}

struct PromiseRequest {
  1: Mate sender
  2: i64 sequence
  3: list<PromiseRow> rows
}

struct PromiseReply {
  1: Mate sender
  2: i64 sequence
  3: list<i32> indexes
}

/// A target that died with the request in flight on it.
struct CrashReport {
  1: i64 target
  2: i64 sentAgoMs
  3: i64 diedAgoMs
  4: bool alone
}

struct SuspectReport {
  1: i64 fingerprint
  2: optional i64 succeededAgoMs
  3: i32 rounds
  4: list<CrashReport> crashes
}

struct QuarantineNews {
  1: list<SuspectReport> suspects
}

struct CreditAsk {
  1: i64 serviceId
  2: i32 wanted
  3: i64 sequence
}

struct CreditGrant {
  1: i64 serviceId
  2: i32 count
  3: i64 id
  4: i64 sequence
  5: i32 lifetimeMs
}

/// A target that handles, or has handled, requests about an object.
struct ObjectRow {
  1: i64 object
  2: i64 target
  3: bool warm
  4: optional i32 demandMs
  5: optional bool released
}

struct LoadRow {
  1: i64 target
  2: i32 busy
  3: optional i32 pacePercent
}

struct ObjectNews {
  1: list<ObjectRow> rows
  2: list<LoadRow> loads
}

/// Asks what the receiver has read from the platform, and when.
struct ViewAsk {
  1: i64 askedAtNs
  2: i64 revision
  3: i32 skip
  4: i64 era
}

struct TargetChange {
  1: string name
  2: string address
  3: i32 port
  4: string serviceName
  5: string dataCentre
  6: i32 slots
  7: bool draining
  8: i32 coldLeftMs
  9: i64 sequence
  10: i64 startedAtMs
  11: bool removed
  12: i64 revision
}

struct ViewReply {
  1: i64 askedAtNs
  2: i64 version
  3: i64 ageMs
  4: i64 revision
  5: i64 targetsAgeMs
  6: list<TargetChange> changes
  7: bool partial
  8: list<string> evacuated
  9: i32 skip
  10: bool more
  11: bool follows
  12: i64 evacuatedAgeMs
  13: i64 era
  14: i64 targetsEra
  15: i64 routesEra
  16: i64 evacuatedEra
  17: i64 rosterHash
  18: i64 rosterAgeMs
  19: i64 rosterEra
}

/// The rate limit of a target; without a rate it was withdrawn.
struct LimitReport {
  1: i64 target
  2: optional double perSecond
  3: i64 ageMs
}

struct LimitNews {
  1: list<LimitReport> limits
}

struct PermitAsk {
  1: i64 sequence
  2: i32 count
  3: LimitReport limit
}

struct PermitGrant {
  1: i64 sequence
  2: i32 count
  3: i32 waitMs
  4: LimitReport limit
}

/// Asks whether the receiver hears from targets.
struct PathAsk {
  1: i64 round
}

struct PathReport {
  1: i64 round
  2: i8 state
  3: optional i64 heardAgeMs
}

/// Exactly one field is set; it is the kind of the datagram.
struct Datagram {
  1: optional Heartbeat heartbeat
  2: optional SummaryNews summary
  3: optional Rows rows
  4: optional RowsRequest rowsRequest
  5: optional TokenAsk tokenAsk
  6: optional TokenGrant tokenGrant
  7: optional PromiseRequest promiseRequest
  8: optional PromiseReply promiseReply
  // 9 was a notice of a quarantine.
  10: optional CreditAsk creditAsk
  11: optional CreditGrant creditGrant
  12: optional ObjectNews objectNews
  13: optional ViewAsk viewAsk
  14: optional ViewReply viewReply
  15: optional QuarantineNews quarantine
  16: optional LimitNews limitNews
  17: optional PermitAsk permitAsk
  18: optional PermitGrant permitGrant
  20: optional PathAsk pathAsk
  21: optional PathReport pathReport
}
