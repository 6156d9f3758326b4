@0xd4c1f0a6e8b93751;
# Calls between two shallotd processes. docs/design/peer.md says why each is here.

interface Bootstrap {
  # All that a connection offers before both sides have proved the shared key.

  challenge @0 (nonce :Data, vm :Text, incarnation :UInt64)
      -> (nonce :Data, vm :Text, incarnation :UInt64, proof :Data, handshake :Handshake);
}

interface Handshake {
  prove @0 (proof :Data) -> (peer :Peer);
  # `peer` is null when the proof is wrong.
}

interface Peer {
  heartbeat @0 (heartbeat :Heartbeat) -> (heartbeat :Heartbeat);
  claim @1 (operation :Operation, number :UInt64) -> (answer :ClaimAnswer);
  complete @2 (operation :Operation, number :UInt64, completion :Completion) -> (recorded :Bool);
  close @3 (operation :Operation, number :UInt64) -> (answer :ClaimAnswer);
  lookup @4 (operation :Operation) -> (held :Bool, answer :ClaimAnswer);
  issue @5 () -> (session :Text);
  changes @6 (after :UInt64, takesPacked :Bool, epoch :UInt64 = 0xffffffffffffffff,
              wantsRetained :Bool, takesGap :Bool) -> (changes :Changes);
  # With `takesPacked` large contents may come compressed. `epoch` is that of the revision `after`; the
  # default means that the caller does not know of epochs. With `wantsRetained` the changes have the
  # retained values, and with `takesGap` they may have a gap.
  push @7 (changes :Changes) -> ();
  handoff @8 (ledger :SealedLedger, index :UInt32, count :UInt32) -> (accepted :Bool);
}

struct Heartbeat {
  state @0 :State;
  seenRevision @1 :UInt64;
  syncedRevision @2 :UInt64;
  restartSafe @3 :Bool;
  loads @4 :List(LoadHint);
  failureDomain @5 :Text;
  callers @6 :Text;
  peers @7 :Text;
  round @8 :UInt32;
  news @9 :List(News);
  listsDigest @10 :UInt64;
  platformLost @11 :Bool;
  strengthPerS @12 :UInt32;
  platformAnsweredMs @13 :UInt32 = 0xffffffff;
  readerHeardMs @14 :UInt32 = 0xffffffff;
  platformAwayMs @15 :UInt32 = 0xffffffff;
  # Times since then, as far as the sender knows; the default means never.
  domainEntries @16 :UInt32;
  behind @17 :Bool;
  # Its work waits for the processor.
  crashReports @18 :List(CrashReport);
  quarantineDigest @19 :UInt64;
  # Digest of the requests that the sender quarantines; 0 if there are none.

  rateLimits @20 :List(RateLimit);
  isolated @21 :Bool;
  # The sender reaches no target.

  leavingTargets @22 :List(LeavingTarget);
  syncedEpoch @23 :UInt64 = 0xffffffffffffffff;
  # Epoch of `syncedRevision`; the default means that the sender does not know of epochs.

  retainedDigest @24 :UInt64;
  # Digest of the values of earlier epochs that the sender retains; 0 if there are none.

  demands @25 :List(DemandReport);
  # Demand of advertised entries, the sender first; only between advertised entries.

  loadLevel @26 :UInt8;
  # Requests of callers at the sender, at most the square root of two to the power of `loadLevel` - 1 in
  # a second; 0 if it reports none.

  loadsDigest @27 :UInt64;
  # Digest of the loads that the sender knows; 0 if it knows of no loads.

  exclusions @28 :List(Exclusion);

  enum State {
    live @0;
    leaving @1;
    starting @2;
  }
}

struct News {
  # What the sender knows of a third VM.

  vm @0 :Text;
  incarnation @1 :UInt64;
  round @2 :UInt32;
  state @3 :Heartbeat.State;
  suspected @4 :Bool;
  failureDomain @5 :Text;
  callers @6 :Text;
  peers @7 :Text;
  strengthPerS @8 :UInt32;
  isolated @9 :Bool;
  loadLevel @10 :UInt8;
}

struct CrashReport {
  # The sender's crash record of a request.

  fingerprint @0 :UInt64;
  crashes @1 :UInt8;
  crashedMs @2 :UInt32;
  answeredMs @3 :UInt32 = 0xffffffff;
  # Time since the last crash and the last answer; the default means no known answer.
}

