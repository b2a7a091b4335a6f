@0xb2f4c1a07d3e5f69;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("chicorystep::wire");

# What the entry processes say to each other.

struct Heartbeat {
  id @0 :Text;
  incarnation @1 :UInt64;
  zone @2 :Text;
  region @3 :Text;
  # The offset up to which the sender has applied the configuration stream.
  configNext @4 :UInt64;
  stopping @5 :Bool;
  # Where the sender listens for peers.
  address @6 :Text;
  # Whether the sender's reads of the log fail.
  logFailing @7 :Bool;
  # Whom the sender heard of lately; a bounded number.
  seen @8 :List(Seen);
}

struct Seen {
  # A hash of the member's id.
  member @0 :UInt32;
  # How long ago it was heard, in hundredths of a second.
  age @1 :UInt16;
}

struct Record {
  offset @0 :UInt64;
  id @1 :Text;
  data @2 :Data;
}

# What a process knows of the configuration beyond an offset: the records that
# follow, or a snapshot when it has not kept them.
struct ConfigAnswer {
  # Whether the sender serves callers from its tables.
  ready @0 :Bool;
  # How far its tables reach.
  next @1 :UInt64;
  records @2 :List(Record);
  snapshot @3 :Data;
}

enum JobOperationKind {
  submit @0;
  get @1;
  cancel @2;
}

struct JobOperation {
  kind @0 :JobOperationKind;
  # The job as JSON, in the form of docs/INTERFACES.md.
  spec @1 :Text;
}

struct JobAnswer {
  union {
    # Both as JSON, in the form of docs/INTERFACES.md.
    status @0 :Text;
    refusal @1 :Text;
  }
}

interface Peer {
  # Answers with the heartbeat of the receiver.
  heartbeat @0 (beat :Heartbeat) -> (beat :Heartbeat);
  # Carries out a job operation at the holder of its cell.
  job @1 (operation :JobOperation) -> (answer :JobAnswer);
  # The configuration's records from an offset on.
  records @2 (from :UInt64) -> (answer :ConfigAnswer);
}
