#ifndef TESTS_SUPPORT_READY_CONFIG_H_
#define TESTS_SUPPORT_READY_CONFIG_H_

#include <chrono>

#include "chicorystep/core/units.h"
#include "chicorystep/tables/world.h"

namespace chicorystep::testing {

// Makes the tables of `world` count as read to their end, so that its systems
// act on them.
inline void MakeConfigReady(World& world) {
  world.config_sync.based = true;
  world.config_sync.caught_up = true;
  world.config_ready = true;
  // Started before the first tick, so that no tick follows the stream anew.
  world.config_sync.started = TimePoint(std::chrono::seconds(-1));
}

}  // namespace chicorystep::testing

#endif  // TESTS_SUPPORT_READY_CONFIG_H_
