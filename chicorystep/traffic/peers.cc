#include "chicorystep/traffic/peers.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/timer.h>

#include <deque>
#include <future>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>
#include <variant>

#include "chicorystep/core/logging.h"
#include "chicorystep/encoding/peer_messages.h"
#include "chicorystep/systems/config/config_sync.h"

namespace chicorystep {
namespace impl {

// After this time a configuration fetch counts as failed, and another peer can
// be tried.
inline constexpr Duration kFetchTimeout = std::chrono::seconds(2);

// A message queued for sending by the event loop's thread.
using PeerMessage =
    std::variant<SendHeartbeat, ForwardJobOperation, FetchConfig>;

// State shared by the RPC server and the event loop, which run on one thread.
struct PeerState {
  ControlLoop& control;
  ExchangeDispatcher& dispatcher;
  // The newest heartbeat of this process, returned to peers that send theirs;
  // empty until the first one is sent.
  std::optional<Heartbeat> own_heartbeat;
};

// Serves calls from other entry processes. Each call is posted to the control
// loop; the promise of a job operation is fulfilled when its exchange ends.
class PeerServer final : public wire::Peer::Server {
 public:
  explicit PeerServer(PeerState& shared) : state(shared) {}

  kj::Promise<void> heartbeat(HeartbeatContext context) override {
    this->state.control.Post(
        [beat = ReadHeartbeat(context.getParams().getBeat())](Inbox& inbox) {
          inbox.heartbeats.push_back(beat);
        });
    if (this->state.own_heartbeat) {
      WriteHeartbeat(*this->state.own_heartbeat,
                     context.getResults().initBeat());
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> records(RecordsContext context) override {
    auto pair = kj::newPromiseAndCrossThreadFulfiller<ConfigAnswer>();
    auto fulfiller = std::make_shared<
        kj::Own<kj::CrossThreadPromiseFulfiller<ConfigAnswer>>>(
        kj::mv(pair.fulfiller));
    this->state.control.Inspect(
        [fulfiller, from = Offset(context.getParams().getFrom())](
            const World& world, TimePoint) {
          (*fulfiller)->fulfill(AnswerConfigFetch(world, from));
        });
    return pair.promise.then([context](const ConfigAnswer& answer) mutable {
      WriteConfigAnswer(answer, context.getResults().initAnswer());
    });
  }

  kj::Promise<void> job(JobContext context) override {
    auto operation = ReadJobOperation(context.getParams().getOperation());
    if (!operation) {
      WriteJobAnswer(
          EndJobOperation{.refusal =
                              Refusal{Execution::kNotRun, Reason::kBadRequest,
                                      operation.error().detail, Duration{}}},
          context.getResults().initAnswer());
      return kj::READY_NOW;
    }
    auto pair = kj::newPromiseAndCrossThreadFulfiller<EndJobOperation>();
    auto fulfiller = std::make_shared<
        kj::Own<kj::CrossThreadPromiseFulfiller<EndJobOperation>>>(
        kj::mv(pair.fulfiller));
    const ExchangeId exchange =
        this->state.dispatcher.Open([fulfiller](Instruction instruction) {
          if (auto* end = std::get_if<EndJobOperation>(&instruction)) {
            (*fulfiller)->fulfill(std::move(*end));
          }
        });
    operation.value().exchange = exchange;
    this->state.control.Post([&](Inbox& inbox) {
      inbox.job_operations.push_back(std::move(operation.value()));
    });
    return pair.promise.then(
        [this, exchange, context](const EndJobOperation& end) mutable {
          this->state.dispatcher.Close(exchange);
          WriteJobAnswer(end, context.getResults().initAnswer());
        });
  }

 private:
  PeerState& state;
};

// A connection to one peer. Calls made while it is being opened are sent once
// it is open.
struct PeerConnection {
  kj::Own<kj::AsyncIoStream> stream;
  kj::Own<capnp::TwoPartyClient> client;
  std::optional<wire::Peer::Client> peer;
  bool failed = false;
};

class PeerLoop final : private kj::TaskSet::ErrorHandler {
 public:
  PeerLoop(Peers::Options loop_options,
           ControlLoop& control,
           ExchangeDispatcher& dispatcher)
      : options(std::move(loop_options)),
        state{.control = control,
              .dispatcher = dispatcher,
              .own_heartbeat = std::nullopt} {}

  // Serves until `Stop`. Sets `listening` to whether the address was bound; if
  // not, returns at once.
  void Run(std::promise<bool> listening);
  void Stop();
  void Send(PeerMessage message);

 private:
  using Wake = kj::CrossThreadPromiseFulfiller<void>;

  void taskFailed(kj::Exception&& exception) override {
    Log(LogLevel::kDebug, "peer_task_failed",
        {{"error", exception.getDescription().cStr()}});
  }

  std::deque<PeerMessage> WaitForMessages(kj::WaitScope& scope);
  std::shared_ptr<PeerConnection> ConnectionTo(const Address& address);
  void Dispatch(const SendHeartbeat& message);
  void Dispatch(const ForwardJobOperation& message);
  void Dispatch(const FetchConfig& message);

  Peers::Options options;
  PeerState state;
  std::mutex mutex;
  std::deque<PeerMessage> messages;
  bool stopped = false;
  // Set while the event loop's thread waits for messages; fulfilling it wakes
  // that thread.
  kj::Own<Wake> wake;
  // `io` and `tasks` are valid only while `Run` executes.
  kj::AsyncIoContext* io = nullptr;
  kj::TaskSet* tasks = nullptr;
  std::unordered_map<Address, std::shared_ptr<PeerConnection>> connections;
};

void PeerLoop::Run(std::promise<bool> listening) {
  kj::AsyncIoContext context = kj::setupAsyncIo();
  this->io = &context;
  kj::TaskSet::ErrorHandler& error_handler = *this;
  auto task_set = kj::heap<kj::TaskSet>(error_handler);
  this->tasks = task_set.get();
  capnp::TwoPartyServer server(kj::heap<PeerServer>(this->state));

  kj::Own<kj::ConnectionReceiver> listener;
  const auto failed = kj::runCatchingExceptions([&] {
    listener = context.provider->getNetwork()
                   .parseAddress(this->options.listen.value.c_str())
                   .wait(context.waitScope)
                   ->listen();
  });
  listening.set_value(failed == nullptr);
  if (failed != nullptr) {
    return;
  }
  task_set->add(server.listen(*listener));

  while (true) {
    std::deque<PeerMessage> batch = this->WaitForMessages(context.waitScope);
    if (batch.empty()) {
      break;
    }
    for (const PeerMessage& message : batch) {
      std::visit(
          [this](const auto& alternative) { this->Dispatch(alternative); },
          message);
    }
  }
  // Cancels the calls in flight first, because they use the connections.
  task_set = nullptr;
  this->connections.clear();
}

// Waits until messages are queued and returns them all; returns an empty batch
// when the loop has been stopped.
std::deque<PeerMessage> PeerLoop::WaitForMessages(kj::WaitScope& scope) {
  auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
  {
    const std::scoped_lock lock(this->mutex);
    if (!this->messages.empty() || this->stopped) {
      return this->stopped ? std::deque<PeerMessage>()
                           : std::exchange(this->messages, {});
    }
    this->wake = kj::mv(pair.fulfiller);
  }
  pair.promise.wait(scope);
  const std::scoped_lock lock(this->mutex);
  this->wake = nullptr;
  return this->stopped ? std::deque<PeerMessage>()
                       : std::exchange(this->messages, {});
}

void PeerLoop::Send(PeerMessage message) {
  const std::scoped_lock lock(this->mutex);
  this->messages.push_back(std::move(message));
  if (this->wake.get() != nullptr) {
    this->wake->fulfill();
  }
}

void PeerLoop::Stop() {
  const std::scoped_lock lock(this->mutex);
  this->stopped = true;
  if (this->wake.get() != nullptr) {
    this->wake->fulfill();
  }
}

std::shared_ptr<PeerConnection> PeerLoop::ConnectionTo(const Address& address) {
  auto& cached = this->connections[address];
  if (cached != nullptr && !cached->failed) {
    return cached;
  }
  cached = std::make_shared<PeerConnection>();
  auto connection = cached;
  kj::Promise<wire::Peer::Client> peer =
      this->io->provider->getNetwork()
          .parseAddress(address.value.c_str())
          .then([](kj::Own<kj::NetworkAddress> parsed) {
            auto connecting = parsed->connect();
            return connecting.attach(kj::mv(parsed));
          })
          .then([connection](kj::Own<kj::AsyncIoStream> stream) {
            connection->stream = kj::mv(stream);
            connection->client =
                kj::heap<capnp::TwoPartyClient>(*connection->stream);
            return connection->client->bootstrap().castAs<wire::Peer>();
          });
  connection->peer.emplace(kj::mv(peer));
  return connection;
}

void PeerLoop::Dispatch(const SendHeartbeat& message) {
  this->state.own_heartbeat = message.heartbeat;
  const auto connection = this->ConnectionTo(message.address);
  auto call = connection->peer->heartbeatRequest();
  WriteHeartbeat(message.heartbeat, call.initBeat());
  auto answered = call.send().then([this](auto response) {
    if (response.hasBeat()) {
      this->state.control.Post(
          [beat = ReadHeartbeat(response.getBeat())](Inbox& inbox) {
            inbox.heartbeats.push_back(beat);
          });
    }
  });
  this->tasks->add(
      this->io->provider->getTimer()
          .timeoutAfter(this->options.call_timeout.count() * kj::MICROSECONDS,
                        kj::mv(answered))
          .catch_(
              [connection](kj::Exception&&) { connection->failed = true; }));
}

void PeerLoop::Dispatch(const ForwardJobOperation& message) {
  const auto connection = this->ConnectionTo(message.address);
  const ExchangeId exchange = message.operation.exchange;
  auto call = connection->peer->jobRequest();
  WriteJobOperation(message.operation, call.initOperation());
  auto answered = call.send().then([this, exchange](auto response) {
    auto end = ReadJobAnswer(response.getAnswer());
    if (end) {
      this->state.dispatcher.Deliver(exchange, std::move(end.value()));
    }
  });
  this->tasks->add(
      this->io->provider->getTimer()
          .timeoutAfter(this->options.call_timeout.count() * kj::MICROSECONDS,
                        kj::mv(answered))
          .catch_([this, connection, exchange](kj::Exception&&) {
            connection->failed = true;
            this->state.dispatcher.Deliver(
                exchange,
                EndJobOperation{
                    .refusal = Refusal{
                        Execution::kUnknown, Reason::kHolderUnreachable,
                        "the cell's holder did not answer; the same request "
                        "may be repeated",
                        Duration{}}});
          }));
}

void PeerLoop::Dispatch(const FetchConfig& message) {
  const auto connection = this->ConnectionTo(message.address);
  auto call = connection->peer->recordsRequest();
  call.setFrom(message.from.value);
  const auto report = [this](ConfigFetched fetched) {
    this->state.control.Post([&](Inbox& inbox) {
      inbox.configs_fetched.push_back(std::move(fetched));
    });
  };
  auto answered = call.send().then([report,
                                    peer = message.peer](auto response) {
    report(ConfigFetched{peer, true, ReadConfigAnswer(response.getAnswer())});
  });
  this->tasks->add(
      this->io->provider->getTimer()
          .timeoutAfter(kFetchTimeout.count() * kj::MICROSECONDS,
                        kj::mv(answered))
          .catch_([connection, report, peer = message.peer](kj::Exception&&) {
            connection->failed = true;
            report(ConfigFetched{.peer = peer});
          }));
}

}  // namespace impl

Peers::Peers(Options options,
             ControlLoop& control,
             ExchangeDispatcher& dispatcher)
    : loop(std::make_unique<impl::PeerLoop>(std::move(options),
                                            control,
                                            dispatcher)) {
  std::promise<bool> listening;
  auto bound = listening.get_future();
  this->thread =
      std::thread([this, listening = std::move(listening)]() mutable {
        this->loop->Run(std::move(listening));
      });
  this->listening = bound.get();
}

Peers::~Peers() {
  this->loop->Stop();
  this->thread.join();
}

void Peers::Send(SendHeartbeat message) {
  this->loop->Send(std::move(message));
}

void Peers::Send(ForwardJobOperation message) {
  this->loop->Send(std::move(message));
}

void Peers::Send(FetchConfig message) {
  this->loop->Send(std::move(message));
}

}  // namespace chicorystep
