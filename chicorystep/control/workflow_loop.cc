#include "chicorystep/control/workflow_loop.h"

#include <ctime>

#include <algorithm>
#include <asio/executor_work_guard.hpp>
#include <chrono>
#include <exception>
#include <utility>

#include "chicorystep/core/logging.h"

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

Duration RestAfterTick(Duration tick_time, bool holds_role) {
  // The holder gets many small events in a burst, so it lets them gather.
  constexpr Duration kMinHolderRest = std::chrono::milliseconds(2);
  constexpr Duration kMaxRest = std::chrono::milliseconds(20);
  return std::clamp(tick_time * 2, holds_role ? kMinHolderRest : Duration(),
                    kMaxRest);
}

void WorkflowLoop::RunTick() {
  const WorkflowTime time{.now = BootTimeNow(), .wall = WallClockNow()};
  if (time.now < this->next_tick) {
    this->ScheduleNext(this->next_tick - time.now);
    return;
  }
  const WorkflowInbox inbox = TakeInbox(this->mailbox);
  WorkflowOutbox outbox;
  try {
    outbox = WorkflowTick(this->world, inbox, time);
  } catch (const std::exception& error) {
    Log(LogLevel::kError, "tick_failed", {{"error", error.what()}});
    RecoverFromFailedTick(this->world, inbox, time.now);
  }
  this->process_outbox(std::move(outbox), this->world);
  const Duration tick_time = BootTimeNow() - time.now;
  const Duration rest = RestAfterTick(
      tick_time, this->world.holding.state != HoldingState::kFollowing);
  this->next_tick = time.now + tick_time + rest;
  this->ScheduleNext(std::max(
      rest, NextWorkflowDue(this->world, time) - time.now - tick_time));
}

void WorkflowLoop::ScheduleNext(Duration delay) {
  this->timer.expires_after(delay);
  this->timer.async_wait([this](const std::error_code& error) {
    if (!error) {
      this->RunTick();
    }
  });
}

}  // namespace chicorystep
