#define BOOST_TEST_MODULE platform_slow_link
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chicorystep/control/workflow_loop.h"
#include "platform/codec.h"
#include "platform/store.h"

namespace chicorystep::platform {
namespace {

using std::chrono::milliseconds;

// The throughput of a connection between two regions: one small window per
// round trip, 0.45 MB/s.
constexpr std::size_t kWindowBytes = 32'768;
constexpr Duration kRoundTrip = milliseconds(72);

std::string BigEndian8(std::uint64_t value) {
  std::string bytes;
  for (int shift = 56; shift >= 0; shift -= 8) {
    bytes += static_cast<char>((value >> shift) & 0xff);
  }
  return bytes;
}

// The number of records in the store. At a little over 1 KB each, they fill its
// largest page.
constexpr std::size_t kRecords = 1000;
constexpr std::size_t kRecordBytes = 1024;
// The largest page that the store itself allows.
constexpr std::size_t kMaxPageKilobytes = 1024;

// Returns the size of the largest page that `request` accepts.
std::size_t RequestedPageBytes(const std::string& request) {
  constexpr std::string_view kSizeField = "MaxKb=";
  const auto at = request.find(kSizeField);
  return 1024 * (at == std::string::npos
                     ? kMaxPageKilobytes
                     : std::stoul(request.substr(at + kSizeField.size())));
}

// Returns the records from the first offset that fit into the requested page.
std::string LogPage(const std::string& request) {
  return BigEndian8(kRecords) + BigEndian8(0) +
         EncodeLogRecords(std::vector<KeyedValue>(
             std::min(kRecords, RequestedPageBytes(request) / kRecordBytes),
             KeyedValue{.key = "holder",
                        .value = std::string(kRecordBytes - 24, '?')}));
}

// Returns one record of the largest size, if it fits into the requested page.
std::string LargestRecord(const std::string& request) {
  constexpr std::size_t kMaxRecordBytes = 262'144;
  const KeyedValue record{.key = "holder",
                          .value = std::string(kMaxRecordBytes - 7, '?')};
  const std::string encoded = EncodeLogRecords({record});
  return BigEndian8(1) + BigEndian8(0) +
         (encoded.size() <= RequestedPageBytes(request) ? encoded : "");
}

std::string NewestPage(const std::string&) {
  nlohmann::json items = nlohmann::json::array();
  for (std::size_t i = 0; i < kRecords; ++i) {
    items.push_back({{"Key", "holder"},
                     {"Value", std::string(kRecordBytes, 'A')},
                     {"Offset", i}});
  }
  return nlohmann::json(
             {{"items", items}, {"HasMore", false}, {"End", kRecords}})
      .dump();
}

// Builds the body of the store's answer to a request.
using BodyBuilder = std::string (*)(const std::string& request);

// A store on this thread behind a slow connection, which sends one window per
// round trip and stalls after `stall_after_bytes`.
struct SlowStore {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor{
      context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  BodyBuilder build_body = LogPage;
  std::size_t stall_after_bytes = std::string::npos;
  // How long an answer takes to begin.
  Duration delay{};
  HttpClient client{context};
  Store store{.client = &client};

  struct Connection {
    explicit Connection(asio::io_context& context)
        : socket(context), timer(context) {}
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::string request = std::string(4096, '\0');
    std::string answer;
    std::size_t sent = 0;
  };

