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
}
