#include "chicorystep/control/workflow_loop.h"

#include <ctime>

#include <asio/executor_work_guard.hpp>
#include <chrono>

namespace chicorystep {

TimePoint BootTimeNow() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

UnixMillis WallClockNow() {
  return UnixMillis(std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count());
}

WorkflowLoop::WorkflowLoop(
    WorkflowWorld initial,
    std::function<void(WorkflowOutbox&&, const WorkflowWorld&)> process_outbox)
    : world(std::move(initial)),
      process_outbox(std::move(process_outbox)),
      context(1),
      timer(this->context) {}

void WorkflowLoop::Run() {
  const auto guard = asio::make_work_guard(this->context);
  asio::post(this->context, [this] { this->RunTick(); });
  this->context.run();
}

void WorkflowLoop::Stop() {
  this->context.stop();
}

void WorkflowLoop::Inspect(std::function<void(const WorkflowWorld&)> inspect) {
  asio::post(this->context,
             [this, inspect = std::move(inspect)] { inspect(this->world); });
}

void WorkflowLoop::RunTick() {
  const WorkflowInbox inbox = TakeInbox(this->mailbox);
  const WorkflowTime time{.now = BootTimeNow(), .wall = WallClockNow()};
  this->process_outbox(WorkflowTick(this->world, inbox, time), this->world);
  this->ScheduleNext(time);
}

void WorkflowLoop::ScheduleNext(const WorkflowTime& time) {
  this->timer.expires_after(NextWorkflowDue(this->world, time) - time.now);
  this->timer.async_wait([this](const std::error_code& error) {
    if (!error) {
      this->RunTick();
    }
  });
}

}  // namespace chicorystep