  SlowStore() {
    this->store.address = Address(
        "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()));
    this->Accept();
  }

  void Accept() {
    auto connection = std::make_shared<Connection>(this->context);
    this->acceptor.async_accept(
        connection->socket, [this, connection](const std::error_code& error) {
          if (error) {
            return;
          }
          connection->socket.async_read_some(
              asio::buffer(connection->request),
              [this, connection](const std::error_code& failed, std::size_t) {
                if (failed) {
                  return;
                }
                const std::string body = this->build_body(connection->request);
                connection->answer = "HTTP/1.1 200 OK\r\nContent-Length: " +
                                     std::to_string(body.size()) + "\r\n\r\n" +
                                     body;
                connection->timer.expires_after(this->delay);
                connection->timer.async_wait(
                    [this, connection](const std::error_code&) {
                      this->SendWindow(connection);
                    });
              });
          this->Accept();
        });
  }

  void SendWindow(const std::shared_ptr<Connection>& connection) {
    const std::size_t size =
        std::min({kWindowBytes, connection->answer.size() - connection->sent,
                  this->stall_after_bytes -
                      std::min(this->stall_after_bytes, connection->sent)});
    if (size == 0) {
      return;
    }
    asio::async_write(
        connection->socket,
        asio::buffer(connection->answer.data() + connection->sent, size),
        [this, connection, size](const std::error_code& error, std::size_t) {
          connection->sent += size;
          connection->timer.expires_after(kRoundTrip);
          if (error) {
            return;
          }
          connection->timer.async_wait(
              [this, connection](const std::error_code&) {
                this->SendWindow(connection);
              });
        });
  }

  StreamRead Read(std::optional<Offset> from,
                  Duration answer_timeout = kReadTimeout) {
    std::optional<StreamRead> got;
    CarryOutRead(this->store,
                 ReadStream{.stream = FollowedStream::kJournal,
                            .from = from,
                            .answer_timeout = answer_timeout},
                 [&](const StreamRead& read) { got = read; });
    while (!got) {
      this->context.run_one();
    }
    return *got;
  }
};

// A slow answer and whether the read succeeds. A read must not wait for a
// stalled answer for longer than its time-out.
struct SlowCase {
  std::string name;
  BodyBuilder build_body;
  std::optional<Offset> from;
  std::size_t stall_after_bytes;
  bool ok;
};

const std::vector<SlowCase> kSlowCases = {
    {"the records after an offset", LogPage, Offset(0), std::string::npos,
     true},
    {"the newest record of each key", NewestPage, {}, std::string::npos, true},
    {"a record of the largest size", LargestRecord, Offset(0),
     std::string::npos, true},
    {"the records received before the connection stalled", LogPage, Offset(0),
     600'000, true},
    {"an answer that stalls", NewestPage, {}, 300'000, false},
    {"an answer without a byte", LogPage, Offset(0), 0, false},
};

// Guards against reads that never succeed once there is more to read than a
// link between regions carries within one time-out (bssp-sched-grown, SHORT).
BOOST_AUTO_TEST_CASE(reads_over_a_slow_link_succeed_while_bytes_arrive) {
  for (const SlowCase& sample : kSlowCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      SlowStore slow;
      slow.build_body = sample.build_body;
      slow.stall_after_bytes = sample.stall_after_bytes;
      const TimePoint began = BootTimeNow();
      const StreamRead read = slow.Read(sample.from);
      BOOST_TEST(read.ok == sample.ok);
      if (sample.ok) {
        BOOST_TEST(read.next.value > 0U);
      } else {
        BOOST_TEST((BootTimeNow() - began < std::chrono::seconds(4)));
      }
    }
  }
}

// A read whose answer begins late, and whether it succeeds.
struct LateCase {
  std::string name;
  std::optional<Offset> from;
  Duration answer_timeout;
  bool ok;
};

const std::vector<LateCase> kLateCases = {
    {"a load with the shortest time-out", {}, kReadTimeout, false},
    {"a load with a longer one", {}, 2 * kReadTimeout, true},
    {"a read with the shortest time-out", Offset(0), kReadTimeout, false},
    {"a read with a longer one", Offset(0), 2 * kReadTimeout, true},
};

// Guards against reads that end before their own time-out on a link which
// many answers fill (coeurs-armor-grown at 300 machines, no requests served).
BOOST_AUTO_TEST_CASE(reads_wait_as_long_as_asked_for_their_answer) {
  for (const LateCase& sample : kLateCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      SlowStore slow;
      slow.build_body = sample.from ? LargestRecord : NewestPage;
      slow.delay = kReadTimeout + milliseconds(500);
      BOOST_TEST(slow.Read(sample.from, sample.answer_timeout).ok == sample.ok);
    }
  }
}

}  // namespace
}  // namespace chicorystep::platform
