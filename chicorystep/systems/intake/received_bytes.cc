#include "chicorystep/systems/intake/received_bytes.h"

#include <optional>
#include <tuple>

namespace chicorystep {
namespace {

// A peer with more than this part of the memory loses its own requests first.
constexpr std::int64_t kPeerShareDivisor = 2;
// The part that whole requests may hold, so that others can still be received
// and declined.
constexpr std::int64_t kServingNumerator = 3;
constexpr std::int64_t kServingDenominator = 4;

using Row = std::map<ConnectionId, ReceivingConnection>::iterator;

// Adds the row to the sums, or removes it with `sign` -1.
void Sum(ReceivedBytes& account, const ReceivingConnection& row, int sign) {
  const Bytes change(sign * row.held.value);
  account.held += change;
  if (row.stage == ConnectionStage::kServing) {
    account.serving += change;
    account.serving_count += static_cast<std::size_t>(sign);
  }
  const auto [peer, added] = account.held_by_peer.try_emplace(row.peer);
  peer->second += change;
  if (peer->second == Bytes(0)) {
    account.held_by_peer.erase(peer);
  }
}

void Change(ReceivedBytes& account,
            ReceivingConnection& row,
            ConnectionStage stage,
            Bytes held,
            TimePoint now) {
  Sum(account, row, -1);
  row.stage = stage;
  row.held = held;
  row.progressed = now;
  Sum(account, row, 1);
}

bool IsAboveShare(const ReceivedBytes& account, const Address& peer) {
  const auto found = account.held_by_peer.find(peer);
  return found != account.held_by_peer.end() &&
         found->second.value * kPeerShareDivisor > account.limits.memory.value;
}

// In which order the stages lose connections: to free memory, an idle one gives
// little.
int RankStage(ConnectionStage stage, ClosingReason reason) {
  switch (stage) {
    case ConnectionStage::kIdle:
      return reason == ClosingReason::kMemory ? 3 : 0;
    case ConnectionStage::kReceiving:
      return 1;
    default:
      return 2;
  }
}

// Returns the connection to close in favour of `spared`, or nothing if all
// others are being served or have made progress since `stalled_since`.
std::optional<ConnectionId> FindLeastActive(const ReceivedBytes& account,
                                            ConnectionId spared,
                                            ClosingReason reason,
                                            TimePoint stalled_since = kNever) {
  std::optional<ConnectionId> least;
  std::tuple<int, bool, TimePoint> least_rank;
  for (const auto& [id, row] : account.connections) {
    if (id == spared || row.stage == ConnectionStage::kServing ||
        row.progressed > stalled_since) {
      continue;
    }
    const std::tuple rank(RankStage(row.stage, reason),
                          !IsAboveShare(account, row.peer), row.progressed);
    if (!least || rank < least_rank) {
      least = id;
      least_rank = rank;
    }
  }
  return least;
}

// Closes others until `more` fits besides what is held. Returns false if it
// does not.
bool MakeRoom(ReceivedBytes& account,
              ConnectionId spared,
              Bytes more,
              Admission& admission) {
  while (account.held + more > account.limits.memory) {
    const auto least = FindLeastActive(account, spared, ClosingReason::kMemory);
    if (!least) {
      return false;
    }
    CloseConnection(account, *least, ClosingReason::kMemory);
    admission.closes.push_back(*least);
  }
  return true;
}

}  // namespace

Admission OpenConnection(ReceivedBytes& account,
                         ConnectionId id,
                         const Address& peer,
                         Bytes held,
                         TimePoint now) {
  Admission admission;
  if (std::ssize(account.connections) >= account.limits.connections.value) {
    const auto least =
        FindLeastActive(account, id, ClosingReason::kConnections);
    if (!least) {
      ++account.closed.at(
          static_cast<std::size_t>(ClosingReason::kConnections));
      return Admission{.admitted = false};
    }
    CloseConnection(account, *least, ClosingReason::kConnections);
    admission.closes.push_back(*least);
  }
  const bool fits = MakeRoom(account, id, held, admission);
  if (!fits && !account.connections.empty()) {
    ++account.closed.at(static_cast<std::size_t>(ClosingReason::kMemory));
    admission.admitted = false;
    return admission;
  }
  const auto [row, added] = account.connections.insert_or_assign(
      id, ReceivingConnection{.peer = peer, .held = held, .progressed = now});
  Sum(account, row->second, 1);
  return admission;
}

Admission HoldBytes(ReceivedBytes& account,
                    ConnectionId id,
                    ConnectionStage stage,
                    Bytes held,
                    TimePoint now) {
  const auto found = account.connections.find(id);
  if (found == account.connections.end()) {
    return Admission{.admitted = false};
  }
  ReceivingConnection& row = found->second;
  Admission admission;
  if (held > row.held || stage != row.stage) {
    const bool was_serving = row.stage == ConnectionStage::kServing;
    const std::size_t others_served =
        account.serving_count - (was_serving ? 1 : 0);
    const Bytes served =
        account.serving - (was_serving ? row.held : Bytes(0)) + held;
    if (stage == ConnectionStage::kServing && others_served > 0 &&
        served.value * kServingDenominator >
            account.limits.memory.value * kServingNumerator) {
      return Admission{.admitted = false};
    }
    const bool fits = MakeRoom(account, id, held - row.held, admission);
    if (!fits && others_served > 0) {
      admission.admitted = false;
      return admission;
    }
  }
  Change(account, row, stage, held, now);
  return admission;
}

void EnterStage(ReceivedBytes& account,
                ConnectionId id,
                ConnectionStage stage,
                TimePoint now) {
  if (const auto found = account.connections.find(id);
      found != account.connections.end()) {
    Change(account, found->second, stage, found->second.held, now);
  }
}

std::vector<ConnectionId> CloseStalled(ReceivedBytes& account,
                                       std::size_t count,
                                       TimePoint stalled_since) {
  std::vector<ConnectionId> closed;
  while (closed.size() < count) {
    const auto least = FindLeastActive(
        account, ConnectionId(), ClosingReason::kConnections, stalled_since);
    if (!least) {
      break;
    }
    CloseConnection(account, *least, ClosingReason::kConnections);
    closed.push_back(*least);
  }
  return closed;
}

void CloseConnection(ReceivedBytes& account, ConnectionId id) {
  if (const auto found = account.connections.find(id);
      found != account.connections.end()) {
    Sum(account, found->second, -1);
    account.connections.erase(found);
  }
}

void CloseConnection(ReceivedBytes& account,
                     ConnectionId id,
                     ClosingReason reason) {
  if (account.connections.contains(id)) {
    ++account.closed.at(static_cast<std::size_t>(reason));
    CloseConnection(account, id);
  }
}

}  // namespace chicorystep
