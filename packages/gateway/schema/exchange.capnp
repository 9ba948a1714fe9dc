@0xd4b7a1f09c3e6a52;

# What the entry daemons of a group tell one another. A report goes out as one datagram several times a second;
# a collection is fetched over HTTP by a daemon that lags behind. Totals count from the sender's start, so that
# lost and repeated reports change nothing.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cardamompond::gateway::wire");

struct CollectionState {
  asOf @0 :UInt64;        # revision of the store up to which the sender's copy is complete
  changedAt @1 :UInt64;   # revision of its last change
  bytes @3 :UInt32;       # size of the content
  ageMs @2 :UInt32;       # since the sender had that from the store itself
}

struct ServerLoad {
  server @0 :UInt32;      # fleet::server_key of the server's id
  running @1 :UInt32;     # requests of the sender there
  baseS @2 :Float32;      # how fast the sender found it, see fleet::speed_summary
  promptSPerToken @3 :Float32;
  eventS @4 :Float32;
  samples @5 :Float32;
  failing @6 :Bool;       # the sender keeps away from it because its answers fail
}

struct QuotaUse {
  account @0 :UInt32;     # fleet::token_quota::account_key of the account's name
  units @1 :Float32;      # admitted
}

struct VersionOutcomes {
  service @0 :Text;
  version @1 :Text;
  route @2 :Text;
  good @3 :UInt64;
  bad @4 :UInt64;
  firstAnswerS @5 :Float64;
  totalS @6 :Float64;
}

struct TakenBack {
  service @0 :Text;
  created @1 :UInt64;     # revision of the order's creation
}

struct CrashSuspicion {
  contentHigh @0 :UInt64;
  contentLow @1 :UInt64;
  servers @2 :List(UInt64);
}

struct Report {
  daemon @0 :Text;
  exchangeAddress @1 :Text;
  incarnation @2 :UInt64;
  sequence @3 :UInt64;
  leaving @4 :Bool;
  collections @5 :List(CollectionState);  # in the order of collection_kind
  loads @6 :List(ServerLoad);
  quotaUse @7 :List(QuotaUse);
  outcomes @8 :List(VersionOutcomes);
  takenBack @9 :List(TakenBack);
  crashes @10 :List(CrashSuspicion);
  availabilityZone @11 :Text;
  recentUseOnly @12 :Bool; # quotaUse leaves out accounts whose total has not changed for a while
}

struct Document {
  name @0 :Text;
  revision @1 :UInt64;
  content @2 :Text;
}

struct CollectionSnapshot {
  asOf @0 :UInt64;
  documents @1 :List(Document);
}
