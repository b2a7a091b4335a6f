#include "chicorystep/clients/instance_list_client.h"

#include <httplib.h>

#include <string>
#include <utility>

#include "chicorystep/clients/backoff.h"
#include "chicorystep/core/logging.h"
#include "chicorystep/encoding/instance_list.h"
#include "chicorystep/traffic/http_client.h"

namespace chicorystep {

InstanceListClient::InstanceListClient(
    InstanceListOptions options,
    std::function<void(InstanceList)> changed)
    : options(std::move(options)),
      changed(std::move(changed)),
      reader([this](const std::stop_token& stop) { this->Run(stop); }) {}

void InstanceListClient::Run(const std::stop_token& stop) {
  const auto client =
      MakeHttpClient(this->options.address, this->options.timeout);
  SetExchangeTimeout(*client, this->options.timeout);
  std::string last;
  do {
    const auto response = client->Get("/v1/instances");
    if (!response || response->status != 200) {
      Log(LogLevel::kWarn, "instance_list_unavailable");
      continue;
    }
    if (response->body == last) {
      continue;
    }
    auto list = DecodeInstanceList(response->body);
    if (!list) {
      Log(LogLevel::kWarn, "instance_list_malformed",
          {{"error", list.error().detail}});
      continue;
    }
    last = response->body;
    this->changed(std::move(list.value()));
  } while (WaitUnlessStopped(stop, this->options.interval));
}

}  // namespace chicorystep
