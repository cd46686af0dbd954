#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <string>

#include "base/tcp_endpoint.h"
#include "platform/client.h"
#include "platform/tests/client_rig.h"

namespace anvildrum::platform {
namespace {

using boost::asio::ip::tcp;

/// Answers one call with an object, a piece of its bytes at a time.
struct SlowServer {
  static constexpr auto kPieces = 25U;
  static constexpr auto kPieceBytes = std::size_t{1000};
  static constexpr auto kBetween = base::milliseconds{100};

  explicit SlowServer(boost::asio::io_context& context)
      : acceptor(context, tcp::endpoint{boost::asio::ip::address_v4::loopback(), 0}),
        socket(context),
        timer(context) {
    const auto value = '"' + std::string(kPieces * kPieceBytes, 'x') + '"';
    this->answer =
        "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: " + std::to_string(value.size()) +
        "\r\n\r\n" + value;
    this->acceptor.async_accept(this->socket, [this](boost::system::error_code error) {
      if (!error) this->Read();
    });
  }

  auto Endpoint() -> base::Endpoint {
    return base::EndpointFromV4(0x7f000001, this->acceptor.local_endpoint().port());
  }

  auto Read() -> void {
    this->socket.async_read_some(boost::asio::buffer(this->request),
                                 [this](boost::system::error_code error, std::size_t) {
                                   if (!error) this->SendPiece();
                                 });
  }

  auto SendPiece() -> void {
    const auto piece = this->answer.substr(this->sent, kPieceBytes);
    auto error = boost::system::error_code{};
    boost::asio::write(this->socket, boost::asio::buffer(piece), error);
    this->sent += piece.size();
    if (error || this->sent == this->answer.size()) return;
    this->timer.expires_after(kBetween);
    this->timer.async_wait([this](boost::system::error_code ended) {
      if (!ended) this->SendPiece();
    });
  }

  tcp::acceptor acceptor;
  tcp::socket socket;
  boost::asio::steady_timer timer;
  std::array<char, 4096> request{};
  std::string answer;
  std::size_t sent = 0;
};

// The answer to a read comes over a link so narrow that all of it takes longer than its first bytes
// may take: given up, it would be asked for again and again.
BOOST_AUTO_TEST_CASE(an_answer_that_comes_slowly_is_received_whole) {
  auto context = boost::asio::io_context{1};
  auto server = SlowServer{context};
  auto client = ClientBuilder{}
                    .WithEndpoint(server.Endpoint())
                    .WithCallTimeout(base::seconds{2})
                    .Build(context);
  auto outcome = std::optional<Outcome<Object>>{};
  client.Get("config", [&](const Outcome<Object>& given) { outcome = given; });
  BOOST_TEST(!client.IsReceivingObject());
  auto was_receiving = false;
  const auto deadline = base::Clock::now() + kLongest;
  while (!outcome && base::Clock::now() < deadline) {
    context.run_one_for(base::milliseconds{10});
    was_receiving = was_receiving || client.IsReceivingObject();
  }
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST(std::holds_alternative<Object>(*outcome));
  BOOST_TEST(was_receiving);
  BOOST_TEST(!client.IsReceivingObject());
  BOOST_TEST(client.Counts().cut_short == 0U);
}

// Whoever gives a watch up that does not answer has to know that its answer is coming.
BOOST_AUTO_TEST_CASE(a_caller_is_told_once_that_an_answer_has_begun) {
  auto context = boost::asio::io_context{1};
  auto server = SlowServer{context};
  auto client = ClientBuilder{}.WithEndpoint(server.Endpoint()).Build(context);
  auto begun = 0;
  auto begun_before_end = 0;
  auto ended = false;
  const auto end = [&](const Outcome<Listing>& /*outcome*/) {
    begun_before_end = begun;
    ended = true;
  };
  client.Watch("", 1, base::milliseconds{10}, end, [&] { ++begun; });
  const auto deadline = base::Clock::now() + kLongest;
  while (!ended && base::Clock::now() < deadline) context.run_one_for(base::milliseconds{10});
  BOOST_TEST(ended);
  BOOST_TEST(begun_before_end == 1);
  BOOST_TEST(begun == 1);
}

}  // namespace
}  // namespace anvildrum::platform
