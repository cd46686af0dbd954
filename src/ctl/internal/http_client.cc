#include "ctl/internal/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "base/tcp_endpoint.h"

namespace anvildrum::ctl {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

constexpr auto kHttpVersion = 11;
constexpr auto kFirstError = 300;
constexpr auto kMaxBody = std::uint64_t{64} << 20;

// Safeguard: a server that takes a connection and then says nothing would hold the tool for ever.
// Blocking calls of Beast know no time limit, so each step is an asynchronous one under the
// stream's limit, run to its end before the next.
struct Connection {
  asio::io_context context;
  beast::tcp_stream stream{this->context};
  error_code failure;

  auto Finish() -> bool {
    this->context.restart();
    this->context.run();
    return !this->failure;
  }

  auto Note() {
    return [this](error_code code, auto&&...) { this->failure = code; };
  }
};

auto MakeRequest(const base::Endpoint& server, const HttpRequest& request)
    -> http::request<http::string_body> {
  auto message = http::request<http::string_body>{};
  message.version(kHttpVersion);
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, base::FormatEndpoint(server));
  message.set(http::field::connection, "close");
  for (const auto& [name, value] : request.headers) message.set(name, value);
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

auto Fail(CtlErrorCode code, const base::Endpoint& server) -> boost::leaf::error_id {
  return boost::leaf::new_error(CtlError{code, base::FormatEndpoint(server), 0});
}

}  // namespace

auto CallHttp(const base::Endpoint& server, const HttpRequest& request, base::Duration limit)
    -> base::Result<HttpAnswer> {
  auto connection = Connection{};
  connection.stream.expires_after(limit);
  connection.stream.async_connect(base::ToTcp(server), connection.Note());
  if (!connection.Finish()) return Fail(CtlErrorCode::kUnreachable, server);
  auto message = MakeRequest(server, request);
  http::async_write(connection.stream, message, connection.Note());
  if (!connection.Finish()) return Fail(CtlErrorCode::kNoAnswer, server);
  auto buffer = beast::flat_buffer{};
  auto parser = http::response_parser<http::string_body>{};
  parser.body_limit(kMaxBody);
  http::async_read(connection.stream, buffer, parser, connection.Note());
  if (!connection.Finish()) return Fail(CtlErrorCode::kNoAnswer, server);
  auto& answer = parser.get();
  return HttpAnswer{static_cast<int>(answer.result_int()), std::string(answer[http::field::etag]),
                    std::move(answer.body())};
}

auto FetchBody(const base::Endpoint& server, const HttpRequest& request, base::Duration limit)
    -> base::Result<std::string> {
  BOOST_LEAF_AUTO(answer, CallHttp(server, request, limit));
  if (answer.status < kFirstError) return std::move(answer.body);
  return boost::leaf::new_error(
      CtlError{CtlErrorCode::kServerError, base::FormatEndpoint(server), answer.status});
}

}  // namespace anvildrum::ctl
