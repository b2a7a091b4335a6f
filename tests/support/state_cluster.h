#ifndef TESTS_SUPPORT_STATE_CLUSTER_H_
#define TESTS_SUPPORT_STATE_CLUSTER_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "chicorystep/clients/log_client.h"
#include "chicorystep/systems/config/config_stream.h"
#include "tests/support/cluster.h"

namespace chicorystep::testing {

using nlohmann::json;

inline const std::string kPool = "[pool main w1]\nweight = 1\nborrows = yes\n";

inline std::string EchoRoute(const std::string& kind, int attempts) {
  return fmt::format(
      "[route {}]\nservice = echo\npool = main\ndeadline = 5s\n"
      "idempotent = yes\nmax_request = 1MiB\nmax_answer = 1MiB\n"
      "max_attempts = {}\n",
      kind, attempts);
}

// Returns tables with the route `kind`, whose max_attempts is `version`.
inline std::string Tables(int version, const std::string& kind = "echo") {
  return EchoRoute(kind, version) + kPool;
}

// A cluster with helpers that read the state of its entry processes.
struct StateCluster : Cluster {
  explicit StateCluster(int entry_count = 3) : Cluster(entry_count, 3, 0) {}

  void StartReady() {
    this->StartAll();
    BOOST_REQUIRE(Eventually([&] { return this->AllReady(); }));
  }

  [[nodiscard]] std::optional<json> FetchState(std::size_t entry) const {
    const auto response =
        MakeHttpClient(chicorystep::Address(this->addresses[entry].admin),
                       std::chrono::seconds(5))
            ->Get("/v1/state");
    return response ? std::optional(json::parse(response->body)) : std::nullopt;
  }

  // Returns whether `entry` is ready and has the tables of `version` in force.
  [[nodiscard]] bool Serves(std::size_t entry, int version) const {
    const auto state = this->FetchState(entry);
    if (!state || !(*state)["ready"]) {
      return false;
    }
    const json& routes = (*state)["config"]["routes"];
    return !routes.empty() && routes[0]["max_attempts"] == version;
  }

  [[nodiscard]] bool AllServe(int version) const {
    for (std::size_t i = 0; i < this->addresses.size(); ++i) {
      if (this->entries[i] && !this->Serves(i, version)) {
        return false;
      }
    }
    return true;
  }

  [[nodiscard]] std::vector<std::size_t> Readers() const {
    std::vector<std::size_t> readers;
    for (std::size_t i = 0; i < this->addresses.size(); ++i) {
      const auto state = this->entries[i] ? this->FetchState(i) : std::nullopt;
      if (state && (*state)["config_sync"]["reads_log"]) {
        readers.push_back(i);
      }
    }
    return readers;
  }

  // Waits until exactly one entry reads the configuration stream for all
  // entries, and returns its index.
  std::size_t WaitForSingleReader() {
    BOOST_REQUIRE(Eventually([&] { return this->Readers().size() == 1; }));
    return this->Readers().front();
  }

  void SetLogFaults(const LogFaults& faults) {
    const std::scoped_lock lock(this->log.standin.mutex);
    this->log.standin.faults = faults;
    this->log.standin.appended.notify_all();
  }

  [[nodiscard]] int Request(std::size_t entry, const std::string& kind) const {
    const auto response = this->Caller(entry)->Post(
        "/v1/requests/" + kind, CallHeaders("r"), "x", "text/plain");
    return response ? response->status : 0;
  }

  void Append(const std::string& id, const std::string& data) {
    BOOST_REQUIRE(AppendOnce(
        LogServiceOptions{.address = chicorystep::Address(this->log.Address())},
        ConfigStream(), {LogRecord{Offset{}, RecordId(id), data}}));
  }
};

}  // namespace chicorystep::testing

#endif  // TESTS_SUPPORT_STATE_CLUSTER_H_
