#ifndef CHICORYSTEP_TABLES_INSTANCES_H_
#define CHICORYSTEP_TABLES_INSTANCES_H_

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "chicorystep/core/enum_names.h"
#include "chicorystep/core/ids.h"
#include "chicorystep/core/table.h"
#include "chicorystep/core/units.h"

namespace chicorystep {

enum class InstanceState : std::uint8_t { kLive, kLeaving };
template <>
inline constexpr std::array kEnumNames<InstanceState> = {
    std::string_view("live"),
    std::string_view("leaving"),
};

// An entry process in the platform's instance list.
struct ListedEntry {
  EntryId id;
  Address address;
  Zone zone;
  Region region;
  InstanceState state = InstanceState::kLive;
};

// An executor in the platform's instance list.
struct ListedExecutor {
  ExecutorId id;
  Address address;
  Zone zone;
  Region region;
  Service service;
  Slots slots;
  Connections connections;
  InstanceState state = InstanceState::kLive;
};

// A worker in the platform's instance list.
struct ListedWorker {
  WorkerId id;
  Address address;
  Zone zone;
  Rack rack;
  Accelerators accelerators;
  Millicores processors;
  Mebibytes memory;
  InstanceState state = InstanceState::kLive;
};

// One reading of the platform's instance list, which lags behind the actual
// state.
struct InstanceList {
  std::vector<ListedEntry> entries;
  std::vector<ListedExecutor> executors;
  std::vector<ListedWorker> workers;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_INSTANCES_H_
