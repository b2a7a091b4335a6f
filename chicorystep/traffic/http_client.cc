#include "chicorystep/traffic/http_client.h"

#include <algorithm>
#include <string>
#include <utility>

#include "chicorystep/settings/values.h"

namespace chicorystep {

std::unique_ptr<httplib::Client> HttpClientPool::Acquire(
    const Address& address) {
  {
    const std::scoped_lock lock(this->mutex);
    if (auto& clients = this->idle[address]; !clients.empty()) {
      auto client = std::move(clients.back());
      clients.pop_back();
      return client;
    }
  }
  return MakeHttpClient(address, this->connect_timeout);
}

void HttpClientPool::Release(const Address& address,
                             std::unique_ptr<httplib::Client> client) {
  const std::scoped_lock lock(this->mutex);
  this->idle[address].push_back(std::move(client));
}

std::unique_ptr<httplib::Client> MakeHttpClient(const Address& address,
                                                Duration connect_timeout) {
  const HostPort parts = SplitAddress(address).value_or(HostPort{});
  auto client =
      std::make_unique<httplib::Client>(std::string(parts.host), parts.port);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  client->set_connection_timeout(connect_timeout);
  return client;
}

void SetExchangeTimeout(httplib::Client& client, Duration timeout) {
  const Duration bounded = std::max(timeout, Duration(1000));
  client.set_read_timeout(bounded);
  client.set_write_timeout(bounded);
}

}  // namespace chicorystep
