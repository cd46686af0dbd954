#include "net/operator_port.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <string>

#include "run_until.h"

namespace anvildrum::net {
namespace {

using boost::asio::ip::tcp;

/// A raw client: what it sends is given, and it collects bytes until the server closes.
struct Client {
  Client(boost::asio::io_context& io, const base::Endpoint& server) : socket(io) {
    this->socket.connect({boost::asio::ip::address_v4::loopback(), server.port});
  }

  auto Send(std::string_view text) -> void {
    boost::asio::write(this->socket, boost::asio::buffer(text));
  }

  auto Collect() -> void {
    boost::asio::async_read(this->socket, boost::asio::dynamic_buffer(this->answer),
                            [this](boost::system::error_code, std::size_t) { this->done = true; });
  }

  /// Reads so many bytes, waits a while, and again.
  auto CollectSlowly(boost::asio::steady_timer& timer, std::size_t bytes) -> void {
    auto buffer = boost::asio::dynamic_buffer(this->answer);
    boost::asio::async_read(this->socket, buffer, boost::asio::transfer_exactly(bytes),
                            [this, &timer, bytes](boost::system::error_code error, std::size_t) {
                              this->done = error.failed();
                              if (this->done) return;
                              timer.expires_after(kReadPause);
                              timer.async_wait([this, &timer, bytes](boost::system::error_code) {
                                this->CollectSlowly(timer, bytes);
                              });
                            });
  }

  static constexpr auto kReadPause = base::milliseconds{50};

  tcp::socket socket;
  std::string answer;
  bool done = false;
};

struct Fixture {
  boost::asio::io_context io;
  std::unique_ptr<OperatorPort> port;

  auto Open(OperatorPortOptions options = {}) -> void {
    options.local = Loopback();
    this->port = OperatorPort::Open(this->io, options).value();
    this->port->Route("GET", "/status", [](const OperatorRequest& request) {
      return OperatorResponse{.body = "status " + std::string{request.query}};
    });
    this->port->Route("POST", "/flows/", [](const OperatorRequest& request) {
      return OperatorResponse{.status = 202,
                              .body = std::string{request.path} + "=" + std::string{request.body}};
    });
  }

  auto RunUntilDone(Client& client) -> bool {
    client.Collect();
    return RunUntil(this->io, [&] { return client.done; });
  }

  auto Ask(std::string_view text) -> std::string {
    auto client = Client{this->io, this->port->LocalEndpoint()};
    client.Send(text);
    BOOST_TEST(this->RunUntilDone(client));
    return client.answer;
  }

  auto Serves() -> bool {
    return this->Ask("GET /status?x=1 HTTP/1.0\r\n\r\n").ends_with("status x=1");
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(operator_port, Fixture)

BOOST_AUTO_TEST_CASE(routes_by_method_and_path) {
  this->Open();
  BOOST_TEST(this->Serves());
  const auto post = this->Ask("POST /flows/7 HTTP/1.0\r\nContent-Length: 2\r\n\r\nab");
  BOOST_TEST(post.starts_with("HTTP/1.1 202"));
  BOOST_TEST(post.ends_with("/flows/7=ab"));
  BOOST_TEST(this->Ask("GET /nothing HTTP/1.0\r\n\r\n").starts_with("HTTP/1.1 404"));
  BOOST_TEST(this->Ask("PUT /status HTTP/1.0\r\n\r\n").starts_with("HTTP/1.1 405"));
  BOOST_TEST(this->port->Counts().unknown_path == 1U);
  BOOST_TEST(this->port->Counts().wrong_method == 1U);
}

// A scanner sends what is no HTTP, and a body over the limit. Each gets an error on its own
// connection, and the next operator is served.
BOOST_AUTO_TEST_CASE(survives_rubbish) {
  this->Open({.max_body = 10});
  BOOST_TEST(this->Ask("\x16\x03\x01 rubbish\r\n\r\n").starts_with("HTTP/1.1 400"));
  const auto too_long =
      this->Ask("POST /flows/1 HTTP/1.0\r\nContent-Length: 11\r\n\r\n12345678901");
  BOOST_TEST(too_long.starts_with("HTTP/1.1 413"));
  BOOST_TEST(this->port->Counts().malformed == 1U);
  BOOST_TEST(this->port->Counts().too_large == 1U);
  BOOST_TEST(this->Serves());
}

// A client connects and sends half a request, then nothing. Without the time limit it would hold
// its place for ever; 32 such clients would lock the operators out.
BOOST_AUTO_TEST_CASE(a_silent_client_loses_its_place) {
  this->Open({.max_connections = 1, .timeout = base::seconds{1}});
  auto silent = Client{this->io, this->port->LocalEndpoint()};
  silent.Send("GET /sta");
  BOOST_TEST(this->RunUntilDone(silent));
  BOOST_TEST(this->port->Counts().timed_out == 1U);
  BOOST_TEST(this->Serves());
}

// A large answer over a narrow link takes longer than a client may be silent. Cut off, it would be
// asked for again, and none would ever come whole.
BOOST_AUTO_TEST_CASE(an_answer_that_is_read_slowly_is_sent_whole) {
  constexpr auto bytes = std::size_t{32} * 1024 * 1024;
  this->Open({.timeout = base::seconds{1}});
  this->port->Route("GET", "/large", [](const OperatorRequest&) {
    return OperatorResponse{.body = std::string(bytes, 'x')};
  });
  auto client = Client{this->io, this->port->LocalEndpoint()};
  client.Send("GET /large HTTP/1.0\r\n\r\n");
  auto timer = boost::asio::steady_timer{this->io};
  client.CollectSlowly(timer, bytes / 64);
  BOOST_TEST(RunUntil(this->io, [&] { return client.done; }));
  BOOST_TEST(client.answer.size() > bytes);
  BOOST_TEST(this->port->Counts().timed_out == 0U);
}

BOOST_AUTO_TEST_CASE(turns_away_connections_over_the_limit) {
  this->Open({.max_connections = 1});
  auto first = Client{this->io, this->port->LocalEndpoint()};
  first.Send("GET /status HTTP/1.1\r\n");
  auto second = Client{this->io, this->port->LocalEndpoint()};
  BOOST_TEST(this->RunUntilDone(second));
  BOOST_TEST(second.answer.empty());
  BOOST_TEST(this->port->Counts().turned_away == 1U);
  first.Send("Connection: close\r\n\r\n");
  BOOST_TEST(this->RunUntilDone(first));
  BOOST_TEST(first.answer.starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace anvildrum::net
