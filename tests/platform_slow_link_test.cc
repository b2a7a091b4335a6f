#define BOOST_TEST_MODULE platform_slow_link
#include <boost/test/unit_test.hpp>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "chicorystep/control/workflow_loop.h"
#include "platform/codec.h"
#include "platform/store.h"

namespace chicorystep::platform {
namespace {

using std::chrono::milliseconds;

// What a connection between two regions carries: a small window each round
// trip, 0.45 MB a second.
constexpr std::size_t kWindow = 32'768;
constexpr Duration kRoundTrip = milliseconds(72);

// A store that gives one answer to everything, on this thread, over a slow
// connection: a window at a time, and nothing any more after `stalls_after`
// bytes.
struct SlowStore {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor{
      context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  std::string answer;
  std::size_t stalls_after = std::string::npos;
  HttpClient client{context};
  Store store{.client = &client};

  struct Connection {
    explicit Connection(asio::io_context& context)
        : socket(context), timer(context) {}
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::string request = std::string(4096, '\0');
    std::size_t sent = 0;
  };

  SlowStore() {
    this->store.address = Address(
        "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()));
    this->Accept();
  }

  void Answer(const std::string& body) {
    this->answer =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body;
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
                if (!failed) {
                  this->SendWindow(connection);
                }
              });
          this->Accept();
        });
  }

  void SendWindow(const std::shared_ptr<Connection>& connection) {
    const std::size_t size = std::min(
        {kWindow, this->answer.size() - connection->sent,
         this->stalls_after - std::min(this->stalls_after, connection->sent)});
    if (size == 0) {
      return;
    }
    asio::async_write(
        connection->socket,
        asio::buffer(this->answer.data() + connection->sent, size),
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

  StreamRead Read(std::optional<Offset> from) {
    std::optional<StreamRead> got;
    CarryOutRead(this->store,
                 ReadStream{.stream = FollowedStream::kJournal, .from = from},
                 [&](const StreamRead& read) { got = read; });
    while (!got) {
      this->context.run_one();
    }
    return *got;
  }
};

std::string BigEndian8(std::uint64_t value) {
  std::string bytes;
  for (int shift = 56; shift >= 0; shift -= 8) {
    bytes += static_cast<char>((value >> shift) & 0xff);
  }
  return bytes;
}

// A page of the store's largest size, 1 MB, of records of 1 KB.
constexpr std::size_t kRecords = 1000;

std::string LogPage() {
  return BigEndian8(kRecords) + BigEndian8(0) +
         EncodeLogRecords(std::vector<KeyedValue>(
             kRecords,
             KeyedValue{.key = "holder", .value = std::string(1000, '?')}));
}

std::string NewestPage() {
  nlohmann::json items = nlohmann::json::array();
  for (std::size_t i = 0; i < kRecords; ++i) {
    items.push_back(
        {{"Key", "holder"}, {"Value", std::string(1000, 'A')}, {"Offset", i}});
  }
  return nlohmann::json(
             {{"items", items}, {"HasMore", false}, {"End", kRecords}})
      .dump();
}

// An answer that comes slowly, and whether the read ends well. One that comes
// to a halt must not be waited for longer than the time-out of a read.
struct SlowCase {
  std::string name;
  std::string body;
  std::optional<Offset> from;
  std::size_t stalls_after;
  bool ok;
};

const std::vector<SlowCase> kSlowCases = {
    {"the records after an offset", LogPage(), Offset(0), std::string::npos,
     true},
    {"the newest record of each key",
     NewestPage(),
     {},
     std::string::npos,
     true},
    {"an answer that comes to a halt", LogPage(), Offset(0), 300'000, false},
    {"no byte of an answer", LogPage(), Offset(0), 0, false},
};

// Guards against reads that never end once more is to be read than a link
// between regions carries within a time-out (bssp-sched-grown, SHORT).
BOOST_AUTO_TEST_CASE(reads_over_a_slow_link_end_as_long_as_bytes_come) {
  for (const SlowCase& sample : kSlowCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      SlowStore slow;
      slow.Answer(sample.body);
      slow.stalls_after = sample.stalls_after;
      const TimePoint began = BootTimeNow();
      const StreamRead read = slow.Read(sample.from);
      BOOST_TEST(read.ok == sample.ok);
      if (sample.ok) {
        BOOST_TEST(read.next.value == kRecords);
      } else {
        BOOST_TEST((BootTimeNow() - began < std::chrono::seconds(4)));
      }
    }
  }
}

}  // namespace
}  // namespace chicorystep::platform
