#ifndef TESTS_SUPPORT_PLATFORM_STANDIN_H_
#define TESTS_SUPPORT_PLATFORM_STANDIN_H_

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "chicorystep/control/workflow_loop.h"
#include "chicorystep/standin/emulated_store.h"
#include "platform/codec.h"
#include "platform/http_server.h"
#include "tests/support/worker_field.h"

namespace chicorystep::testing {

using platform::Respond;
using platform::ServedRequest;
using platform::ServedResponse;

// Addresses on loopback that no other process's run uses.
struct LoopbackAddresses {
  int next_port = 20'001;

  Address Next() {
    const int process = ::getpid();
    return Address(fmt::format("127.{}.{}.1:{}", 1 + process / 250 % 250,
                               1 + process % 250, this->next_port++));
  }
};

// What the store does wrong for one caller of it, or for all.
struct StoreFaults {
  bool refuses = false;
  // Each answer comes this much later.
  Duration slow{};
  // Of 1000 appends, how many are carried out without an answer.
  int lost_of_thousand = 0;
};

// What workers do wrong with start and stop orders.
struct OrderFaults {
  // Of 1000, how many get no answer and are carried out seconds later.
  int late_of_thousand = 0;
};

namespace impl {

using PlainJson = nlohmann::json;

// The value of one field of a query, empty if it has none.
inline std::string QueryField(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::string_view field = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), field.size() + 1));
    if (field.size() > name.size() && field.starts_with(name) &&
        field[name.size()] == '=') {
      return std::string(field.substr(name.size() + 1));
    }
  }
  return "";
}

inline std::uint64_t NumberField(std::string_view query,
                                 std::string_view name,
                                 std::uint64_t other = 0) {
  const std::string text = QueryField(query, name);
  return text.empty() ? other : std::stoull(text);
}

inline std::string ToBase64(const std::string& bytes) {
  using boost::archive::iterators::base64_from_binary;
  using boost::archive::iterators::transform_width;
  using Encoder =
      base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
  std::string text(Encoder(bytes.begin()), Encoder(bytes.end()));
  text.append((3 - bytes.size() % 3) % 3, '=');
  return text;
}

inline std::string BigEndian8(std::uint64_t value) {
  std::string bytes;
  for (int shift = 56; shift >= 0; shift -= 8) {
    bytes += static_cast<char>((value >> shift) & 0xff);
  }
  return bytes;
}

inline WorkerOrder OrderOf(const ServedRequest& request) {
  const PlainJson json = PlainJson::parse(request.body);
  WorkerOrder order{
      .kind = request.path.ends_with("run-start")  ? OrderKind::kStart
              : request.path.ends_with("run-stop") ? OrderKind::kStop
                                                   : OrderKind::kHold,
      .worker = WorkerId(request.headers.at("x-expect-instance")),
      .fence = Epoch(json.value("Fence", std::uint64_t{0}))};
  if (json.contains("UntilMs")) {
    order.until = WorkerClock(json.at("UntilMs").get<std::int64_t>());
  }
  if (order.kind == OrderKind::kHold) {
    order.acknowledged = EndNumber(json.value("AckCursor", std::uint64_t{0}));
    order.wait = milliseconds(json.value("WaitMs", std::int64_t{0}));
  } else {
    order.task =
        platform::DecodeTaskName(json.at("Task").get<std::string>()).value();
    order.run = RunNumber(json.at("Run").get<std::uint32_t>());
    order.payload = json.value("Spec", std::string());
  }
  return order;
}

inline ServedResponse AnswerTo(const OrderEnded& ended) {
  PlainJson json = {{"ClockMs", ended.clock->value},
                    {"born", ended.life->value}};
  const auto rejected = [&](const char* reason) {
    json["Reason"] = reason;
    return ServedResponse{.status = 409, .body = json.dump()};
  };
  switch (ended.outcome) {
    case OrderOutcome::kFenced:
      return rejected("fence");
    case OrderOutcome::kOldRun:
      return rejected("old");
    case OrderOutcome::kTooLate:
      return rejected("late");
    case OrderOutcome::kNoRoom:
      return rejected("room");
    default:
      break;
  }
  if (ended.kind == OrderKind::kHold) {
    json["Running"] = PlainJson::array();
    for (const RunningReport& row : ended.running) {
      json["Running"].push_back({platform::EncodeTaskName(row.task),
                                 row.run.value, "", 50, row.in_use->value});
    }
    json["Finished"] = PlainJson::array();
    for (const EndReport& row : ended.ended) {
      json["Finished"].push_back(
          {row.number.value, platform::EncodeTaskName(row.task), row.run.value,
           std::string(NameOf(row.end)), ""});
    }
  }
  return ServedResponse{.body = json.dump()};
}

}  // namespace impl

