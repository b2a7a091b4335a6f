#include "chicorystep/control/loop.h"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <utility>

#include "chicorystep/systems/cells/stopping.h"

namespace chicorystep {

ControlLoop::ControlLoop(World initial,
                         std::function<void(Outbox&&)> process_outbox,
                         std::function<void()> on_drained)
    : world(std::move(initial)),
      process_outbox(std::move(process_outbox)),
      on_drained(std::move(on_drained)),
      started(std::chrono::steady_clock::now()),
      view(std::make_shared<const View>()),
      context(1),
      timer(this->context) {}

void ControlLoop::Run() {
  const auto guard = asio::make_work_guard(this->context);
  this->RequestTick();
  this->context.run();
}

void ControlLoop::Stop() {
  this->context.stop();
}

void ControlLoop::Inspect(
    std::function<void(const World&, TimePoint)> inspect) {
  asio::post(this->context, [this, inspect = std::move(inspect)] {
    inspect(this->world, this->Now());
  });
}

std::shared_ptr<const View> ControlLoop::CurrentView() const {
  return this->view.load();
}

void ControlLoop::RequestTick() {
  asio::post(this->context, [this] { this->RunTick(); });
}

void ControlLoop::RunTick() {
  const Inbox inbox = TakeInbox(this->mailbox);
  this->process_outbox(Tick(this->world, inbox, this->Now()));
  if (View next = MakeView(this->world); next != *this->view.load()) {
    this->view.store(std::make_shared<const View>(next));
  }
  if (!this->drained_notified && IsDrained(this->world, this->Now())) {
    this->drained_notified = true;
    this->on_drained();
  }
  this->ScheduleNext();
}

void ControlLoop::ScheduleNext() {
  const TimePoint due = NextDue(this->world, this->Now());
  if (due == kNever) {
    this->timer.cancel();
    return;
  }
  this->timer.expires_at(this->started + due.time_since_epoch());
  this->timer.async_wait([this](const std::error_code& error) {
    if (!error) {
      this->RunTick();
    }
  });
}

TimePoint ControlLoop::Now() const {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now() - this->started));
}

}  // namespace chicorystep
