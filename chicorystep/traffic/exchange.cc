#include "chicorystep/traffic/exchange.h"

#include <utility>

namespace chicorystep {

ExchangeId ExchangeDesk::Open() {
  return this->Open(nullptr);
}

ExchangeId ExchangeDesk::Open(std::function<void(Instruction)> handler) {
  const ExchangeId id(++this->last_id);
  auto slot = std::make_shared<Slot>();
  slot->handler = std::move(handler);
  const std::scoped_lock lock(this->mutex);
  this->slots.emplace(id, std::move(slot));
  return id;
}

void ExchangeDesk::Close(ExchangeId exchange) {
  const std::scoped_lock lock(this->mutex);
  this->slots.erase(exchange);
}

std::shared_ptr<ExchangeDesk::Slot> ExchangeDesk::Find(ExchangeId exchange) {
  const std::scoped_lock lock(this->mutex);
  const auto found = this->slots.find(exchange);
  return found == this->slots.end() ? nullptr : found->second;
}

void ExchangeDesk::Deliver(ExchangeId exchange, Instruction instruction) {
  const auto slot = this->Find(exchange);
  if (slot == nullptr) {
    return;
  }
  if (slot->handler) {
    slot->handler(std::move(instruction));
    return;
  }
  {
    const std::scoped_lock lock(slot->mutex);
    slot->instructions.push_back(std::move(instruction));
  }
  slot->ready.notify_one();
}

std::optional<Instruction> ExchangeDesk::Await(ExchangeId exchange,
                                               Duration timeout) {
  const auto slot = this->Find(exchange);
  if (slot == nullptr) {
    return std::nullopt;
  }
  std::unique_lock lock(slot->mutex);
  if (!slot->ready.wait_for(lock, timeout,
                            [&] { return !slot->instructions.empty(); })) {
    return std::nullopt;
  }
  Instruction next = std::move(slot->instructions.front());
  slot->instructions.pop_front();
  return next;
}

}  // namespace chicorystep
