#define BOOST_TEST_MODULE process
#include <boost/test/unit_test.hpp>

#include <poll.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "tests/support/process.h"

namespace chicorystep::testing {
namespace {

using asio::ip::tcp;

const tcp::endpoint kAnyPort(asio::ip::address_v4::loopback(), 0);

ChildProcess StartChild() {
  return ChildProcess({"/bin/sleep", "30"});
}

// Whether an address can be listened on again while a child lives that was
// started during the first time.
bool ListensAgain() {
  asio::io_context context;
  tcp::acceptor acceptor(context, kAnyPort);
  const tcp::endpoint address = acceptor.local_endpoint();
  const ChildProcess child = StartChild();
  acceptor.close();
  acceptor.open(address.protocol());
  acceptor.set_option(asio::socket_base::reuse_address(true));
  std::error_code error;
  acceptor.bind(address, error);
  if (!error) {
    acceptor.listen(tcp::acceptor::max_listen_connections, error);
  }
  return !error;
}

// Whether the peer of a connection notices its reset while a child lives that
// was started during the connection.
bool NoticesReset() {
  constexpr int kWaitMs = 1000;
  asio::io_context context;
  tcp::acceptor acceptor(context, kAnyPort);
  tcp::socket peer(context);
  peer.connect(acceptor.local_endpoint());
  tcp::socket own = acceptor.accept();
  const ChildProcess child = StartChild();
  own.set_option(asio::socket_base::linger(true, 0));
  own.close();
  pollfd readable{.fd = peer.native_handle(), .events = POLLIN, .revents = 0};
  return ::poll(&readable, 1, kWaitMs) == 1;
}

struct InheritedCase {
  std::string name;
  bool (*is_released)();
};

const std::vector<InheritedCase> kInheritedCases = {
    {"a listener", ListensAgain},
    {"a connection", NoticesReset},
};

// Guards against entries of the soak that inherit its sockets: a worker that
// has restarted could not listen again, and resets were not noticed.
BOOST_AUTO_TEST_CASE(child_processes_keep_no_sockets_open) {
  for (const InheritedCase& sample : kInheritedCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      BOOST_TEST(sample.is_released());
    }
  }
}

}  // namespace
}  // namespace chicorystep::testing
