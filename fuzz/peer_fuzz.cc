// Fuzzes the readers of messages between entry processes with valid messages in
// which some bytes are changed, so that Cap'n Proto pointers may be out of
// bounds.

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstddef>
#include <cstdint>
#include <cstring>

#include "chicorystep/encoding/peer_messages.h"

namespace chicorystep::fuzz {
namespace {

// Makes a valid heartbeat or job operation.
kj::Array<capnp::word> MakeMessage(bool heartbeat) {
  capnp::MallocMessageBuilder builder;
  if (heartbeat) {
    WriteHeartbeat(Heartbeat{.id = EntryId("entry-1"),
                             .zone = Zone("z1"),
                             .region = Region("r1")},
                   builder.initRoot<wire::Heartbeat>());
  } else {
    WriteJobOperation(JobOperation{.kind = JobOperationKind::kSubmit,
                                   .spec = JobSpec{.kind = Kind("train")}},
                      builder.initRoot<wire::JobOperation>());
  }
  return capnp::messageToFlatArray(builder);
}

// Each pair of input bytes selects one byte of the message and the mask that is
// XORed into it.
void CorruptBytes(kj::Array<capnp::word>& words,
                  const std::uint8_t* data,
                  std::size_t size) {
  kj::ArrayPtr<kj::byte> bytes = words.asBytes();
  for (std::size_t i = 0; i + 1 < size; i += 2) {
    bytes[data[i] % bytes.size()] ^= data[i + 1];
  }
}

void DecodeAll(kj::ArrayPtr<const capnp::word> words) {
  // The readers throw on malformed messages, as the RPC library expects.
  (void)kj::runCatchingExceptions([&] {
    capnp::FlatArrayMessageReader reader(words);
    (void)ReadHeartbeat(reader.getRoot<wire::Heartbeat>());
  });
  (void)kj::runCatchingExceptions([&] {
    capnp::FlatArrayMessageReader reader(words);
    (void)ReadJobOperation(reader.getRoot<wire::JobOperation>());
  });
  (void)kj::runCatchingExceptions([&] {
    capnp::FlatArrayMessageReader reader(words);
    (void)ReadJobAnswer(reader.getRoot<wire::JobAnswer>());
  });
  (void)kj::runCatchingExceptions([&] {
    capnp::FlatArrayMessageReader reader(words);
    (void)ReadConfigAnswer(reader.getRoot<wire::ConfigAnswer>());
  });
}

}  // namespace
}  // namespace chicorystep::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  if (size == 0) {
    return 0;
  }
  auto words = chicorystep::fuzz::MakeMessage(data[0] % 2 == 0);
  chicorystep::fuzz::CorruptBytes(words, data + 1, size - 1);
  chicorystep::fuzz::DecodeAll(words);
  return 0;
}
