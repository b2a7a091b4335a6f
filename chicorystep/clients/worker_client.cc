#include "chicorystep/clients/worker_client.h"

#include <utility>

#include "chicorystep/core/logging.h"
#include "chicorystep/encoding/worker_messages.h"
#include "chicorystep/traffic/headers.h"

namespace chicorystep {
namespace impl {

// HTTP status by which a worker rejects a message because it has accepted a
// higher epoch.
inline constexpr int kHttpConflict = 409;

}  // namespace impl

WorkerClient::WorkerClient(std::int64_t threads,
                           Duration timeout,
                           std::function<void(WorkerAnswered)> on_answer)
    : timeout(timeout), on_answer(std::move(on_answer)), clients(timeout) {
  for (std::int64_t i = 0; i < threads; ++i) {
    this->senders.emplace_back(
        [this](const std::stop_token& stop) { this->Run(stop); });
  }
}

WorkerClient::~WorkerClient() {
  for (std::jthread& sender : this->senders) {
    sender.request_stop();
  }
  this->senders.clear();
}

void WorkerClient::Send(SendWorkerCommands message) {
  {
    const std::scoped_lock lock(this->mutex);
    this->messages.push_back(std::move(message));
  }
  this->queued.notify_one();
}

void WorkerClient::Run(const std::stop_token& stop) {
  while (true) {
    std::unique_lock lock(this->mutex);
    if (!this->queued.wait(lock, stop,
                           [this] { return !this->messages.empty(); })) {
      return;
    }
    const SendWorkerCommands message = std::move(this->messages.front());
    this->messages.pop_front();
    lock.unlock();
    this->on_answer(this->Exchange(message));
  }
}

WorkerAnswered WorkerClient::Exchange(const SendWorkerCommands& message) {
  WorkerAnswered answer{.worker = message.worker,
                        .cell = message.cell,
                        .epoch = message.epoch,
                        .sequence = message.sequence};
  auto client = this->clients.Acquire(message.address);
  SetExchangeTimeout(*client, this->timeout);
  const auto response =
      client->Post("/v1/commands",
                   EncodeWorkerMessage(WorkerMessage{
                       message.holder, message.epoch, message.sequence,
                       message.renew, message.lease_time, message.commands}),
                   kJsonType);
  if (!response) {
    return answer;
  }
  if (response->status == impl::kHttpConflict) {
    answer.stale_epoch = true;
  } else if (auto report = DecodeWorkerReport(response->body);
             response->status == 200 && report) {
    answer.answered = true;
    answer.leases = std::move(report.value().leases);
  } else {
    Log(LogLevel::kWarn, "worker_answer_malformed",
        {{"worker", message.worker.value}, {"status", response->status}});
  }
  this->clients.Release(message.address, std::move(client));
  return answer;
}

}  // namespace chicorystep
