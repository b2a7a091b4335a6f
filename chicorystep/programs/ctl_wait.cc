// Waits until an accepted edit is in force, according to the member list of one
// entry process.

#include <fmt/format.h>
#include <httplib.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "chicorystep/encoding/json.h"
#include "chicorystep/programs/ctl_commands.h"
#include "chicorystep/traffic/http_client.h"

namespace chicorystep {
namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(100);
constexpr auto kQueryTimeout = std::chrono::seconds(2);

// The parts of a state dump that show up to which offset each process has
// applied the configuration stream.
struct ConfigProgress {
  Offset next;
};
struct MemberProgress {
  EntryId id;
  Zone zone;
  bool alive = false;
  bool listed = false;
  Offset next;
};
struct Progress {
  EntryId id;
  Zone zone;
  ConfigProgress config;
  std::vector<MemberProgress> members;
};

template <typename Archive>
void VisitFields(Archive& archive, ConfigProgress& progress) {
  archive.Required("next_offset", progress.next);
}

template <typename Archive>
void VisitFields(Archive& archive, MemberProgress& progress) {
  archive.Required("id", progress.id);
  archive.Required("zone", progress.zone);
  archive.Required("alive", progress.alive);
  archive.Required("listed", progress.listed);
  archive.Required("config_next", progress.next);
}

template <typename Archive>
void VisitFields(Archive& archive, Progress& progress) {
  archive.Required("id", progress.id);
  archive.Required("zone", progress.zone);
  archive.Required("config", progress.config);
  archive.Required("members", progress.members);
}

// Queries an entry process for the progress of all processes that are listed or
// alive, itself included. Returns nothing when it does not answer.
std::optional<std::vector<MemberProgress>> QueryProgress(const Address& admin) {
  const auto client = MakeHttpClient(admin, kQueryTimeout);
  SetExchangeTimeout(*client, kQueryTimeout);
  const auto response = client->Get("/v1/state");
  if (!response || response->status != 200) {
    return std::nullopt;
  }
  auto progress = DecodeJson<Progress>(response->body);
  if (!progress) {
    return std::nullopt;
  }
  std::vector<MemberProgress> members = progress.value().members;
  std::erase_if(members, [](const MemberProgress& member) {
    return !member.alive && !member.listed;
  });
  members.push_back({progress.value().id, progress.value().zone, true, true,
                     progress.value().config.next});
  return members;
}

// Whether a live process has applied the edit with this revision. A revision is
// the offset of its edit plus 1, so it can be compared with the next offset.
bool HasConfirmed(const MemberProgress& member, Revision revision) {
  return member.alive && member.next.value >= revision.value;
}

void PrintProgress(const std::vector<MemberProgress>& members,
                   Revision revision) {
  for (const MemberProgress& member : members) {
    fmt::print("{} {} zone={}\n",
               HasConfirmed(member, revision) ? "in_force" : "not_confirmed",
               member.id.value, member.zone.value);
  }
}

}  // namespace

int WaitUntilInForce(const CtlArguments& arguments, Revision revision) {
  const Address admin(arguments.options["admin"].as<std::string>());
  const auto end = std::chrono::steady_clock::now() +
                   std::chrono::milliseconds(
                       arguments.options["wait-ms"].as<std::int64_t>());
  while (true) {
    const auto members = QueryProgress(admin);
    const bool everywhere =
        members && std::all_of(members->begin(), members->end(),
                               [&](const MemberProgress& member) {
                                 return HasConfirmed(member, revision);
                               });
    if (everywhere) {
      PrintProgress(*members, revision);
      return kCtlDone;
    }
    if (std::chrono::steady_clock::now() >= end) {
      if (!members) {
        fmt::print(stderr,
                   "chicorystepctl: no answer from {}; the edit is accepted, "
                   "but the processes where it is in force are unknown\n",
                   admin.value);
        return kCtlUnreachable;
      }
      PrintProgress(*members, revision);
      return kCtlFailed;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace chicorystep
