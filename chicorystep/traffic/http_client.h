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

// Open connections to HTTP servers, kept for reuse. One exchange at a time
// uses a connection.
class HttpClientPool {
 public:
  explicit HttpClientPool(Duration connect_timeout)
      : connect_timeout(connect_timeout) {}

  // A connection to `address`, an idle one if there is one. The caller has it
  // alone until it gives it back.
  [[nodiscard]] std::unique_ptr<httplib::Client> Take(const Address& address);

  // Keeps a connection whose exchange ended well; others are just dropped.
  void GiveBack(const Address& address,
                std::unique_ptr<httplib::Client> client);

 private:
  Duration connect_timeout;
  std::mutex mutex;
  std::unordered_map<Address, std::vector<std::unique_ptr<httplib::Client>>>
      idle;
};

// A client for one address with Nagle's algorithm off and keep-alive on.
[[nodiscard]] std::unique_ptr<httplib::Client> MakeHttpClient(
    const Address& address,
    Duration connect_timeout);

// Sets how long one exchange may wait for bytes.
void SetExchangeTimeout(httplib::Client& client, Duration timeout);

}  // namespace chicorystep

#endif  // CHICORYSTEP_TRAFFIC_HTTP_CLIENT_H_
