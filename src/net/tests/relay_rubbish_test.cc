#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <zmq.hpp>

#include "net/relay_socket.h"
#include "run_until.h"

namespace anvildrum::net {
namespace {

/// A parent, and a child that shows whether it still serves.
struct Fixture {
  boost::asio::io_context io;
  RelayContext parents;
  RelayContext children;
  zmq::context_t strangers;
  CurveKeyPair parent_keys = GenerateCurveKeys();
  CurveKeyPair child_keys = GenerateCurveKeys();
  std::size_t got = 0;
  std::unique_ptr<RelayServer> server;

  Fixture() {
    auto options = RelayServerOptions{.local = Loopback()};
    options.security = {.own = this->parent_keys, .accepted = {this->child_keys.public_key}};
    auto on_message = [this](const RelayPeer&, std::span<const std::uint8_t>) { ++this->got; };
    this->server = RelayServer::Open(this->parents, this->io, options, on_message).value();
  }

  /// A client of ZeroMQ's own that knows `server_key`.
  auto Connect(const CurveKeyPair& own, const std::string& server_key) -> zmq::socket_t {
    auto socket = zmq::socket_t(this->strangers, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::curve_publickey, own.public_key);
    socket.set(zmq::sockopt::curve_secretkey, own.secret_key);
    socket.set(zmq::sockopt::curve_serverkey, server_key);
    socket.connect("tcp://" + base::FormatEndpoint(this->server->LocalEndpoint()));
    return socket;
  }

  template <typename Count>
  auto Counted(Count count) -> bool {
    return RunUntil(this->io, [&] { return count(this->server->Counts()) > 0; });
  }

  auto Serves() -> bool {
    const auto before = this->got;
    const auto options = RelayLinkOptions{
        .parent = this->server->LocalEndpoint(),
        .security = {.own = this->child_keys, .accepted = {this->parent_keys.public_key}}};
    auto link = RelayLink::Open(this->children, this->io, options,
                                {.on_message = [](std::span<const std::uint8_t>) {}})
                    .value();
    const auto word = std::uint8_t{1};
    return RunUntil(this->io,
                    [&] {
                      return link->Send({&word, 1});
                    }) &&
           RunUntil(this->io, [&] { return this->got > before; });
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(relay_rubbish, Fixture)

// A scanner sends what is no ZMTP to the control port. Its connection ends, the operator sees the
// count of such handshakes rise, and the children are served as before.
BOOST_AUTO_TEST_CASE(bytes_that_are_no_handshake_are_counted) {
  auto scanner = boost::asio::ip::tcp::socket{this->io};
  scanner.connect({boost::asio::ip::address_v4::loopback(), this->server->LocalEndpoint().port});
  boost::asio::write(scanner, boost::asio::buffer(std::string(100, 'x')));
  BOOST_TEST(this->Counted([](const auto& counts) { return counts.handshakes_malformed; }));
  BOOST_TEST(this->Serves());
}

// Children come and go, and a health check connects and closes. The first aren't counted at all,
// the second is no rubbish.
BOOST_AUTO_TEST_CASE(a_connection_that_is_closed_in_its_handshake_is_told_from_rubbish) {
  for (auto round = 0; round < 3; ++round) BOOST_TEST(this->Serves());
  auto scanner = boost::asio::ip::tcp::socket{this->io};
  scanner.connect({boost::asio::ip::address_v4::loopback(), this->server->LocalEndpoint().port});
  scanner.close();
  BOOST_TEST(this->Counted([](const auto& counts) { return counts.handshakes_broken_off; }));
  BOOST_TEST(this->server->Counts().handshakes_malformed == 0U);
}

BOOST_AUTO_TEST_CASE(a_peer_without_keys_or_with_another_parents_is_counted) {
  auto open = zmq::socket_t(this->strangers, zmq::socket_type::dealer);
  open.set(zmq::sockopt::linger, 0);
  open.connect("tcp://" + base::FormatEndpoint(this->server->LocalEndpoint()));
  // Both ends see that the other's mechanism is not theirs, and either may hang up first.
  const auto refused = [](const auto& counts) {
    return counts.handshakes_malformed + counts.handshakes_broken_off;
  };
  BOOST_TEST(this->Counted(refused));
  BOOST_TEST(refused(this->server->Counts()) == 1U);
  open.close();
  const auto before = this->server->Counts().handshakes_malformed;
  auto stranger = this->Connect(this->child_keys, GenerateCurveKeys().public_key);
  BOOST_TEST(this->Counted(
      [&](const auto& counts) { return counts.handshakes_malformed > before ? 1U : 0U; }));
  BOOST_TEST(this->Serves());
}

// A peer with the right key sends a message of three frames, which no instance of ours does.
BOOST_AUTO_TEST_CASE(a_message_of_several_frames_is_counted_and_not_delivered) {
  auto peer = this->Connect(this->child_keys, this->parent_keys.public_key);
  peer.send(zmq::str_buffer("one"), zmq::send_flags::sndmore);
  peer.send(zmq::str_buffer("two"), zmq::send_flags::sndmore);
  peer.send(zmq::str_buffer("three"), zmq::send_flags::none);
  BOOST_TEST(this->Counted([](const auto& counts) { return counts.malformed; }));
  BOOST_TEST(this->got == 0U);
  BOOST_TEST(this->Serves());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace anvildrum::net
