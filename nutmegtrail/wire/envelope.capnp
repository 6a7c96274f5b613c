@0xb0c6d1f3a7e94c52;
# Messages between entries and sidecars. Times are in milliseconds.

struct Envelope {
  union {
    call @0 :Call;
    head @1 :Head;
    chunk @2 :Chunk;
    refusal @3 :Refusal;
    cancel @4 :Cancel;
    tombstone @5 :Tombstone;
    heartbeat @6 :Heartbeat;
    heartbeatAck @7 :HeartbeatAck;
    documentDigest @8 :DocumentDigest;
    documentVector @9 :DocumentVector;
    documentPush @10 :DocumentPush;
    leaseRequest @11 :LeaseRequest;
    leaseGrant @12 :LeaseGrant;
    crashMark @13 :CrashMark;
    mapPrepare @14 :MapPrepare;
    mapPromise @15 :MapPromise;
    mapDecision @16 :MapDecision;
    mapQuery @17 :MapQuery;
    mapReport @18 :MapReport;
    mapStage @19 :MapStage;
  }
}

struct Call {
  requestId @0 :Text;
  attempt @1 :UInt16;
  clientAccount @2 :Text;
  target @3 :Text;
  method @4 :Text;
  path @5 :Text;
  contentType @6 :Text;
  body @7 :Data;
  idempotencyKey @8 :Text;
  idempotent @9 :Bool;
  priority @10 :UInt8;
  deadlineMs @11 :UInt32;
  offset @12 :UInt32;
  shareWeight @13 :Float32;
  suspect @14 :Bool;
}

struct Head {
  requestId @0 :Text;
  attempt @1 :UInt16;
  status @2 :UInt16;
  contentType @3 :Text;
}

struct Chunk {
  requestId @0 :Text;
  attempt @1 :UInt16;
  offset @2 :UInt32;
  payload @3 :Data;
  final @4 :Bool;
}

struct Refusal {
  requestId @0 :Text;
  attempt @1 :UInt16;
  reason @2 :Text;
  retryAfterMs @3 :UInt32;
  owner @4 :Text;
}

struct Cancel {
  requestId @0 :Text;
  attempt @1 :UInt16;
  onlyQueued @2 :Bool;
}

struct Tombstone {
  requestId @0 :Text;
  attempt @1 :UInt16;
  clientAccount @2 :Text;
  target @3 :Text;
  idempotencyKey @4 :Text;
}

struct Heartbeat {
  nonce @0 :UInt32;
}

struct HeartbeatAck {
  nonce @0 :UInt32;
  draining @1 :Bool;
  inFlight @2 :UInt32;
}

struct DocumentDigest {
  sender @0 :Text;
  digest @1 :Data;
}

struct DocumentVector {
  sender @0 :Text;
  names @1 :List(Text);
  revisions @2 :List(UInt64);
  reply @3 :Bool;
}

struct DocumentPush {
  name @0 :Text;
  revision @1 :UInt64;
  content @2 :Data;
}

struct LeaseRequest {
  sender @0 :Text;
  clientAccount @1 :Text;
  requests @2 :UInt32;
  tokens @3 :UInt32;
  inFlight @4 :UInt32;
}

struct LeaseGrant {
  clientAccount @0 :Text;
  requests @1 :UInt32;
  tokens @2 :UInt32;
  validMs @3 :UInt32;
}

struct CrashMark {
  fingerprint @0 :Text;
  crashId @1 :Text;
}

struct MapPrepare {
  group @0 :Text;
  counter @1 :UInt64;
  proposer @2 :Text;
  mapId @3 :Text;
  step @4 :UInt64;
}

struct MapPromise {
  group @0 :Text;
  counter @1 :UInt64;
  proposer @2 :Text;
  member @3 :Text;
  accepted @4 :Bool;
}

struct MapDecision {
  group @0 :Text;
  counter @1 :UInt64;
  proposer @2 :Text;
  mapId @3 :Text;
  step @4 :UInt64;
  committed @5 :Bool;
}

struct MapQuery {
  group @0 :Text;
  counter @1 :UInt64;
  proposer @2 :Text;
}

struct MapReport {
  group @0 :Text;
  counter @1 :UInt64;
  proposer @2 :Text;
  member @3 :Text;
  promisedCounter @4 :UInt64;
  promisedTo @5 :Text;
  mapId @6 :Text;
  step @7 :UInt64;
}

struct MapStage {
  group @0 :Text;
  mapId @1 :Text;
  slots @2 :List(UInt32);
}
