#ifndef CHICORYSTEP_CONTROL_MAILBOX_H_
#define CHICORYSTEP_CONTROL_MAILBOX_H_

#include <mutex>
#include <utility>

namespace chicorystep {

// Collects the messages that traffic threads post for the next tick.
template <typename Messages>
struct Mailbox {
  std::mutex mutex;
  Messages inbox;
  // Whether a tick has been requested since the inbox was last taken.
  bool tick_requested = false;
};

// Calls `fill` to add messages to the inbox. Returns true when the caller must
// request a tick, which holds for the first post after the inbox was taken.
template <typename Messages, typename Fill>
[[nodiscard]] bool Post(Mailbox<Messages>& mailbox, Fill fill) {
  const std::scoped_lock lock(mailbox.mutex);
  fill(mailbox.inbox);
  return !std::exchange(mailbox.tick_requested, true);
}

// Removes and returns all messages posted so far.
template <typename Messages>
[[nodiscard]] Messages TakeInbox(Mailbox<Messages>& mailbox) {
  const std::scoped_lock lock(mailbox.mutex);
  mailbox.tick_requested = false;
  return std::exchange(mailbox.inbox, Messages{});
}

}  // namespace chicorystep

#endif  // CHICORYSTEP_CONTROL_MAILBOX_H_
