#include "chicorystep/systems/requests/request_end.h"

#include <utility>

#include "chicorystep/systems/cells/claims.h"
#include "chicorystep/systems/requests/queues.h"

namespace chicorystep {

void EndRequest(World& world,
                ExchangeId exchange,
                std::optional<Refusal> refusal,
                Outbox& outbox) {
  const Request* request = world.requests.table.find(exchange);
  if (request == nullptr) {
    return;
  }
  RemoveWaiting(world, *request);
  if (request->claim) {
    AppendClaimEnd(world, ClaimKey{request->workspace, request->id},
                   *request->claim,
                   refusal ? refusal->execution : Execution::kRan, outbox);
  }
  outbox.ended_exchanges.push_back(EndExchange{exchange, std::move(refusal)});
  world.requests.table.erase(exchange);
}

}  // namespace chicorystep
