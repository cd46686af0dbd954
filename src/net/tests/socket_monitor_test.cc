#include "net/internal/socket_monitor.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <zmq.hpp>

namespace anvildrum::net::internal {
namespace {

// A link to a parent is given up and opened again at once. ZeroMQ lets go of the former monitor's
// name later, in a thread of its own: taken from the object's place in memory, the name was still
// in use, and the new link could not be opened.
BOOST_AUTO_TEST_CASE(a_monitor_can_follow_another_at_the_same_place_at_once) {
  constexpr auto times = 100;
  auto io = boost::asio::io_context{};
  auto context = zmq::context_t{};
  auto monitor = std::optional<SocketMonitor>{};
  auto watched = std::optional<zmq::socket_t>{};
  for (auto i = 0; i < times; ++i) {
    monitor.reset();
    watched.emplace(context, zmq::socket_type::dealer);
    BOOST_REQUIRE_NO_THROW(
        monitor.emplace(context, io, *watched, ZMQ_EVENT_ALL, [](std::uint16_t, std::uint32_t) {}));
  }
}

}  // namespace
}  // namespace anvildrum::net::internal
