#include "chicorystep/encoding/state_dump.h"

#include <chrono>

#include "chicorystep/encoding/config_fields.h"
#include "chicorystep/encoding/json.h"
#include "chicorystep/systems/cells/cells.h"
#include "chicorystep/systems/cells/membership.h"
#include "chicorystep/systems/cells/packing.h"

namespace chicorystep {
namespace impl {

Json DumpConfig(const Config& config) {
  Json routes = Json::array();
  for (const auto& [kind, route] : config.routes) {
    routes.push_back(JsonWriter::ToJson(route));
  }
  Json pools = Json::array();
  for (const auto& [key, pool] : config.pools) {
    pools.push_back(JsonWriter::ToJson(pool));
  }
  return {{"revision", config.revision.value},
          {"next_offset", config.next.value},
          {"snapshot_next", config.snapshot_next.value},
          {"routes", std::move(routes)},
          {"pools", std::move(pools)}};
}

Json DumpConfigSync(const ConfigSync& sync) {
  return {{"based", sync.has_base},
          {"caught_up", sync.caught_up},
          {"reads_log", sync.follows_log},
          {"log_health", EnumName(sync.log_health)},
          {"log_failing", sync.log_failing},
          {"shown_offset", sync.max_peer_offset.value},
          {"recent_records", sync.recent.size()}};
}

Json DumpMembers(const World& world, TimePoint now) {
  Json members = Json::array();
  for (const Member& member : world.members.table.rows) {
    Json row = {{"id", member.id.value},
                {"address", member.address.value},
                {"zone", member.zone.value},
                {"region", member.region.value},
                {"alive", IsAlive(member, world.self, now)},
                {"listed", member.listed},
                {"stopping", member.stopping},
                {"config_next", member.config_next.value}};
    if (member.last_seen != TimePoint::min()) {
      row["heard_ms_ago"] = WholeMillis(now - member.last_seen);
    }
    members.push_back(std::move(row));
  }
  return members;
}

Json DumpExecutors(const Requests& requests) {
  Json executors = Json::array();
  for (const Executor& executor : requests.executors.rows) {
    executors.push_back({{"id", executor.listed.id.value},
                         {"service", executor.listed.service.value},
                         {"zone", executor.listed.zone.value},
                         {"state", EnumName(executor.listed.state)},
                         {"in_flight", executor.in_flight.value},
                         {"limit", executor.limit.value},
                         {"failures", executor.failures},
                         {"ejections", executor.ejections},
                         {"slots", executor.listed.slots.value}});
  }
  return executors;
}

Json DumpJob(const Job& job) {
  Json pieces = Json::array();
  for (const Piece& piece : job.pieces) {
    pieces.push_back({{"worker", piece.worker.value},
                      {"lease", piece.lease.value},
                      {"state", EnumName(piece.state)}});
  }
  return {{"id", job.spec.id.value},
          {"workspace", job.spec.workspace.value},
          {"kind", job.spec.kind.value},
          {"priority", EnumName(job.priority)},
          {"state", EnumName(job.state)},
          {"detail", job.end_detail},
          {"guaranteed", job.guaranteed},
          {"tries", job.last_attempt.number},
          {"shape", JsonWriter::ToJson(job.spec.shape)},
          {"pieces", std::move(pieces)}};
}

Json DumpCell(const Cell& cell) {
  Json workers = Json::array();
  for (const Worker& worker : cell.workers.rows) {
    workers.push_back({{"id", worker.listed.id.value},
                       {"rack", worker.listed.rack.value},
                       {"state", EnumName(worker.listed.state)},
                       {"free_accelerators", worker.free.accelerators.value},
                       {"leases", worker.reported_leases.size()}});
  }
  Json jobs = Json::array();
  for (const Job& job : cell.jobs.rows) {
    jobs.push_back(DumpJob(job));
  }
  Json unmet = Json::array();
  for (const GuaranteeSlot& slot : cell.slots) {
    if (slot.workers.empty()) {
      unmet.push_back({{"pool", slot.pool.name.value},
                       {"workspace", slot.pool.workspace.value},
                       {"zone", slot.zone.value},
                       {"shape", JsonWriter::ToJson(slot.shape)},
                       {"reason", ExplainUnmet(cell, slot)}});
    }
  }
  return {{"cell", cell.name.value},
          {"epoch", cell.epoch.value},
          {"recovered", cell.recovered},
          {"guaranteed_shapes", cell.slots.size()},
          {"unmet_guarantees", std::move(unmet)},
          {"workers", std::move(workers)},
          {"jobs", std::move(jobs)}};
}

}  // namespace impl

std::string EncodeStateDump(const World& world, TimePoint now) {
  Json cells = Json::array();
  for (const auto& [name, cell] : world.jobs.cells) {
    cells.push_back(impl::DumpCell(cell));
  }
  const Json dump = {{"id", world.self.id.value},
                     {"incarnation", world.self.incarnation.value},
                     {"zone", world.self.zone.value},
                     {"region", world.self.region.value},
                     {"ready", world.config_ready && !world.stopping},
                     {"stopping", world.stopping},
                     {"up_ms", WholeMillis(now.time_since_epoch())},
                     {"config", impl::DumpConfig(world.config)},
                     {"config_sync", impl::DumpConfigSync(world.config_sync)},
                     {"members", impl::DumpMembers(world, now)},
                     {"executors", impl::DumpExecutors(world.requests)},
                     {"requests",
                      {{"open", world.requests.table.size()},
                       {"waiting", world.requests.due.size()}}},
                     {"claims",
                      {{"ready", world.claims.ready},
                       {"held", world.claims.table.size()},
                       {"pending", world.claims.pending.size()},
                       {"log_failing", world.claims.log_failing}}},
                     {"cells", std::move(cells)}};
  return dump.dump(2, ' ', false, Json::error_handler_t::replace);
}

}  // namespace chicorystep
