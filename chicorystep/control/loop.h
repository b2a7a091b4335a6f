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

// The control thread's loop: it owns the world, runs a tick when something was
// posted or is due, and sleeps otherwise.
class ControlLoop {
 public:
  // `carry_out` gets the outbox of each tick, on the control thread, and must
  // not block. `drained` is called once, when a graceful shutdown has ended.
  ControlLoop(World initial,
              std::function<void(Outbox&&)> carry_out,
              std::function<void()> drained);

  // Runs on the calling thread until `Stop`.
  void Run();
  void Stop();

  // Adds to the next tick's inbox; safe from any thread.
  template <typename Fill>
  void Post(Fill fill) {
    if (chicorystep::Post(this->mailbox, std::move(fill))) {
      this->RequestTick();
    }
  }

  // Lets `inspect` read the world on the control thread between two ticks.
  void Inspect(std::function<void(const World&, TimePoint)> inspect);

  // The view as of the last tick; safe from any thread.
  [[nodiscard]] std::shared_ptr<const View> CurrentView() const;

  // The loop's context, for signal handlers.
  [[nodiscard]] asio::io_context& Context() noexcept { return this->context; }

 private:
  void RequestTick();
  void RunTick();
  void ScheduleNext();
  [[nodiscard]] TimePoint Now() const;

  World world;
  std::function<void(Outbox&&)> carry_out;
  std::function<void()> drained;
  std::chrono::steady_clock::time_point started;
  Mailbox<Inbox> mailbox;
  std::atomic<std::shared_ptr<const View>> view;
  asio::io_context context;
  asio::steady_timer timer;
  bool drained_told = false;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_CONTROL_LOOP_H_
