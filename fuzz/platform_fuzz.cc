// What the users' platform sends: bodies, records and entries. Not the settings
// file: Debian's toml++ 3.3.0 reaches undefined behaviour on a U+FE3F outside
// of strings (bytes ef b8 bf); see docs/PROOFS.md.

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "fuzz/check.h"
#include "platform/codec.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace chicorystep;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  (void)platform::DecodeConfig(text);
  (void)platform::DecodeListing("i-1", text);
  (void)platform::DecodeNewestPage(text);
  if (const auto page = platform::DecodeLogPage(text)) {
    for (const KeyedValue& record : page.value().records) {
      (void)DecodeJournalRecord(record.key, record.value);
    }
  }
  for (const char* key : {"a-1", "s-1", "p-1", "c-1", "holder"}) {
    (void)DecodeJournalRecord(key, std::string(text));
  }
  for (const int status : {200, 409, 503}) {
    OrderEnded ended{.kind = OrderKind::kHold};
    platform::DecodeOrderAnswer(status, text, ended);
    fuzz::Require(ended.outcome == OrderOutcome::kDone ||
                      (ended.running.empty() && ended.ended.empty()),
                  "lists come only with an order that was carried out");
    JournalAppended appended;
    platform::DecodeAppendAnswer(status, text, appended);
  }
  if (const auto name = platform::DecodeTaskName(text)) {
    fuzz::Require(
        platform::DecodeTaskName(platform::EncodeTaskName(*name)) == name,
        "a task's name is read back as written");
  }
  if (const auto job = platform::DecodeJob(text)) {
    // What is accepted must be readable from the journal by every entry.
    const AcceptedRecord record{.id = WorkflowId("1"), .spec = job.value()};
    const auto encoded = EncodeJournalRecord(record);
    const auto decoded = DecodeJournalRecord(encoded[0].key, encoded[0].value);
    fuzz::Require(decoded && decoded.value().has_value(),
                  "an accepted job is read back");
  }
  return 0;
}
