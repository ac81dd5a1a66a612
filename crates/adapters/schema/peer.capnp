@0xb7d1c8f0a1e24c55;
# Messages between two nodes. The Rust code in src/generated is made from this
# file and committed; see docs/design/0011-peer-protocol.md.

struct Header {
  name @0 :Text;
  value @1 :Data;
}

struct Request {
  method @0 :Text;
  target @1 :Text;
  headers @2 :List(Header);
  body @3 :Data;
}

struct Answer {
  status @0 :UInt16;
  headers @1 :List(Header);
  body @2 :Data;
  more @3 :Bool;
  length @4 :UInt64;
}

struct Call {
  idHigh @0 :UInt64;
  idLow @1 :UInt64;
  service @2 :Text;
  route @3 :Text;
  idempotent @4 :Bool;
  priority @5 :UInt32;
  timeLeftMs @6 :UInt32;
  depth @7 :UInt32;
  caller @8 :Text;
  request @9 :Request;
  aimLife @10 :UInt64;
  aimTick @11 :UInt64;
  wantedLeftMs @12 :UInt32;
  account @13 :Text;
}

struct Reply {
  inFlight @0 :UInt32;
  ownMs @1 :UInt32;
  union {
    answer @2 :Answer;
    failed @3 :UInt16;
  }
  runMs @4 :UInt32;
  rateWaitMs @5 :UInt32;
  linkWaitMs @6 :UInt32;
  concurrencyLimit @7 :UInt32;
}

struct AnswerPart {
  last @0 :Bool;
  union {
    data @1 :Data;
    failed @2 :UInt16;
  }
}

struct Settlement {
  union {
    ended @0 :Reply;
    running @1 :Void;
    fenced @2 :Void;
    forgotten @3 :Void;
  }
}

interface Peer {
  call @0 (call :Call) -> (reply :Reply);
  settle @1 (idHigh :UInt64, idLow :UInt64, aimLife :UInt64, aimTick :UInt64) -> (settlement :Settlement);
  cancel @2 (idHigh :UInt64, idLow :UInt64) -> ();
  heartbeat @3 () -> (life :UInt64, tick :UInt64);
  control @4 (body :Data) -> (body :Data);
  ledger @5 (body :Data) -> (body :Data);
  answerPart @6 (idHigh :UInt64, idLow :UInt64, offset :UInt64) -> (part :AnswerPart);
}
