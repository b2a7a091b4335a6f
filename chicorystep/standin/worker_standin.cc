#include "chicorystep/standin/worker_standin.h"

#include <string_view>

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

void Record(WorkerStandin& standin,
            const WorkerLease& lease,
            PieceState state,
            Clock::time_point at) {
  standin.events.push_back(TaskEvent{lease.command.job, lease.command.piece,
                                     lease.command.lease, state, at});
}

// How long the task of `command` runs.
std::chrono::milliseconds RunTimeOf(std::string_view command) {
  constexpr std::string_view kPrefix = "run-ms=";
  if (!command.starts_with(kPrefix)) {
    return std::chrono::milliseconds(0);
  }
  return std::chrono::milliseconds(
      ParseCount(command.substr(kPrefix.size())).value_or(0));
}

// Ends tasks whose time is over and leases that were not renewed.
void PassTime(WorkerStandin& standin, Clock::time_point now) {
  for (auto entry = standin.leases.begin(); entry != standin.leases.end();) {
    WorkerLease& lease = entry->second;
    const bool ignores_lapse =
        standin.faults.ignore_stops && lease.state == PieceState::kRunning;
    if (lease.state == PieceState::kRunning && now >= lease.done &&
        (lease.done <= lease.lapses || ignores_lapse)) {
      lease.state = PieceState::kDone;
      Record(standin, lease, PieceState::kDone, lease.done);
    }
    if (now < lease.lapses || ignores_lapse) {
      ++entry;
      continue;
    }
    if (lease.state == PieceState::kRunning) {
      Record(standin, lease, PieceState::kStopping, lease.lapses);
    }
    entry = standin.leases.erase(entry);
  }
}

bool HasRoomFor(const WorkerStandin& standin, const WorkerCommand& command) {
  Accelerators accelerators = command.accelerators;
  Millicores processors = command.processors;
  Mebibytes memory = command.memory;
  for (const auto& [id, lease] : standin.leases) {
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
    Record(standin, lease, PieceState::kFailed, now);
    return;
  }
  lease.state = PieceState::kRunning;
  lease.done = now + RunTimeOf(lease.command.command);
  Record(standin, lease, PieceState::kRunning, now);
}

void Release(WorkerStandin& standin, const LeaseId& id) {
  const auto found = standin.leases.find(id);
  if (found == standin.leases.end()) {
    return;
  }
  if (found->second.state == PieceState::kRunning) {
    if (standin.faults.ignore_stops) {
      return;
    }
    Record(standin, found->second, PieceState::kStopping, Clock::now());
  }
  standin.leases.erase(found);
}

void CarryOut(WorkerStandin& standin,
              const WorkerCommand& command,
              Clock::time_point now,
              Clock::time_point lapses) {
  switch (command.kind) {
    case WorkerCommandKind::kReserve:
      if (!standin.leases.contains(command.lease) &&
          HasRoomFor(standin, command)) {
        standin.leases.emplace(command.lease,
                               WorkerLease{.command = command,
                                           .state = PieceState::kReserved,
                                           .lapses = lapses,
                                           .done = {}});
      }
      break;
    case WorkerCommandKind::kStart:
      Start(standin, command.lease, now);
      break;
    case WorkerCommandKind::kStop:
    case WorkerCommandKind::kRelease:
      Release(standin, command.lease);
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
  if (message.value().epoch < standin.epoch) {
    response.status = kStaleEpoch;
    return;
  }
  standin.epoch = message.value().epoch;
  const Clock::time_point now = Clock::now();
  PassTime(standin, now);
  const Clock::time_point lapses = now + message.value().lease_time;
  for (auto& [id, lease] : standin.leases) {
    lease.lapses = lapses;
  }
  for (const WorkerCommand& command : message.value().commands) {
    CarryOut(standin, command, now, lapses);
  }
  if (standin.faults.lose_answers > 0) {
    --standin.faults.lose_answers;
    LoseAnswer(response);
    return;
  }
  response.set_content(EncodeWorkerReport(MakeReport(standin)), kJsonType);
}

}  // namespace impl

std::vector<TaskEvent> CurrentEvents(WorkerStandin& standin) {
  const std::scoped_lock lock(standin.mutex);
  impl::PassTime(standin, impl::Clock::now());
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
