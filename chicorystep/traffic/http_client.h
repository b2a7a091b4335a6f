#ifndef CHICORYSTEP_TRAFFIC_HTTP_CLIENT_H_
#define CHICORYSTEP_TRAFFIC_HTTP_CLIENT_H_

#include <httplib.h>

#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "chicorystep/core/ids.h"
#include "chicorystep/core/units.h"

namespace chicorystep {

// A thread-safe pool of HTTP connections by address. A connection serves one
// exchange at a time.
class HttpClientPool {
 public:
  explicit HttpClientPool(Duration connect_timeout)
      : connect_timeout(connect_timeout) {}

  // Returns an idle connection to `address`, or a new one when none is idle.
  // The caller owns it until it releases it to the pool.
  [[nodiscard]] std::unique_ptr<httplib::Client> Acquire(
      const Address& address);

  // Returns a connection to the pool for reuse. Call this only when its
  // exchange succeeded; destroy the connection otherwise.
  void Release(const Address& address, std::unique_ptr<httplib::Client> client);

 private:
  Duration connect_timeout;
  std::mutex mutex;
  std::unordered_map<Address, std::vector<std::unique_ptr<httplib::Client>>>
      idle;
};

// Creates a client for one address with Nagle's algorithm off and keep-alive
// on.
[[nodiscard]] std::unique_ptr<httplib::Client> MakeHttpClient(
    const Address& address,
    Duration connect_timeout);

// Sets the time-out of each read and write of an exchange; at least 1 ms.
void SetExchangeTimeout(httplib::Client& client, Duration timeout);

}  // namespace chicorystep

#endif  // CHICORYSTEP_TRAFFIC_HTTP_CLIENT_H_
