#ifndef CHICORYSTEP_CONTROL_VIEW_H_
#define CHICORYSTEP_CONTROL_VIEW_H_

#include "chicorystep/tables/world.h"

namespace chicorystep {

// The part of the control state that traffic threads may read: an immutable
// copy that is replaced as a whole on every change.
struct View {
  // Whether the load balancer may send callers to this process.
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
