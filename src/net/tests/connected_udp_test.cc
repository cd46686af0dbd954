#include "net/connected_udp.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <unordered_set>
#include <vector>

#include "net/udp_port.h"
#include "run_until.h"

namespace anvildrum::net {
namespace {

using Bytes = std::vector<std::uint8_t>;

struct Fixture {
  boost::asio::io_context io;
  Bytes got;
  int refusals = 0;

  auto Open(const base::Endpoint& target) -> std::unique_ptr<ConnectedUdp> {
    auto handlers = ConnectedUdp::Handlers{.on_datagram =
                                               [this](std::span<const std::uint8_t> data) {
                                                 this->got.assign(data.begin(), data.end());
                                               },
                                           .on_refused = [this] { ++this->refusals; }};
    return ConnectedUdp::Open(this->io, target, std::move(handlers)).value();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(connected_udp, Fixture)

BOOST_AUTO_TEST_CASE(a_target_tells_flows_apart_and_answers_each) {
  auto target = std::unique_ptr<UdpPort>{};
  auto sources = std::unordered_set<base::Endpoint>{};
  target = UdpPort::Open(this->io, {.local = Loopback()},
                         [&](const base::Endpoint& from, std::span<const std::uint8_t> data) {
                           sources.insert(from);
                           target->Send(from, data);
                         })
               .value();
  auto first = this->Open(target->LocalEndpoint());
  auto second = this->Open(target->LocalEndpoint());
  BOOST_TEST(first->Send(Bytes{1}));
  BOOST_TEST(RunUntil(this->io, [&] { return this->got == Bytes{1}; }));
  BOOST_TEST(second->Send(Bytes{2}));
  BOOST_TEST(RunUntil(this->io, [&] { return this->got == Bytes{2}; }));
  BOOST_TEST(sources.size() == 2U);
  BOOST_TEST(sources.contains(first->LocalEndpoint()));
  BOOST_TEST(sources.contains(second->LocalEndpoint()));
}

// The target's process is gone. Without the event the agent would leave the client to time out.
BOOST_AUTO_TEST_CASE(tells_that_nobody_listens) {
  const auto closed_port = UnusedPort(this->io);
  auto flow = this->Open(closed_port);
  flow->Send(Bytes{1});
  BOOST_TEST(RunUntil(this->io, [&] { return this->refusals == 1; }));
}

// The target was down and has just come back. The refusal of the earlier datagram is still waiting
// in the socket when the next one is sent: it must not cost that one too.
BOOST_AUTO_TEST_CASE(a_refusal_does_not_eat_the_next_datagram) {
  const auto where = UnusedPort(this->io);
  auto flow = this->Open(where);
  flow->Send(Bytes{1});
  auto arrived = Bytes{};
  auto target = UdpPort::Open(this->io, {.local = where},
                              [&](const base::Endpoint&, std::span<const std::uint8_t> data) {
                                arrived.assign(data.begin(), data.end());
                              })
                    .value();
  BOOST_TEST(flow->Send(Bytes{2}));
  BOOST_TEST(RunUntil(this->io, [&] { return !arrived.empty() && this->refusals == 1; }));
  BOOST_TEST(arrived == Bytes{2});
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace anvildrum::net