struct RateLimit {
  # The sender's record of a target's rate limit in thousandths of a request a second. The limit
  # applies to all entries together.

  target @0 :Text;
  milliPerS @1 :UInt64 = 0xffffffffffffffff;
  # The default means that the target has removed its limit.
  answeredMs @2 :UInt32;
  # Time since the last answer on which the record is based.
}

struct Exclusion {
  # A target that is left out because its answers do not end.

  target @0 :Text;
  startedAtMs @1 :UInt64;
  # Start of its process in Unix milliseconds; 0 if it is not known.
  remainingMs @2 :UInt32;
  # How much longer it is left out.
  count @3 :UInt32;
  # How many times it has been left out, this time included.
}

struct LeavingTarget {
  # A target that has said in an answer that it is leaving.

  target @0 :Text;
  startedAtMs @1 :UInt64;
  # Start of its process in Unix milliseconds; 0 if it is not known.
  answeredMs @2 :UInt32;
  # Time since that answer.
}

struct DemandReport {
  # Demand by service of an advertised entry, forwarded by others.

  vm @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt32;
  # Replaces reports of the same incarnation with lower numbers.
  ageMs @3 :UInt32;
  # Time since the report was issued.
  complete @4 :Bool;
  # Services that are not listed have no demand.
  services @5 :List(ServiceDemand);
  # The busiest services.
}

struct ServiceDemand {
  service @0 :UInt64;
  # Hash of the name of the service.
  milliPerS @1 :UInt32;
}

struct LoadHint {
  target @0 :Text;
  loadPermille @1 :UInt32;
  ageMs @2 :UInt32;
}

struct Operation {
  session @0 :Text;
  key @1 :Text;
}

struct ClaimAnswer {
  union {
    granted @0 :Void;
    inProgress @1 :Void;
    kept @2 :KeptAnswer;
    ran @3 :Void;
    notRun @4 :Void;
    mayHaveRun @5 :Void;
    fullRetryAfterMs @6 :UInt64;
    badSession @7 :Void;
  }
}

struct KeptAnswer {
  status @0 :UInt16;
  headers @1 :List(HeaderField);
  body @2 :Data;
}

struct HeaderField {
  name @0 :Text;
  value @1 :Data;
}

struct Completion {
  union {
    ran @0 :KeptAnswer;
    ranUnkept @1 :Void;
    notRun @2 :Void;
    mayHaveRun @3 :Void;
  }
}

struct Changes {
  revision @0 :UInt64;
  values @1 :List(Value);
  whole @2 :Bool;
  # Values that are not listed do not exist any more.
  bundle @3 :Data;
  # Further values: a message with a struct `Values`, compressed (deflate). Only for those who take it.
  unpackedBundleBytes @4 :UInt32;
  # Size of the bundle before it was compressed; 0 if there is none.
  epoch @5 :UInt64 = 0xffffffffffffffff;
  # Epoch of `revision`; the default means that the sender does not know of epochs.
  retained @6 :List(Value);
  # Values of earlier epochs that hold in place of those published since.
  settlesMs @7 :UInt32 = 0xffffffff;
  # Remaining time for which they hold, as far as they do not state themselves that they are later; the
  # default means that it is not known.
  seenFrom @8 :UInt64 = 0xffffffffffffffff;
  # Lowest revision that the sender knows of the platform in this epoch; the default means none.
  gap @9 :Bool;
  # Values that came and went after the requested revision may be missing.
}

struct Values {
  values @0 :List(Value);
}

struct Value {
  name @0 :Text;
  revision @1 :UInt64;
  content @2 :Data;
  removed @3 :Bool;
  unpackedBytes @4 :UInt32;
  # Size of the content before it was compressed (deflate); 0 if it is not compressed.
  epoch @5 :UInt64;
  # Epoch of `revision`.
}

struct SealedLedger {
  vm @0 :Text;
  incarnation @1 :UInt64;
  secret @2 :Data;
  sealedAtUs @3 :UInt64;
  sessionLifetimeMs @4 :UInt64;
  sessions @5 :List(SealedSession);
}

struct SealedSession {
  serial @0 :UInt64;
  operations @1 :List(SealedOperation);
}

struct SealedOperation {
  key @0 :Text;
  end :union {
    kept @1 :KeptAnswer;
    ran @2 :Void;
    notRun @3 :Void;
    mayHaveRun @4 :Void;
  }
}
