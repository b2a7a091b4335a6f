#ifndef CHICORYSTEP_STANDIN_LISTENER_FAULTS_H_
#define CHICORYSTEP_STANDIN_LISTENER_FAULTS_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>

#include "chicorystep/core/units.h"
#include "chicorystep/traffic/http_server.h"

namespace chicorystep {

// Faults that the listener of every stand-in supports, set by
// POST /v1/listener-faults.
struct ListenerFaults {
  // How many of the next calls are answered with 503 without any effect.
  std::int64_t refuse = 0;
  // Added before each call is handled.
  Duration delay{};
  // How many calls on a connection are answered; later ones get no answer. 0
  // means no limit.
  std::int64_t silent_after = 0;
  // Calls on connections that are open when this is set are never answered
  // again; new connections work.
  bool silence_open = false;
};

// The state of one listener with faults. The maps are keyed by the caller's
// port: `calls` counts the calls on a connection, and `silent` marks
// connections whose calls are not answered.
struct FaultyListener {
  std::mutex mutex;
  std::condition_variable stop_signal;
  ListenerFaults faults;
  std::map<std::int64_t, std::int64_t> calls;
  std::map<std::int64_t, bool> silent;
  bool stopping = false;
};

// Applies the faults to each call before the handlers of `server`, and adds
// POST /v1/listener-faults.
void AddListenerFaults(httplib::Server& server, FaultyListener& listener);

// Releases the calls that are held without an answer, so that the listener can
// stop.
void ReleaseSilentCalls(FaultyListener& listener);

}  // namespace chicorystep

#endif  // CHICORYSTEP_STANDIN_LISTENER_FAULTS_H_
