#include "chicorystep/traffic/exchange.h"

#include <utility>

namespace chicorystep {

ExchangeId ExchangeDispatcher::Open() {
  return this->Open(nullptr);
}

ExchangeId ExchangeDispatcher::Open(std::function<void(Instruction)> handler) {
  const ExchangeId id(++this->last_id);
  auto queue = std::make_shared<InstructionQueue>();
  queue->handler = std::move(handler);
  const std::scoped_lock lock(this->mutex);
  this->queues.emplace(id, std::move(queue));
  return id;
}

void ExchangeDispatcher::Close(ExchangeId exchange) {
  const std::scoped_lock lock(this->mutex);
  this->queues.erase(exchange);
}

std::shared_ptr<ExchangeDispatcher::InstructionQueue> ExchangeDispatcher::Find(
    ExchangeId exchange) {
  const std::scoped_lock lock(this->mutex);
  const auto found = this->queues.find(exchange);
  return found == this->queues.end() ? nullptr : found->second;
}

void ExchangeDispatcher::Deliver(ExchangeId exchange, Instruction instruction) {
  const auto queue = this->Find(exchange);
  if (queue == nullptr) {
    return;
  }
  if (queue->handler) {
    queue->handler(std::move(instruction));
    return;
  }
  {
    const std::scoped_lock lock(queue->mutex);
    queue->instructions.push_back(std::move(instruction));
  }
  queue->ready.notify_one();
}

std::optional<Instruction> ExchangeDispatcher::Await(ExchangeId exchange,
                                                     Duration timeout) {
  const auto queue = this->Find(exchange);
  if (queue == nullptr) {
    return std::nullopt;
  }
  std::unique_lock lock(queue->mutex);
  if (!queue->ready.wait_for(lock, timeout,
                             [&] { return !queue->instructions.empty(); })) {
    return std::nullopt;
  }
  Instruction next = std::move(queue->instructions.front());
  queue->instructions.pop_front();
  return next;
}

}  // namespace chicorystep
