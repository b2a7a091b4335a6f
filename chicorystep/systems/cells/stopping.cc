#include "chicorystep/systems/cells/stopping.h"

#include <algorithm>

#include "chicorystep/core/logging.h"

namespace chicorystep {

void BeginStopping(World& world, const Inbox& inbox, TimePoint now) {
  if (!inbox.stop || world.stopping) {
    return;
  }
  world.stopping = true;
  world.accept_until = now + world.self.announce_time;
  world.drain_until = world.accept_until + world.self.drain_time;
  world.members.next_heartbeat = now;
  Log(LogLevel::kInfo, "stopping",
      {{"requests_in_flight", world.requests.table.size()}});
}

bool IsAccepting(const World& world, TimePoint now) noexcept {
  return !world.stopping || now < world.accept_until;
}

bool IsDrained(const World& world, TimePoint now) noexcept {
  if (IsAccepting(world, now)) {
    return false;
  }
  const bool answers_pending = std::any_of(
      world.jobs.cells.begin(), world.jobs.cells.end(),
      [](const auto& entry) { return !entry.second.pending_answers.empty(); });
  return now >= world.drain_until ||
         (world.requests.table.empty() &&
          world.claims.unacknowledged_ends.empty() && !answers_pending);
}

TimePoint NextStopDue(const World& world, TimePoint now) noexcept {
  if (!world.stopping) {
    return kNever;
  }
  if (now < world.accept_until) {
    return world.accept_until;
  }
  return now < world.drain_until ? world.drain_until : kNever;
}

}  // namespace chicorystep
