// Prints which entry process should hold each cell, by a direct call of the
// systems without threads or sockets.
#include <fmt/format.h>

#include <string>

#include "chicorystep/chicorystep.h"

int main() {
  using namespace chicorystep;
  World world;
  world.self.id = EntryId("entry-1");
  world.self.member_timeout = std::chrono::seconds(2);
  const TimePoint now(std::chrono::seconds(1));
  for (const std::string id : {"entry-2", "entry-3"}) {
    world.members.table.insert(EntryId(id),
                               Member{.id = EntryId(id), .last_seen = now});
  }
  for (const std::string cell : {"north", "south", "all"}) {
    fmt::print("{}: {}\n", cell,
               PreferredHolder(world, CellName(cell), now).value);
  }
}
