#include "net/udp_port.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "net/sockaddr.h"
#include "run_until.h"

namespace anvildrum::net {
namespace {

using Bytes = std::vector<std::uint8_t>;

struct Fixture {
  boost::asio::io_context io;

  auto Open(UdpPort::OnDatagram on_datagram, std::size_t max_datagram = 2048)
      -> std::unique_ptr<UdpPort> {
    const auto options = UdpPortOptions{.local = Loopback(), .max_datagram = max_datagram};
    return UdpPort::Open(this->io, options, std::move(on_datagram)).value();
  }
};

auto Ignore(const base::Endpoint&, std::span<const std::uint8_t>) -> void {}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(udp_port, Fixture)

BOOST_AUTO_TEST_CASE(keeps_order_and_content_over_many_batches) {
  constexpr auto datagrams = std::size_t{200};
  auto got = std::vector<Bytes>{};
  auto from = base::Endpoint{};
  auto receiver = this->Open([&](const base::Endpoint& sender, std::span<const std::uint8_t> data) {
    from = sender;
    got.emplace_back(data.begin(), data.end());
  });
  auto sender = this->Open(Ignore);
  for (auto index = std::size_t{0}; index < datagrams; ++index) {
    sender->Send(receiver->LocalEndpoint(), Bytes(index + 1, static_cast<std::uint8_t>(index)));
  }
  BOOST_TEST(RunUntil(this->io, [&] { return got.size() == datagrams; }));
  for (auto index = std::size_t{0}; index < got.size(); ++index) {
    BOOST_TEST(got[index] == Bytes(index + 1, static_cast<std::uint8_t>(index)));
  }
  BOOST_TEST((from == sender->LocalEndpoint()));
  BOOST_TEST(sender->Counts().sent == datagrams);
  BOOST_TEST(receiver->Counts().received == datagrams);
}

BOOST_AUTO_TEST_CASE(answers_from_inside_the_callback) {
  auto echo = std::unique_ptr<UdpPort>{};
  echo = this->Open([&](const base::Endpoint& sender, std::span<const std::uint8_t> data) {
    echo->Send(sender, data);
  });
  auto got = Bytes{};
  auto client = this->Open([&](const base::Endpoint&, std::span<const std::uint8_t> data) {
    got.assign(data.begin(), data.end());
  });
  const auto sent = Bytes{1, 2, 3};
  client->Send(echo->LocalEndpoint(), sent);
  BOOST_TEST(RunUntil(this->io, [&] { return !got.empty(); }));
  BOOST_TEST(got == sent);
}

// A client sends a datagram longer than the port takes. Passing on its first part would hand the
// target a request that the client never made; the port drops it whole, and the next one arrives.
BOOST_AUTO_TEST_CASE(what_a_callback_sends_through_another_port_leaves_with_its_return) {
  auto way_out = this->Open(Ignore);
  auto way_in = this->Open([&](const base::Endpoint& sender, std::span<const std::uint8_t> data) {
    way_out->Send(sender, data);
    BOOST_TEST(way_out->Counts().sent == 0U);
  });
  auto client = this->Open(Ignore);
  client->Send(way_in->LocalEndpoint(), Bytes{1});
  client->Flush();
  while (way_in->Counts().received == 0) this->io.run_one();
  BOOST_TEST(way_out->Counts().sent == 1U);
}

BOOST_AUTO_TEST_CASE(drops_an_oversized_datagram_whole) {
  auto got = std::vector<Bytes>{};
  auto receiver = this->Open(
      [&](const base::Endpoint&, std::span<const std::uint8_t> data) {
        got.emplace_back(data.begin(), data.end());
      },
      100);
  auto sender = this->Open(Ignore);
  sender->Send(receiver->LocalEndpoint(), Bytes(101, 1));
  sender->Send(receiver->LocalEndpoint(), Bytes(100, 2));
  BOOST_TEST(RunUntil(this->io, [&] { return !got.empty(); }));
  BOOST_TEST(got.size() == 1U);
  BOOST_TEST(got.front() == Bytes(100, 2));
  BOOST_TEST(receiver->Counts().oversized == 1U);
}

// One of the peers in a batch can't be reached (no IPv6 on an IPv4 socket; port 0 is refused by the
// system). The datagrams behind it belong to other flows and must leave all the same.
BOOST_AUTO_TEST_CASE(a_datagram_that_fails_does_not_hold_back_the_rest) {
  auto got = std::vector<Bytes>{};
  auto receiver = this->Open([&](const base::Endpoint&, std::span<const std::uint8_t> data) {
    got.emplace_back(data.begin(), data.end());
  });
  auto sender = this->Open(Ignore);
  const auto six = base::ParseEndpoint("[2001:db8::1]:9").value();
  sender->Send(receiver->LocalEndpoint(), Bytes{1});
  sender->Send(six, Bytes{2});
  sender->Send(Loopback(), Bytes{3});
  sender->Send(receiver->LocalEndpoint(), Bytes{4});
  BOOST_TEST(RunUntil(this->io, [&] { return got.size() == 2U; }));
  BOOST_TEST(got == (std::vector<Bytes>{{1}, {4}}));
  BOOST_TEST(sender->Counts().send_drops == 2U);
  BOOST_TEST(sender->Counts().sent == 2U);
}

BOOST_AUTO_TEST_CASE(may_be_destroyed_inside_its_callback) {
  auto calls = 0;
  auto receiver = std::unique_ptr<UdpPort>{};
  receiver = this->Open([&](const base::Endpoint&, std::span<const std::uint8_t>) {
    ++calls;
    receiver.reset();
  });
  auto sender = this->Open(Ignore);
  sender->Send(receiver->LocalEndpoint(), Bytes{1});
  sender->Send(receiver->LocalEndpoint(), Bytes{2});
  BOOST_TEST(RunUntil(this->io, [&] { return calls > 0; }));
  this->io.poll();
  BOOST_TEST(calls == 1);
}

BOOST_AUTO_TEST_CASE(names_the_address_that_cannot_be_bound) {
  auto first = this->Open(Ignore);
  const auto error = base::ErrorOf<NetError>([&] {
    return UdpPort::Open(this->io, UdpPortOptions{.local = first->LocalEndpoint()}, Ignore);
  });
  BOOST_REQUIRE(error.has_value());
  BOOST_TEST((error->code == NetErrorCode::kBind));
  BOOST_TEST(error->where == base::FormatEndpoint(first->LocalEndpoint()));
}

BOOST_AUTO_TEST_CASE(addresses_survive_the_system_form) {
  for (const auto* text : {"192.0.2.7:5683", "[2001:db8::7]:5684"}) {
    const auto endpoint = base::ParseEndpoint(text).value();
    const auto system = ToSocketAddress(endpoint, FamilyOf(endpoint));
    BOOST_TEST((FromSocketAddress(system.storage) == endpoint));
  }
  const auto four = base::ParseEndpoint("192.0.2.7:5683").value();
  BOOST_TEST((FromSocketAddress(ToSocketAddress(four, AF_INET6).storage) == four));
  const auto six = base::ParseEndpoint("[2001:db8::7]:5684").value();
  BOOST_TEST(ToSocketAddress(six, AF_INET).length == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace anvildrum::net
