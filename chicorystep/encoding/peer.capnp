@0xb2f4c1a07d3e5f69;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("chicorystep::wire");

# Messages between entry processes.

struct Heartbeat {
  id @0 :Text;
  incarnation @1 :UInt64;
  zone @2 :Text;
  region @3 :Text;
  # The offset up to which the sender has applied the configuration stream.
  configNext @4 :UInt64;
  stopping @5 :Bool;
  # The address at which the sender listens for peers.
  address @6 :Text;
  # Whether the sender's reads of the log are failing.
  logFailing @7 :Bool;
  # Members that the sender has recently received heartbeats from, directly or
  # through others; the list is bounded.
  seen @8 :List(Seen);
}

struct Seen {
  # The hash of the member's id.
  member @0 :UInt32;
  # Time since a heartbeat of this member was last received, directly or
  # through others, in units of 10 ms.
  age @1 :UInt16;
}

struct Record {
  offset @0 :UInt64;
  id @1 :Text;
  data @2 :Data;
}

# The configuration after a requested offset: the records that follow it, or a
# snapshot if the answering process no longer retains those records.
struct ConfigAnswer {
  # Whether the sender serves callers with its configuration tables.
  ready @0 :Bool;
  # The offset after the last record that the sender's tables include.
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
  # The job as JSON in the format that docs/INTERFACES.md specifies.
  spec @1 :Text;
}

struct JobAnswer {
  union {
    # Both are JSON in the format that docs/INTERFACES.md specifies.
    status @0 :Text;
    refusal @1 :Text;
  }
}

interface Peer {
  # Returns the receiver's own heartbeat.
  heartbeat @0 (beat :Heartbeat) -> (beat :Heartbeat);
  # Performs a job operation. The receiver must be the holder of the job's cell;
  # it does not forward the operation.
  job @1 (operation :JobOperation) -> (answer :JobAnswer);
  # Returns the configuration records from offset `from` onwards.
  records @2 (from :UInt64) -> (answer :ConfigAnswer);
}
