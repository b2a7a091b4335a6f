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
    std::function<void(InstanceList)> on_change)
    : options(std::move(options)),
      on_change(std::move(on_change)),
      reader([this](const std::stop_token& stop) { this->Run(stop); }) {}

void InstanceListClient::Run(const std::stop_token& stop) {
  const auto client =
      MakeHttpClient(this->options.address, this->options.timeout);
  SetExchangeTimeout(*client, this->options.timeout);
  std::string last_body;
  do {
    const auto response = client->Get("/v1/instances");
    if (!response || response->status != 200) {
      Log(LogLevel::kWarn, "instance_list_unavailable");
      continue;
    }
    if (response->body == last_body) {
      continue;
    }
    auto list = DecodeInstanceList(response->body);
    if (!list) {
      Log(LogLevel::kWarn, "instance_list_malformed",
          {{"error", list.error().detail}});
      continue;
    }
    last_body = response->body;
    this->on_change(std::move(list.value()));
  } while (WaitUnlessStopped(stop, this->options.interval));
}

}  // namespace chicorystep
