#include "proof/history.h"

#include <algorithm>

namespace chicorystep::proof {
namespace impl {

// An empty entry id on either side stands for all entries.
bool AppliesTo(const Disturbance& disturbance, const EntryId& entry) {
  return disturbance.entry.empty() || entry.empty() ||
         disturbance.entry == entry;
}

}  // namespace impl

bool IsDisturbed(const History& history,
                 const EntryId& entry,
                 TimePoint from,
                 TimePoint to) {
  return std::any_of(history.disturbances.begin(), history.disturbances.end(),
                     [&](const Disturbance& row) {
                       return impl::AppliesTo(row, entry) && row.at <= to &&
                              row.until >= from;
                     });
}

TimePoint FindDisturbanceEnd(const History& history,
                             const EntryId& entry,
                             TimePoint from,
                             Duration bound) {
  TimePoint until = from;
  bool extended = true;
  while (extended) {
    extended = false;
    for (const Disturbance& row : history.disturbances) {
      if (impl::AppliesTo(row, entry) && row.at <= until + bound &&
          row.until > until) {
        until = row.until;
        extended = true;
      }
    }
  }
  return until;
}

TimePoint LastEventTime(const History& history) {
  TimePoint end = TimePoint::min();
  const auto visit = [&](const auto& rows) {
    for (const auto& row : rows) {
      end = std::max(end, row.at);
    }
  };
  visit(history.calls_begun);
  visit(history.calls_ended);
  visit(history.work_received);
  visit(history.executed);
  visit(history.leaving);
  visit(history.jobs);
  visit(history.pieces_started);
  visit(history.pieces_stopped);
  visit(history.stopping);
  visit(history.ended);
  visit(history.edits);
  visit(history.revisions);
  return end;
}

}  // namespace chicorystep::proof
