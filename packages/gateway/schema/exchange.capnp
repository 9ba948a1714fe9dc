@0xd4b7a1f09c3e6a52;

# Messages between the entry daemons of a group. Each daemon sends a report as one datagram several times a
# second. A daemon whose copy of a collection is outdated fetches a snapshot over HTTP. Totals count from the
# start of the sender, so lost and repeated reports do no harm.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cardamompond::gateway::wire");

struct CollectionState {
  asOf @0 :UInt64;        # revision of the store up to which the sender's copy is complete
  changedAt @1 :UInt64;   # revision of the last change of the copy
  bytes @3 :UInt32;       # size of the content
  ageMs @2 :UInt32;       # time since the copy was last known to equal the content of the store
  era @5 :UInt64;         # era of both revisions; 0: the store states none
  readForMs @4 :UInt32;   # how long the sender has read the store without a failure; 0: it does not read it now
}

struct ServerLoad {
  server @0 :UInt32;      # fleet::server_id_hash of the server's id
  running @1 :UInt32;     # number of requests that the sender runs on the server
  baseS @2 :Float32;      # speed of the server as measured by the sender, see fleet::speed_estimate
  promptSPerToken @3 :Float32;
  eventS @4 :Float32;
  samples @5 :Float32;
  failing @6 :Bool;       # the sender avoids the server because its responses are failures
  leaving @7 :Bool;       # the server stated to the sender, not long ago, that it leaves
  instance @8 :UInt32;    # fleet::instance_hash of the process that leaves; 0 if it does not leave
  # The next three use the space that the fields above leave, so that a load takes no further word.
  workTime @9 :UInt8;     # last stated to the sender, 1 + 33 times the natural logarithm of percent / 5; 0: none lately
  ageAndReading @10 :UInt8; # low four bits: age of workTime in units of 32 ms; high four bits: tokens of the
                          # sender's prompts that the server has not processed yet, in units of 1,024
  limit @11 :UInt8;       # learned limit of running requests, see fleet::server_capacity; 0: no evidence
}

struct QuotaUse {
  account @0 :UInt32;     # fleet::account_quotas::account_hash of the account's name
  units @1 :Float32;      # units admitted for the account
}

# Outcomes that the sender observed for one version of a service on one route.
struct VersionOutcomes {
  service @0 :Text;
  version @1 :Text;
  route @2 :Text;
  good @3 :UInt64;
  bad @4 :UInt64;
  unused5 @5 :Float64;
  unused6 @6 :Float64;
  order @7 :UInt64;       # revision at which the rollout order was created
  timings @8 :Data;       # five bytes for each fleet::response_timing: server (low byte first), first, gap, running
  logRatio @9 :Float32 = nan; # m_log_ratio of fleet::version_observation
}

# A rollout order that the sender knows to be rolled back.
struct TakenBack {
  service @0 :Text;
  created @1 :UInt64;     # revision at which the rollout order was created
}

# The content of a request that may crash backend servers, and the servers whose connection broke while they ran
# it.
struct CrashSuspicion {
  contentHigh @0 :UInt64;
  contentLow @1 :UInt64;
  servers @2 :List(UInt64);
  statesAge @3 :Bool;
  ageMs @4 :UInt32;       # time since the last crash
}

struct PartCrash {
  server @0 :UInt32;      # fleet::server_id_hash of the server's id
  ageMs @1 :UInt32;       # time since the crash
  events @2 :UInt32;      # events of an answer with the part that had come before the crash
}

# A prompt part under suspicion of crashing backend servers, or one that an answer cleared.
struct PartSuspicion {
  part @0 :UInt64;
  crashes @1 :List(PartCrash);
  answered @2 :Bool;      # a request with this part was answered
  answerAgeMs @3 :UInt32; # time since the last answer
  position @4 :UInt32;    # of the part in the prompts, from 0
  progressEvents @5 :UInt32; # events of an answer with this part that goes on; 0: none
  progressAgeMs @6 :UInt32;  # time since the last of them
}

