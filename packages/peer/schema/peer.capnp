@0xa6b2f4f1c3d58e07;

# Protocol between the daemons of a cell. Times are sent as durations, because the hosts' clocks are not synchronised.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cardamompond::peer::wire");

struct RequestKey {
  daemon @0 :UInt64;
  sequence @1 :UInt64;
}

struct Submit {
  key @0 :RequestKey;
  service @1 :Text;
  clientAccount @2 :Text;
  route @3 :Text;
  promptTokens @4 :UInt32;
  maxOutputTokens @5 :UInt32;
  prefixBlocks @6 :List(UInt64);
  fingerprintHigh @7 :UInt64;
  fingerprintLow @8 :UInt64;
  ageUs @9 :UInt64;          # time since the request arrived
  remainingUs @10 :Int64;    # time until the request's deadline
}

struct Completed {
  key @0 :RequestKey;
  outcome @1 :UInt8;
  promptTokens @2 :UInt32;
  cachedTokens @3 :UInt32;
  outputTokens @4 :UInt32;
  firstTokenUs @5 :UInt64;
  totalUs @6 :UInt64;
}

struct Event {
  union {
    submit @0 :Submit;
    cancel @1 :RequestKey;
    started @2 :RequestKey;
    declined :group {
      key @3 :RequestKey;
      reason @4 :UInt8;
    }
    completed @5 :Completed;
    restore :group {
      request @6 :Submit;
      backendServer @7 :Text;
    }
  }
}

# Sent by a member to the owner.
struct EventBatch {
  epoch @0 :UInt64;
  sequence @1 :UInt64;
  daemon @2 :UInt64;         # RequestKey.daemon of the sending incarnation
  mark @3 :UInt64;           # timestamp on the sender's clock; the receiver only echoes it in DecisionBatch.mark
  events @4 :List(Event);
}

struct Decision {
  sequence @0 :UInt64;       # RequestKey.sequence; RequestKey.daemon is that of the receiver
  union {
    grant :group {
      backendServer @1 :Text;
      address @2 :Text;
      version @3 :Text;
      validUs @4 :UInt64;    # validity of the permit, counted from DecisionBatch.mark
    }
    refusal :group {
      code @5 :UInt8;
      retryAfterS @6 :UInt32;
      message @7 :Text;
    }
  }
}

# Sent by the owner to a member.
struct DecisionBatch {
  epoch @0 :UInt64;
  sequence @1 :UInt64;
  mark @2 :UInt64;           # latest EventBatch.mark received from the member
  decisions @3 :List(Decision);
}

struct MemberRecord {
  name @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;
  zone @3 :Text;
}

struct CellRecord {
  version @0 :UInt64;        # version of the platform object that stores the record
  epoch @1 :UInt64;
  owner @2 :Text;
  members @3 :List(MemberRecord);
}

struct BackendLimit {
  backendServer @0 :Text;
  limit @1 :UInt32;
}

# A membership or ownership message. cardamompond/cell/messages.hpp describes each kind.
struct CellMessage {
  from @0 :Text;
  incarnation @1 :UInt64;
  epoch @2 :UInt64;
  recordVersion @3 :UInt64;
  revision @4 :UInt64;
  signalsVersion @5 :UInt64;
  record @6 :CellRecord;     # may be absent
  union {
    heartbeat :group {
      sent @7 :UInt64;
      state @8 :UInt8;
      limitsVersion @9 :UInt64;
      limits @10 :List(BackendLimit); # may be absent
      platformFailed @27 :Bool;
    }
    heartbeatAck :group {
      ackSent @11 :UInt64;
      accepted @12 :Bool;
      ackLimitsVersion @13 :UInt64;
    }
    probe :group {
      probeSequence @14 :UInt64;
    }
    probeAck :group {
      probeAckSequence @15 :UInt64;
      probeOwnerAgeMs @16 :UInt32 = 0xffffffff; # time since the sender last heard that the owner held its lease;
                                                # default: it never heard that
    }
    relayRequest :group {
      relaySequence @17 :UInt64;
      target @18 :Text;
    }
    relayReply :group {
      replySequence @19 :UInt64;
      replyTarget @20 :Text;
      targetIncarnation @21 :UInt64;
      targetEpoch @22 :UInt64;
      replyOwnerAgeMs @23 :UInt32 = 0xffffffff; # as reported by the target
    }
    handover :group {
      stopped @24 :Bool;
    }
    farewell @25 :Void;
  }
  replyAddress @26 :Text;    # address on which the sender listens
}

# The calls that an authenticated peer can make.
interface Session {
  # Delivers events to the owner. `acknowledged` is the highest sequence number received without a gap. `accepted` is
  # false if the receiver is not the owner of the batch's epoch.
  events @0 (batch :EventBatch) -> (accepted :Bool, acknowledged :UInt64);

  # Delivers decisions to a member. `accepted` is false if the receiver knows a newer epoch.
  decisions @1 (batch :DecisionBatch) -> (accepted :Bool, acknowledged :UInt64);

  # Returns the configuration changes after a revision, in the JSON format of package declarations. The payload is
  # empty if there are none.
  fetchConfiguration @2 (aboveRevision :UInt64) -> (payload :Text);

  # Returns the signals known to the receiver, in the JSON format of package cell.
  fetchSignals @3 () -> (payload :Text);

  # Sends the cumulative usage counters of a member, in the JSON format of package cell.
  pushUsage @4 (payload :Text) -> ();

  # Sends a membership message. Such messages may be lost. The results of the call are empty; a reply to the message, if
  # any, is a message of its own.
  cellMessage @5 (message :CellMessage) -> ();
}

# The bootstrap interface of a connection. `open` fails if the secret is not that of the cell.
interface Entry {
  open @0 (secret :Text, daemon :Text) -> (session :Session);
}
