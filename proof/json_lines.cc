#include "proof/json_lines.h"

#include <fmt/format.h>

#include <cstddef>
#include <sstream>
#include <type_traits>
#include <utility>
#include <vector>

#include "chicorystep/encoding/json.h"

namespace chicorystep::proof {

// Reads or writes a time as microseconds since the start of the clock.
template <typename Archive>
void VisitTime(Archive& archive, std::string_view name, TimePoint& time) {
  Duration since_start = time.time_since_epoch();
  archive(name, since_start);
  time = TimePoint(since_start);
}

template <typename Archive>
void VisitFields(Archive& archive, CallBegun& event) {
  VisitTime(archive, "at_us", event.at);
  archive("call", event.call);
  archive("request", event.request);
  archive("entry", event.entry);
  archive("idempotent", event.idempotent);
  archive("expected", event.expected);
}

template <typename Archive>
void VisitFields(Archive& archive, CallEnded& event) {
  VisitTime(archive, "at_us", event.at);
  archive("call", event.call);
  archive("outcome", event.outcome);
  archive("answered", event.answered);
  archive("answer", event.answer);
}

template <typename Archive>
void VisitFields(Archive& archive, WorkReceived& event) {
  VisitTime(archive, "at_us", event.at);
  archive("target", event.target);
}

template <typename Archive>
void VisitFields(Archive& archive, RequestExecuted& event) {
  VisitTime(archive, "at_us", event.at);
  archive("target", event.target);
  archive("request", event.request);
}

template <typename Archive>
void VisitFields(Archive& archive, TargetLeaving& event) {
  VisitTime(archive, "at_us", event.at);
  archive("target", event.target);
}

template <typename Archive>
void VisitFields(Archive& archive, JobAccepted& event) {
  VisitTime(archive, "at_us", event.at);
  archive("job", event.job);
  archive("pieces", event.pieces);
  archive("guaranteed", event.guaranteed);
}

template <typename Archive>
void VisitFields(Archive& archive, PieceStarted& event) {
  VisitTime(archive, "at_us", event.at);
  archive("worker", event.worker);
  archive("job", event.job);
  archive("tries", event.attempt);
  archive("piece", event.piece);
}

template <typename Archive>
void VisitFields(Archive& archive, PieceStopped& event) {
  VisitTime(archive, "at_us", event.at);
  archive("worker", event.worker);
  archive("job", event.job);
  archive("tries", event.attempt);
  archive("piece", event.piece);
  archive("done", event.done);
}

template <typename Archive>
void VisitFields(Archive& archive, EntryStopping& event) {
  VisitTime(archive, "at_us", event.at);
  archive("entry", event.entry);
}

template <typename Archive>
void VisitFields(Archive& archive, EntryEnded& event) {
  VisitTime(archive, "at_us", event.at);
  archive("entry", event.entry);
  archive("clean", event.clean);
}

template <typename Archive>
void VisitFields(Archive& archive, Disturbance& event) {
  VisitTime(archive, "at_us", event.at);
  VisitTime(archive, "until_us", event.until);
  archive("entry", event.entry);
}

template <typename Archive>
void VisitFields(Archive& archive, EditAccepted& event) {
  VisitTime(archive, "at_us", event.at);
  archive("revision", event.revision);
}

template <typename Archive>
void VisitFields(Archive& archive, RevisionSeen& event) {
  VisitTime(archive, "at_us", event.at);
  archive("entry", event.entry);
  archive("revision", event.revision);
  archive("tables", event.tables);
  archive("life", event.incarnation);
}

namespace impl {

// Calls `visit` with the event name and the rows of each table.
template <typename AnyHistory, typename Visit>
void VisitTables(AnyHistory& history, Visit visit) {
  visit("call_begun", history.calls_begun);
  visit("call_ended", history.calls_ended);
  visit("work_received", history.work_received);
  visit("request_executed", history.executed);
  visit("target_leaving", history.leaving);
  visit("job_accepted", history.jobs);
  visit("piece_started", history.pieces_started);
  visit("piece_stopped", history.pieces_stopped);
  visit("entry_stopping", history.stopping);
  visit("entry_ended", history.ended);
  visit("disturbance", history.disturbances);
  visit("edit_accepted", history.edits);
  visit("revision_seen", history.revisions);
}

// Decodes one line and appends the event to its table. Returns the error, or
// an empty string on success.
std::string AddLine(History& history, const std::string& line) {
  const Json document = Json::parse(line, nullptr, false);
  if (!document.is_object() || !document.contains("event")) {
    return "expected an object with an event";
  }
  std::string error = "unknown event";
  VisitTables(history, [&](std::string_view name, auto& rows) {
    if (document["event"] != name) {
      return;
    }
    using Event = typename std::remove_reference_t<decltype(rows)>::value_type;
    auto event = DecodeJson<Event>(line);
    error = event ? "" : event.error().detail;
    if (event) {
      rows.push_back(std::move(event.value()));
    }
  });
  return error;
}

}  // namespace impl

std::string EncodeHistory(const History& history) {
  std::string lines;
  impl::VisitTables(history, [&](std::string_view name, const auto& rows) {
    for (const auto& row : rows) {
      Json line = {{"event", name}};
      line.update(JsonWriter::ToJson(row));
      lines += line.dump();
      lines += '\n';
    }
  });
  return lines;
}

Result<History, HistoryError> DecodeHistory(std::string_view lines) {
  History history;
  std::istringstream stream{std::string(lines)};
  std::size_t number = 0;
  for (std::string line; std::getline(stream, line);) {
    ++number;
    if (const std::string error = impl::AddLine(history, line);
        !error.empty()) {
      return failure(HistoryError{fmt::format("line {}: {}", number, error)});
    }
  }
  return history;
}

}  // namespace chicorystep::proof
