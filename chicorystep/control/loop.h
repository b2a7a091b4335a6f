#ifndef CHICORYSTEP_CONTROL_LOOP_H_
#define CHICORYSTEP_CONTROL_LOOP_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>

#include "chicorystep/control/mailbox.h"
#include "chicorystep/control/tick.h"
#include "chicorystep/control/view.h"
#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// The loop of the control thread. Owns the world, runs a tick when a message
// has been posted or a deadline is due, and sleeps otherwise.
class ControlLoop {
 public:
  // `process_outbox` receives the outbox of each tick on the control thread and
  // must not block. `on_drained` is called once, when a graceful shutdown has
  // finished.
  ControlLoop(World initial,
              std::function<void(Outbox&&)> process_outbox,
              std::function<void()> on_drained);

  // Runs on the calling thread until `Stop` is called.
  void Run();
  void Stop();

  // Calls `fill` to add messages to the next tick's inbox. Thread-safe.
  template <typename Fill>
  void Post(Fill fill) {
    if (chicorystep::Post(this->mailbox, std::move(fill))) {
      this->RequestTick();
    }
  }

  // Lets `inspect` read the world on the control thread between two ticks.
  void Inspect(std::function<void(const World&, TimePoint)> inspect);

  // Returns the view as of the last tick. Thread-safe.
  [[nodiscard]] std::shared_ptr<const View> CurrentView() const;

  // Returns the I/O context of the loop, on which signal handlers run.
  [[nodiscard]] asio::io_context& Context() noexcept { return this->context; }

 private:
  void RequestTick();
  void RunTick();
  void ScheduleNext();
  [[nodiscard]] TimePoint Now() const;

  World world;
  std::function<void(Outbox&&)> process_outbox;
  std::function<void()> on_drained;
  std::chrono::steady_clock::time_point started;
  Mailbox<Inbox> mailbox;
  std::atomic<std::shared_ptr<const View>> view;
  asio::io_context context;
  asio::steady_timer timer;
  bool drained_notified = false;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_CONTROL_LOOP_H_
