#include "packetd/machine_probes.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <vector>

namespace anvildrum::packetd {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kMachine = packets::Address{0x7f000001};
// More connections than the operating system queues for a listener with the smallest backlog.
constexpr auto kQueueFillers = 8;

/// The result of a probe.
struct ProbeResult {
  packets::Address machine = 0;
  bool answered = false;
};

auto ProbeOnce(asio::io_context& io, std::uint16_t port) -> std::optional<ProbeResult> {
  auto ended = std::optional<ProbeResult>{};
  auto probes =
      MachineProbes{io, port, [&](packets::Address machine, base::TimePoint, bool answered) {
                      ended = ProbeResult{machine, answered};
                      io.stop();
                    }};
  probes.Begin(kMachine);
  io.restart();
  io.run();
  return ended;
}

auto ListenOn(asio::io_context& io) -> tcp::acceptor {
  auto acceptor = tcp::acceptor{io};
  acceptor.open(tcp::v4());
  acceptor.bind({asio::ip::address_v4{kMachine}, 0});
  acceptor.listen(0);
  return acceptor;
}

BOOST_AUTO_TEST_CASE(a_machine_that_accepts_or_refuses_has_answered) {
  auto io = asio::io_context{1};
  auto acceptor = ListenOn(io);
  const auto port = acceptor.local_endpoint().port();
  const auto accepted = ProbeOnce(io, port);
  BOOST_REQUIRE(accepted);
  BOOST_TEST(accepted->answered);
  BOOST_TEST(accepted->machine == kMachine);
  acceptor.close();
  const auto refused = ProbeOnce(io, port);
  BOOST_REQUIRE(refused);
  BOOST_TEST(refused->answered);
}

// A listener with a full queue drops connection attempts, as a machine that is off does.
BOOST_AUTO_TEST_CASE(a_machine_that_drops_connections_has_not_answered) {
  auto io = asio::io_context{1};
  auto acceptor = ListenOn(io);
  auto filling = std::vector<tcp::socket>{};
  for (auto i = 0; i < kQueueFillers; ++i) {
    auto& socket = filling.emplace_back(io);
    socket.async_connect(acceptor.local_endpoint(), [](const boost::system::error_code&) {});
  }
  const auto ended = ProbeOnce(io, acceptor.local_endpoint().port());
  BOOST_REQUIRE(ended);
  BOOST_TEST(!ended->answered);
}

// If a failure domain of many machines falls silent, the probes must not use up the sockets of the
// process. Further probes start as others end.
BOOST_AUTO_TEST_CASE(no_more_probes_are_begun_than_there_is_room_for) {
  auto io = asio::io_context{1};
  auto acceptor = ListenOn(io);
  const auto port = acceptor.local_endpoint().port();
  acceptor.close();
  auto ended = std::size_t{0};
  auto probes = MachineProbes{io, port, [&](packets::Address, base::TimePoint, bool) { ++ended; }};
  const auto room = probes.FreeSlots();
  for (auto i = packets::Address{0}; i <= room; ++i) probes.Begin(kMachine + i);
  BOOST_TEST(probes.FreeSlots() == 0U);
  io.run();
  BOOST_TEST(ended == room);
  BOOST_TEST(probes.FreeSlots() == room);
  probes.Begin(kMachine + static_cast<packets::Address>(room));
  BOOST_TEST(probes.FreeSlots() == room - 1);
}

}  // namespace
}  // namespace anvildrum::packetd
