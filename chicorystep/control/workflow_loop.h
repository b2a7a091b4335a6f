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

// Returns how long the control thread rests after a tick that took `tick_time`.
// It uses at most a third of the processor, so that the traffic thread, which
// sends the heartbeats, runs even when events arrive faster than ticks end.
[[nodiscard]] Duration RestAfterTick(Duration tick_time, bool holds_role);

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
  void ScheduleNext(Duration delay);

  WorkflowWorld world;
  std::function<void(WorkflowOutbox&&, const WorkflowWorld&)> process_outbox;
  Mailbox<WorkflowInbox> mailbox;
  asio::io_context context;
  asio::steady_timer timer;
  TimePoint next_tick{};
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_CONTROL_WORKFLOW_LOOP_H_
