#include "chicorystep/standin/worker_standin.h"

#include <string_view>
#include <utility>

#include "chicorystep/encoding/json.h"
#include "chicorystep/settings/values.h"
#include "chicorystep/standin/lost_answer.h"
#include "chicorystep/traffic/headers.h"

namespace chicorystep {

template <typename Archive>
void VisitFields(Archive& archive, WorkerFaults& faults) {
  archive("fail_starts", faults.fail_starts);
  archive("lose_answers", faults.lose_answers);
  archive("ignore_stops", faults.ignore_stops);
}

namespace impl {

using Clock = std::chrono::steady_clock;

inline constexpr int kBadMessage = 400;
inline constexpr int kStaleEpoch = 409;

void RecordEvent(WorkerStandin& standin,
                 const WorkerLease& lease,
                 PieceState state,
                 Clock::time_point at) {
  standin.events.push_back(TaskEvent{lease.command.job, lease.command.piece,
                                     lease.command.lease, state, at});
}

// The run time given by a task's command; 0 ms when it gives none.
std::chrono::milliseconds ParseRunTime(std::string_view command) {
  constexpr std::string_view kPrefix = "run-ms=";
  if (!command.starts_with(kPrefix)) {
    return std::chrono::milliseconds(0);
  }
  return std::chrono::milliseconds(
      ParseCount(command.substr(kPrefix.size())).value_or(0));
}

bool HasFreeCapacity(const WorkerStandin& standin,
                     const WorkerCommand& command) {
  Accelerators accelerators = command.accelerators;
  Millicores processors = command.processors;
  Mebibytes memory = command.memory;
  for (const auto& [id, lease] : standin.leases) {
    // A task that has ended uses no capacity.
    if (lease.state == PieceState::kDone ||
        lease.state == PieceState::kFailed) {
      continue;
    }
    accelerators += lease.command.accelerators;
    processors += lease.command.processors;
    memory += lease.command.memory;
  }
  return accelerators <= standin.accelerators &&
         processors <= standin.processors && memory <= standin.memory;
}

void Start(WorkerStandin& standin, const LeaseId& id, Clock::time_point now) {
  const auto found = standin.leases.find(id);
  if (found == standin.leases.end() ||
      found->second.state != PieceState::kReserved) {
    return;
  }
  WorkerLease& lease = found->second;
  if (standin.faults.fail_starts) {
    lease.state = PieceState::kFailed;
    RecordEvent(standin, lease, PieceState::kFailed, now);
    return;
  }
  lease.state = PieceState::kRunning;
  lease.ends_at = now + ParseRunTime(lease.command.command);
  RecordEvent(standin, lease, PieceState::kRunning, now);
}

void Checkpoint(WorkerStandin& standin, const LeaseId& id) {
  const auto found = standin.leases.find(id);
  if (found != standin.leases.end() &&
      found->second.state == PieceState::kRunning) {
    found->second.state = PieceState::kCheckpointed;
  }
}

void Release(WorkerStandin& standin, const LeaseId& id, Clock::time_point now) {
  const auto found = standin.leases.find(id);
  if (found == standin.leases.end()) {
    return;
  }
  if (found->second.state == PieceState::kRunning ||
      found->second.state == PieceState::kCheckpointed) {
    if (standin.faults.ignore_stops) {
      return;
    }
    RecordEvent(standin, found->second, PieceState::kStopping, now);
  }
  standin.leases.erase(found);
}

void ExecuteCommand(WorkerStandin& standin,
                    const WorkerCommand& command,
                    Clock::time_point now,
                    Clock::time_point expiry) {
  switch (command.kind) {
    case WorkerCommandKind::kReserve:
      if (!standin.leases.contains(command.lease) &&
          HasFreeCapacity(standin, command)) {
        standin.leases.emplace(command.lease,
                               WorkerLease{.command = command,
                                           .state = PieceState::kReserved,
                                           .expiry = expiry,
                                           .ends_at = {}});
      }
      break;
    case WorkerCommandKind::kStart:
      Start(standin, command.lease, now);
      break;
    case WorkerCommandKind::kCheckpoint:
      Checkpoint(standin, command.lease);
      break;
    case WorkerCommandKind::kStop:
    case WorkerCommandKind::kRelease:
      Release(standin, command.lease, now);
      break;
  }
}

WorkerReport MakeReport(const WorkerStandin& standin) {
  WorkerReport report;
  for (const auto& [id, lease] : standin.leases) {
    report.leases.push_back(
        LeaseReport{id, lease.command.job, lease.command.piece, lease.state});
  }
  return report;
}

void HandleCommands(WorkerStandin& standin,
                    const httplib::Request& request,
                    httplib::Response& response) {
  const auto message = DecodeWorkerMessage(request.body);
  if (!message) {
    response.status = kBadMessage;
    response.set_content(message.error().detail, "text/plain");
    return;
  }
  const std::scoped_lock lock(standin.mutex);
  const auto report =
      ApplyWorkerMessage(standin, message.value(), Clock::now());
  if (!report) {
    response.status = kStaleEpoch;
    return;
  }
  if (standin.faults.lose_answers > 0) {
    --standin.faults.lose_answers;
    LoseAnswer(response);
    return;
  }
  response.set_content(EncodeWorkerReport(*report), kJsonType);
}

}  // namespace impl

WorkerStandin::WorkerStandin(const WorkerStandin& other)
    : accelerators(other.accelerators),
      processors(other.processors),
      memory(other.memory),
      faults(other.faults),
      epoch(other.epoch),
      sequence(other.sequence),
      leases(other.leases),
      events(other.events) {}

void AdvanceTime(WorkerStandin& standin,
                 std::chrono::steady_clock::time_point now) {
  for (auto entry = standin.leases.begin(); entry != standin.leases.end();) {
    WorkerLease& lease = entry->second;
    const bool ignores_expiry =
        standin.faults.ignore_stops && lease.state == PieceState::kRunning;
    if (lease.state == PieceState::kRunning && now >= lease.ends_at &&
        (lease.ends_at <= lease.expiry || ignores_expiry)) {
      lease.state = PieceState::kDone;
      impl::RecordEvent(standin, lease, PieceState::kDone, lease.ends_at);
    }
    if (now < lease.expiry || ignores_expiry) {
      ++entry;
      continue;
    }
    if (lease.state == PieceState::kRunning) {
      impl::RecordEvent(standin, lease, PieceState::kStopping, lease.expiry);
    }
    entry = standin.leases.erase(entry);
  }
}

std::optional<WorkerReport> ApplyWorkerMessage(
    WorkerStandin& standin,
    const WorkerMessage& message,
    std::chrono::steady_clock::time_point now) {
  if (std::pair(message.epoch, message.sequence) <=
      std::pair(standin.epoch, standin.sequence)) {
    return std::nullopt;
  }
  standin.epoch = message.epoch;
  standin.sequence = message.sequence;
  AdvanceTime(standin, now);
  const auto expiry = now + message.lease_time;
  if (message.renew) {
    for (auto& [id, lease] : standin.leases) {
      lease.expiry = expiry;
    }
  }
  for (const WorkerCommand& command : message.commands) {
    impl::ExecuteCommand(standin, command, now, expiry);
  }
  return impl::MakeReport(standin);
}

std::vector<TaskEvent> CurrentEvents(WorkerStandin& standin) {
  const std::scoped_lock lock(standin.mutex);
  AdvanceTime(standin, impl::Clock::now());
  return standin.events;
}

void AddWorkerRoutes(httplib::Server& server, WorkerStandin& standin) {
  using httplib::Request;
  using httplib::Response;
  server.Post("/v1/commands",
              [&standin](const Request& request, Response& response) {
                impl::HandleCommands(standin, request, response);
              });
  server.Post("/v1/faults",
              [&standin](const Request& request, Response& response) {
                const auto faults = DecodeJson<WorkerFaults>(request.body);
                if (!faults) {
                  response.status = impl::kBadMessage;
                  return;
                }
                const std::scoped_lock lock(standin.mutex);
                standin.faults = faults.value();
              });
}

}  // namespace chicorystep
