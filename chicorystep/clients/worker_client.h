#ifndef CHICORYSTEP_CLIENTS_WORKER_CLIENT_H_
#define CHICORYSTEP_CLIENTS_WORKER_CLIENT_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <stop_token>
#include <thread>
#include <vector>

#include "chicorystep/core/units.h"
#include "chicorystep/tables/jobs.h"
#include "chicorystep/traffic/http_client.h"

namespace chicorystep {

// Sends messages to workers on its own threads and calls `on_answer` on those
// threads with the outcome of each message.
class WorkerClient {
 public:
  WorkerClient(std::int64_t threads,
               Duration timeout,
               std::function<void(WorkerAnswered)> on_answer);
  WorkerClient(const WorkerClient&) = delete;
  WorkerClient& operator=(const WorkerClient&) = delete;
  ~WorkerClient();

  void Send(SendWorkerCommands message);

 private:
  void Run(const std::stop_token& stop);
  [[nodiscard]] WorkerAnswered Exchange(const SendWorkerCommands& message);

  Duration timeout;
  std::function<void(WorkerAnswered)> on_answer;
  HttpClientPool clients;
  std::mutex mutex;
  std::condition_variable_any queued;
  std::deque<SendWorkerCommands> messages;
  std::vector<std::jthread> senders;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_CLIENTS_WORKER_CLIENT_H_
