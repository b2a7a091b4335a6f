#ifndef CHICORYSTEP_CONTROL_VIEW_H_
#define CHICORYSTEP_CONTROL_VIEW_H_

#include "chicorystep/tables/world.h"

namespace chicorystep {

// What the traffic threads may know of the control state: an immutable copy
// that each change replaces whole.
struct View {
  // Whether the balancer may send callers here.
  bool ready = false;
  bool stopping = false;
  Revision config_revision;

  friend bool operator==(const View&, const View&) = default;
};

[[nodiscard]] inline View MakeView(const World& world) {
  return View{.ready = world.config_ready && !world.stopping,
              .stopping = world.stopping,
              .config_revision = world.config.revision};
}

}  // namespace chicorystep

#endif  // CHICORYSTEP_CONTROL_VIEW_H_
