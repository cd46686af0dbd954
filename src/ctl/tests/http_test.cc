#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "ctl/internal/http_client.h"
#include "ctl/object_store.h"

namespace anvildrum::ctl {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kLimit = base::seconds(20);
constexpr auto kShortLimit = base::milliseconds(50);

// A server that takes one connection on a free port, reads a request's head and answers with the
// given bytes.
class OneAnswer {
 public:
  explicit OneAnswer(std::string answer) : answer(std::move(answer)) {
    this->thread = std::thread([this] { this->Serve(); });
  }
  OneAnswer(const OneAnswer&) = delete;
  auto operator=(const OneAnswer&) -> OneAnswer& = delete;
  ~OneAnswer() { this->thread.join(); }

  auto Address() const -> base::Endpoint {
    return base::EndpointFromV4(0x7f000001, this->acceptor.local_endpoint().port());
  }

  auto Request() -> std::string {
    if (this->thread.joinable()) this->thread.join();
    this->thread = std::thread([] {});
    return this->request;
  }

 private:
  auto Serve() -> void {
    auto socket = this->acceptor.accept();
    auto buffer = asio::streambuf{};
    auto code = boost::system::error_code{};
    auto length = asio::read_until(socket, buffer, "\r\n\r\n", code);
    auto begin = asio::buffers_begin(buffer.data());
    this->request.assign(begin, begin + static_cast<std::ptrdiff_t>(length));
    asio::write(socket, asio::buffer(this->answer), code);
    // An empty answer stands for a server that hangs: it closes only after the client has.
    auto rest = std::array<char, 1>{};
    if (this->answer.empty()) socket.read_some(asio::buffer(rest), code);
  }

  asio::io_context context;
  tcp::acceptor acceptor{this->context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  std::string answer;
  std::string request;
  std::thread thread;
};

auto CodeOf(const base::Endpoint& server, base::Duration limit) -> std::optional<CtlErrorCode> {
  auto error = base::ErrorOf<CtlError>([&] { return CallHttp(server, {}, limit); });
  if (!error) return std::nullopt;
  return error->code;
}

BOOST_AUTO_TEST_CASE(an_object_is_read_with_its_revision) {
  auto server = OneAnswer("HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: 2\r\n\r\n{}");
  auto object = HttpObjectStore({server.Address()}).get("config").value();
  BOOST_REQUIRE(object.has_value());
  BOOST_TEST(object->revision == 7U);
  BOOST_TEST(object->value == "{}");
  BOOST_TEST(server.Request().starts_with("GET /v1/objects/config HTTP/1.1\r\n"));
}

BOOST_AUTO_TEST_CASE(a_write_is_conditional) {
  auto server = OneAnswer("HTTP/1.1 412 Precondition Failed\r\nContent-Length: 0\r\n\r\n");
  auto outcome = HttpObjectStore({server.Address()}).put("config", "{}", 7).value();
  BOOST_CHECK(outcome == PutOutcome::kConflict);
  BOOST_TEST(server.Request().find("If-Match: \"7\"\r\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_list_reads_its_items) {
  constexpr auto body = std::string_view{
      R"({"revision": 9, "items": [{"key": "balancers/b1", "revision": 4, "value": {"a": 1}}]})"};
  auto server = OneAnswer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                          "\r\n\r\n" + std::string(body));
  auto objects = HttpObjectStore({server.Address()}).list("balancers/").value();
  BOOST_REQUIRE(objects.size() == 1);
  BOOST_TEST(objects[0].key == "balancers/b1");
  BOOST_TEST(objects[0].value == R"({"a":1})");
}

// Whether a write may have taken effect hangs on this difference: refused connections can be tried
// again freely, a call that was sent can not.
BOOST_AUTO_TEST_CASE(a_refused_connection_is_told_from_a_lost_answer) {
  auto port = std::uint16_t{0};
  {
    auto context = asio::io_context{};
    auto acceptor = tcp::acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    port = acceptor.local_endpoint().port();
  }
  BOOST_CHECK(CodeOf(base::EndpointFromV4(0x7f000001, port), kLimit) == CtlErrorCode::kUnreachable);
  auto broken = OneAnswer("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf");
  BOOST_CHECK(CodeOf(broken.Address(), kLimit) == CtlErrorCode::kNoAnswer);
  auto rubbish = OneAnswer("\x01\x02 rubbish\r\n\r\n");
  BOOST_CHECK(CodeOf(rubbish.Address(), kLimit) == CtlErrorCode::kNoAnswer);
}

// The operator is told "nothing was changed" of a patch that the platform has taken: its answer was
// lost, and the store called that a connection that was never made.
BOOST_AUTO_TEST_CASE(the_store_tells_a_lost_answer_of_a_write) {
  auto server = OneAnswer("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf");
  auto store = HttpObjectStore({server.Address()});
  auto error = base::ErrorOf<CtlError>([&] { return store.put("config", "{}", 7); });
  BOOST_REQUIRE(error.has_value());
  BOOST_CHECK(error->code == CtlErrorCode::kNoAnswer);
  BOOST_TEST(error->subject == base::FormatEndpoint(server.Address()));
}

// The platform takes the connection and then freezes. Without a limit the tool would never return.
BOOST_AUTO_TEST_CASE(a_silent_server_is_given_up) {
  auto server = OneAnswer("");
  BOOST_CHECK(CodeOf(server.Address(), kShortLimit) == CtlErrorCode::kNoAnswer);
}

}  // namespace
}  // namespace anvildrum::ctl
