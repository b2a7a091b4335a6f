#ifndef TESTS_SUPPORT_READY_CONFIG_H_
#define TESTS_SUPPORT_READY_CONFIG_H_

#include <chrono>

#include "chicorystep/core/units.h"
#include "chicorystep/tables/world.h"

namespace chicorystep::testing {

// Marks the configuration of `world` as read to the end of its stream, so that
// the systems use it.
inline void MakeConfigReady(World& world) {
  world.config_sync.has_base = true;
  world.config_sync.caught_up = true;
  world.config_ready = true;
  // Puts the start of the grace period before the first tick, so that no tick
  // restarts following the stream.
  world.config_sync.grace_start = TimePoint(std::chrono::seconds(-1));
}

}  // namespace chicorystep::testing

#endif  // TESTS_SUPPORT_READY_CONFIG_H_
