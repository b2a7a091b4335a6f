#ifndef CHICORYSTEP_CONTROL_MAILBOX_H_
#define CHICORYSTEP_CONTROL_MAILBOX_H_

#include <mutex>
#include <utility>

namespace chicorystep {

// Collects what the traffic threads post for the next tick.
template <typename Messages>
struct Mailbox {
  std::mutex mutex;
  Messages inbox;
  // Whether a tick has been asked for since the inbox was last taken.
  bool tick_requested = false;
};

// Lets `fill` add to the inbox; true when a tick must now be requested.
template <typename Messages, typename Fill>
[[nodiscard]] bool Post(Mailbox<Messages>& mailbox, Fill fill) {
  const std::scoped_lock lock(mailbox.mutex);
  fill(mailbox.inbox);
  return !std::exchange(mailbox.tick_requested, true);
}

// Takes everything posted so far.
template <typename Messages>
[[nodiscard]] Messages TakeInbox(Mailbox<Messages>& mailbox) {
  const std::scoped_lock lock(mailbox.mutex);
  mailbox.tick_requested = false;
  return std::exchange(mailbox.inbox, Messages{});
}

}  // namespace chicorystep

#endif  // CHICORYSTEP_CONTROL_MAILBOX_H_