// The users' platform on loopback: its store, one listener for each entry, and
// its workers. All on the thread that runs the context.
struct PlatformStandin {
  asio::io_context& context;
  LoopbackAddresses addresses;
  WorkerField field;
  std::map<std::string, EmulatedLog> topics;
  // By the entry that calls; and for all.
  std::vector<StoreFaults> store_faults;
  StoreFaults all_store_faults;
  OrderFaults order_faults;
  std::minstd_rand random;
  // Exchanges that are never answered, kept open.
  std::vector<Respond> unanswered;
  std::deque<platform::HttpServer> servers;

  PlatformStandin(asio::io_context& io_context, unsigned seed)
      : context(io_context), random(seed) {}

  // A listener of the store for the entry of that number.
  Address ServeStore(std::size_t entry) {
    this->store_faults.resize(std::max(this->store_faults.size(), entry + 1));
    return this->Serve(
        [this, entry](const ServedRequest& request, Respond respond) {
          this->ServeStoreCall(entry, request, std::move(respond));
        });
  }

  // A listener for all workers.
  Address ServeWorkers() {
    return this->Serve([this](const ServedRequest& request, Respond respond) {
      this->ServeOrder(request, std::move(respond));
    });
  }

  // Lists the worker with its present address, or as draining.
  void List(const EmulatedWorker& worker) {
    const WorkerListing& listing = worker.listing;
    const impl::PlainJson json = {
        {"Service", listing.service.value},
        {"Address", listing.address.value},
        {"Zone", "z"},
        {"Version", "1"},
        {"Slots", 8},
        {"State", listing.draining ? "draining" : "ready"},
        {"Capacity",
         {{"Cpu", listing.capacity.processors.value},
          {"MemMb", listing.capacity.memory.value},
          {"Gpu", listing.capacity.accelerators.value}}},
        {"Labels", listing.labels},
        {"born", listing.life.value}};
    this->Put("keyed.servers", listing.id.value, json.dump());
  }
  void Unlist(const EmulatedWorker& worker) {
    this->Put("keyed.servers", worker.listing.id.value, std::nullopt);
  }

  void Put(const std::string& topic,
           const std::string& key,
           std::optional<std::string> value) {
    (void)AppendTo(this->topics[topic],
                   {KeyedValue{.key = key, .value = std::move(value)}}, {});
  }

  // Drops all records of what entries write but the newest of each key.
  void Compact() {
    for (const char* topic : {"keyed.journal", "keyed.progress"}) {
      EmulatedLog& log = this->topics[topic];
      log.first = Offset(log.records.size());
    }
  }

  // Lets tasks go on in real time.
  void Step() {
    this->field.now = BootTimeNow();
    this->field.StepWorkers();
  }

  void After(Duration delay, std::function<void()> action) {
    auto timer = std::make_shared<asio::steady_timer>(this->context, delay);
    timer->async_wait(
        [timer, action = std::move(action)](const std::error_code& error) {
          if (!error) {
            action();
          }
        });
  }

 private:
  // How often a call that waits looks again.
  static constexpr Duration kLookAgain = milliseconds(10);

  bool Happens(int of_thousand) {
    return of_thousand > 0 &&
           static_cast<int>(this->random() % 1000) < of_thousand;
  }

  Address Serve(platform::HttpServer::Handler handler) {
    auto& server =
        this->servers.emplace_back(this->context, std::move(handler));
    server.SetLimits(
        CallLimits{.max_body = Bytes(4 << 20), .idle_timeout = seconds(60)});
    Address address = this->addresses.Next();
    if (!server.Listen(address)) {
      throw std::runtime_error(address.value + " cannot be bound");
    }
    return address;
  }

  void ServeStoreCall(std::size_t entry,
                      const ServedRequest& request,
                      Respond respond) {
    const StoreFaults& own = this->store_faults[entry];
    const StoreFaults& all = this->all_store_faults;
    if (own.refuses || all.refuses) {
      respond(ServedResponse{.status = 503, .body = "{}"});
      return;
    }
    this->After(milliseconds(2) + own.slow + all.slow,
                [this, request, respond = std::move(respond),
                 lost = own.lost_of_thousand + all.lost_of_thousand] {
                  if (request.path.ends_with("log-append")) {
                    this->ServeAppend(request, respond, lost);
                  } else if (request.path.ends_with("log-read")) {
                    const Duration wait = milliseconds(
                        impl::NumberField(request.query, "WaitMs"));
                    this->ServeRead(request, respond, BootTimeNow() + wait);
                  } else {
                    this->ServeNewest(request, respond);
                  }
                });
  }

  EmulatedLog& TopicOf(const ServedRequest& request) {
    return this->topics[impl::QueryField(request.query, "Topic")];
  }