# A report that a daemon passes on.
struct RelayedReport {
  ageMs @0 :UInt32;       # time since the relaying daemon received it
  report @1 :Data;        # a Report without the availability zone; most leave out the collections
}

# A duty that the sender holds.
struct HeldDuty {
  duty @0 :UInt8;         # fleet::duty
  token @1 :UInt64;       # its fencing token
}

# Requests of an account that began to run at one daemon in a window.
struct UsageCount {
  window @0 :Int64;
  account @1 :UInt32;     # fleet::account_quotas::account_hash of the account's name
  count @2 :UInt32;
}

# What one process counted.
struct UsageStatement {
  daemon @0 :UInt64;      # fleet::usage_source
  incarnation @1 :UInt64;
  counts @2 :List(UsageCount);
}

struct UsageStatements {
  statements @0 :List(UsageStatement);
}

# Load of one service with overload control, see fleet::load_summary. Totals wrap around.
struct LoadSummary {
  service @0 :UInt32;         # fleet::service_hash of the service
  waiting @1 :List(UInt32);   # work that waits, by class
  arrived @2 :List(UInt32);   # totals by level; empty if the totals are left out
  granted @3 :List(UInt32);
  blockedWithinShare @4 :List(UInt32);
}

# What a server stated about the rate of requests that it takes, see fleet::limit_statement.
struct LimitStatement {
  server @0 :UInt32;      # fleet::server_id_hash of the server's id
  instance @1 :UInt32;    # fleet::instance_hash of the process
  limit @2 :UInt32;       # 1 + thousandths of a request per second; 0: the server no longer states a limit
  ageMs @3 :UInt32;       # time since the server stated it
}

# Rate at which requests for a service reach the sender, see fleet::service_demand.
struct ServiceDemand {
  service @0 :UInt32;     # fleet::service_hash of the service
  demand @1 :UInt32;      # thousandths of a request per second
}

# What a server stated about the rejections that it withstands, see fleet::brittle_statement.
struct BrittleStatement {
  server @0 :UInt32;      # fleet::server_id_hash of the server's id
  instance @1 :UInt32;    # fleet::instance_hash of the process
  maxRejections @2 :UInt16; # 1 + rejections in a second; 0: the server no longer states a number
  rejections @3 :UInt16;  # of requests of the sender, in the last second
  ageMs @4 :UInt32;       # time since the server stated it
}

# A report of one daemon, or, if `relayed` is not empty, reports that its sender passes on to another zone.
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
  recentUseOnly @12 :Bool; # quotaUse leaves out accounts whose total did not change recently
  parts @13 :List(PartSuspicion);
  blocked @14 :List(UInt32); # fleet::blocked_totals
  relayed @15 :List(RelayedReport);
  forwarded @16 :Bool;       # the relayed reports were passed on within the zone of the receiver
                             # availabilityZone is then that of all relayed reports
  loadSummaries @17 :List(LoadSummary); # only in reports to the sender's zone, or in a small group
  unused18 @18 :Void;
  unused19 @19 :Void;
  wallMs @20 :UInt64;        # wall clock of the sender, since 1970; 0 where no duties are configured
  duties @21 :List(HeldDuty);
  usage @22 :UsageStatement; # if present, the message holds nothing else
  limits @23 :List(LimitStatement); # left out of reports that a daemon passes on
  demands @24 :List(ServiceDemand); # of services that have servers with limits
  passesConnections @25 :Bool; # the sender reaches servers, and connects peers that do not (CONNECT)
  brittle @26 :List(BrittleStatement); # left out of reports that a daemon passes on, as limits
  ordersEra @27 :UInt64;     # in reports passed on without collections: era of the store of the creation
                             # revisions in outcomes and takenBack; 0: that of collections, or not stated
  restoreAgeMs @28 :UInt32;  # 1 + time since the sender noticed that the store began the era of the servers in
                             # collections, or ordersEra; 0: not lately
}

struct Document {
  name @0 :Text;
  revision @1 :UInt64;
  content @2 :Text;
}

struct CollectionSnapshot {
  asOf @0 :UInt64;
  documents @1 :List(Document);
  era @2 :UInt64;         # of all revisions; 0: the store states none
}
