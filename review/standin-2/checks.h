#ifndef REVIEW_STANDIN_2_CHECKS_H_
#define REVIEW_STANDIN_2_CHECKS_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "scene.h"

namespace review {

// Whether the executor's lease lapsed between two sightings.
inline bool LapsedBetween(const std::vector<Seen>& rows,
                          const std::string& worker,
                          std::size_t from,
                          std::size_t to) {
  for (std::size_t i = from; i < to; ++i) {
    if (rows[i].kind == Seen::Kind::kLapsed && rows[i].worker == worker) {
      return true;
    }
  }
  return false;
}

// A start counts in any case from this long after the end was taken note of; no
// entry is disrupted in the cases that use this check.
inline constexpr std::int64_t kNotedSlackMs = 1000;

// Rule TWICE: counts the starts after an end `done` that is taken note of then
// or later, those over a second after that, and those beside another run of the
// task.
inline int CountTwice(const std::vector<Seen>& rows) {
  int broken = 0;
  const auto report = [&](const std::string& text) {
    if (++broken <= 20) {
      Note("TWICE: " + text);
    }
  };
  std::map<std::string, std::vector<std::size_t>> by_task;
  for (std::size_t i = 0; i < rows.size(); ++i) {
    if (!rows[i].task.empty()) {
      by_task[rows[i].task].push_back(i);
    }
  }
  for (const auto& [task, indices] : by_task) {
    // Ends with the sighting in which they were taken note of.
    std::vector<std::pair<std::size_t, std::size_t>> noted_ends;
    for (const std::size_t end : indices) {
      if (rows[end].kind != Seen::Kind::kEnd || rows[end].how != "done") {
        continue;
      }
      for (const std::size_t ack : indices) {
        if (rows[ack].kind == Seen::Kind::kAcknowledged &&
            rows[ack].worker == rows[end].worker &&
            rows[ack].number == rows[end].number &&
            !LapsedBetween(rows, rows[end].worker, end, ack)) {
          noted_ends.emplace_back(end, ack);
        }
      }
    }
    std::map<std::string, std::uint64_t> running;
    for (const std::size_t at : indices) {
      const Seen& row = rows[at];
      if (row.kind == Seen::Kind::kEnd) {
        running.erase(row.worker);
      }
      if (row.kind != Seen::Kind::kStart) {
        continue;
      }
      for (const auto& [end, ack] : noted_ends) {
        const bool counts = ack > at || row.at > rows[ack].at + kNotedSlackMs;
        if (end < at && counts) {
          report(task + " run " + std::to_string(row.run) + " starts on " +
                 row.worker + " at " + std::to_string(row.at) +
                 " ms, though run " + std::to_string(rows[end].run) +
                 " ended done on " + rows[end].worker + " at " +
                 std::to_string(rows[end].at) + " ms, which was taken note of");
        }
      }
      for (const auto& [worker, run] : running) {
        report(task + " run " + std::to_string(row.run) + " starts on " +
               row.worker + " while run " + std::to_string(run) + " is on " +
               worker);
      }
      running[row.worker] = row.run;
    }
  }
  return broken;
}

}  // namespace review

#endif  // REVIEW_STANDIN_2_CHECKS_H_