  void ServeAppend(const ServedRequest& request,
                   const Respond& respond,
                   int lost) {
    auto page = platform::DecodeLogPage(std::string(16, '\0') + request.body);
    std::optional<HolderTurn> turn;
    if (!impl::QueryField(request.query, "Producer").empty()) {
      turn =
          HolderTurn{.epoch = Epoch(impl::NumberField(request.query, "epoch")),
                     .sequence = impl::NumberField(request.query, "Seq")};
    }
    EmulatedLog& log = this->TopicOf(request);
    const JournalAppended appended =
        AppendTo(log, std::move(page.value().records), turn);
    if (this->Happens(lost)) {
      this->unanswered.push_back(respond);
      return;
    }
    impl::PlainJson json = {{"Offset", appended.first.value},
                            {"End", log.records.size()}};
    int status = 200;
    if (appended.outcome == AppendOutcome::kFenced) {
      status = 409;
      json["Reason"] = "fenced";
    } else if (appended.outcome == AppendOutcome::kOutOfSequence) {
      status = 409;
      json["Reason"] = "seq";
      json["Seq"] = appended.expected_sequence;
    }
    respond(ServedResponse{.status = status, .body = json.dump()});
  }

  void ServeRead(const ServedRequest& request,
                 const Respond& respond,
                 TimePoint until) {
    const EmulatedLog& log = this->TopicOf(request);
    const std::uint64_t from = impl::NumberField(request.query, "From");
    if (Offset(from) < log.first) {
      respond(ServedResponse{.status = 410, .body = "{}"});
      return;
    }
    if (from >= log.records.size() && BootTimeNow() < until) {
      this->After(kLookAgain, [this, request, respond, until] {
        this->ServeRead(request, respond, until);
      });
      return;
    }
    const std::uint64_t most =
        1024 * impl::NumberField(request.query, "MaxKb", 1024);
    std::string body = impl::BigEndian8(log.records.size()) +
                       impl::BigEndian8(log.first.value);
    for (std::uint64_t at = from; at < log.records.size(); ++at) {
      const std::string record = platform::EncodeLogRecords({log.records[at]});
      if (body.size() + record.size() > most) {
        break;
      }
      body += record;
    }
    respond(ServedResponse{.content_type = "application/octet-stream",
                           .body = std::move(body)});
  }

  void ServeNewest(const ServedRequest& request, const Respond& respond) {
    constexpr std::size_t kMostItems = 500;
    const EmulatedLog& log = this->TopicOf(request);
    impl::PlainJson items = impl::PlainJson::array();
    auto at =
        log.newest.upper_bound(impl::QueryField(request.query, "DependsOn"));
    for (; at != log.newest.end() && items.size() < kMostItems; ++at) {
      items.push_back({{"Key", at->first},
                       {"Value", impl::ToBase64(at->second.second)},
                       {"Offset", at->second.first.value}});
    }
    respond(ServedResponse{
        .body = impl::PlainJson({{"items", std::move(items)},
                                 {"HasMore", at != log.newest.end()},
                                 {"End", log.records.size()}})
                    .dump()});
  }

  void ServeOrder(const ServedRequest& request, Respond respond) {
    const WorkerOrder order = impl::OrderOf(request);
    if (order.kind != OrderKind::kHold &&
        this->Happens(this->order_faults.late_of_thousand)) {
      // What a process has taken goes with it.
      const EmulatedWorker* taker = this->field.FindWorker(order.worker);
      const WorkerLife life =
          taker != nullptr ? taker->listing.life : WorkerLife();
      this->After(milliseconds(2000 + this->random() % 4000), [this, order,
                                                               life] {
        EmulatedWorker* worker = this->field.FindWorker(order.worker);
        if (worker != nullptr && worker->up && worker->listing.life == life) {
          this->field.now = BootTimeNow();
          (void)this->field.CarryOutOn(*worker, order);
        }
      });
      this->unanswered.push_back(std::move(respond));
      return;
    }
    this->Obey(order, std::move(respond), BootTimeNow() + order.wait);
  }

  void Obey(const WorkerOrder& order, Respond respond, TimePoint until) {
    EmulatedWorker* worker = this->field.FindWorker(order.worker);
    if (worker == nullptr || !worker->up) {
      this->unanswered.push_back(std::move(respond));
      return;
    }
    this->field.now = BootTimeNow();
    const OrderEnded ended = this->field.CarryOutOn(*worker, order);
    const bool waits = order.kind == OrderKind::kHold &&
                       ended.outcome == OrderOutcome::kDone &&
                       ended.ended.empty() && this->field.now < until;
    if (waits) {
      this->After(kLookAgain,
                  [this, order, respond = std::move(respond), until]() mutable {
                    this->Obey(order, std::move(respond), until);
                  });
    } else {
      respond(impl::AnswerTo(ended));
    }
  }
};

}  // namespace chicorystep::testing

#endif  // TESTS_SUPPORT_PLATFORM_STANDIN_H_
