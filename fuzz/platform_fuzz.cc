// Fuzzes the decoders of data from the users' platform: bodies, records and
// instance entries, and the settings file.

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "fuzz/check.h"
#include "platform/codec.h"
#include "platform/settings.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace chicorystep;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  (void)platform::DecodeConfig(text);
  (void)platform::ParseSettings(text);
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
    OrderResult ended{.kind = OrderKind::kHold};
    platform::DecodeOrderAnswer(status, text, ended);
    fuzz::Require(ended.outcome == OrderOutcome::kDone ||
                      (ended.running.empty() && ended.ended.empty()),
                  "only an executed order returns lists of runs");
    JournalAppended appended;
    platform::DecodeAppendAnswer(status, text, appended);
  }
  if (const auto name = platform::DecodeTaskName(text)) {
    fuzz::Require(
        platform::DecodeTaskName(platform::EncodeTaskName(*name)) == name,
        "an encoded task name decodes to the same name");
  }
  if (const auto job = platform::DecodeJob(text)) {
    // Every entry must be able to read an accepted job from the journal.
    const AcceptedRecord record{.id = WorkflowId("1"), .spec = job.value()};
    const auto encoded = EncodeJournalRecord(record);
    const auto decoded = DecodeJournalRecord(encoded[0].key, encoded[0].value);
    fuzz::Require(decoded && decoded.value().has_value(),
                  "the journal record of an accepted job can be decoded");
  }
  return 0;
}
