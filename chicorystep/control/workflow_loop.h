#ifndef CHICORYSTEP_CONTROL_WORKFLOW_LOOP_H_
#define CHICORYSTEP_CONTROL_WORKFLOW_LOOP_H_

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <utility>

#include "chicorystep/control/mailbox.h"
#include "chicorystep/control/workflow_tick.h"

namespace chicorystep {

// Returns the time since the operating system started, including time in which
// it was suspended. All TimePoints of a workflow tick are on this clock.
[[nodiscard]] TimePoint BootTimeNow();
[[nodiscard]] UnixMillis WallClockNow();

// The control loop of the workflow scheduler. It owns the world, runs a tick
// when an event was posted or is due, and sleeps otherwise.
class WorkflowLoop {
 public:
  // `process_outbox` is called with the outbox and the world after each tick,
  // on the control thread, and must not block.
  WorkflowLoop(WorkflowWorld initial,
               std::function<void(WorkflowOutbox&&, const WorkflowWorld&)>
                   process_outbox);

  // Runs on the calling thread until `Stop`.
  void Run();
  void Stop();

  // Adds to the inbox of the next tick. Safe to call from any thread.
  template <typename Fill>
  void Post(Fill fill) {
    if (chicorystep::Post(this->mailbox, std::move(fill))) {
      asio::post(this->context, [this] { this->RunTick(); });
    }
  }

  // Calls `inspect` with the world on the control thread, between two ticks.
  void Inspect(std::function<void(const WorkflowWorld&)> inspect);

 private:
  void RunTick();
  void ScheduleNext(const WorkflowTime& time);

  WorkflowWorld world;
  std::function<void(WorkflowOutbox&&, const WorkflowWorld&)> process_outbox;
  Mailbox<WorkflowInbox> mailbox;
  asio::io_context context;
  asio::steady_timer timer;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_CONTROL_WORKFLOW_LOOP_H_
