#include "net/operator_port.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <set>
#include <utility>

#include "base/clock.h"
#include "base/tcp_endpoint.h"
#include "net/internal/route_table.h"

namespace anvildrum::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kAcceptPause = base::milliseconds{100};

// However slowly its client reads, an answer gives its place back after this long.
constexpr auto kAnswerWithin = base::minutes{1};

auto Fail(NetErrorCode code, const boost::system::error_code& error, const base::Endpoint& where)
    -> boost::leaf::error_id {
  return boost::leaf::new_error(NetError{code, error.value(), base::FormatEndpoint(where)});
}

auto Split(std::string_view target) -> std::pair<std::string_view, std::string_view> {
  const auto mark = target.find('?');
  if (mark == std::string_view::npos) return {target, {}};
  return {target.substr(0, mark), target.substr(mark + 1)};
}

}  // namespace

struct OperatorPort::Impl : std::enable_shared_from_this<OperatorPort::Impl> {
  struct Session;

  Impl(asio::io_context& io, const OperatorPortOptions& options)
      : options(options), acceptor(io), retry(io) {}

  auto Listen() -> base::Result<void> {
    const auto wanted = base::ToTcp(this->options.local);
    auto error = boost::system::error_code{};
    this->acceptor.open(wanted.protocol(), error);
    if (error) return Fail(NetErrorCode::kOpen, error, this->options.local);
    this->acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (error) return Fail(NetErrorCode::kOption, error, this->options.local);
    this->acceptor.bind(wanted, error);
    if (error) return Fail(NetErrorCode::kBind, error, this->options.local);
    this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error) return Fail(NetErrorCode::kBind, error, this->options.local);
    this->local = this->options.local;
    this->local.port = this->acceptor.local_endpoint().port();
    return {};
  }

  auto Accept() -> void;
  auto AcceptLater() -> void;
  auto Close() -> void;

  OperatorPortOptions options;
  tcp::acceptor acceptor;
  asio::steady_timer retry;
  base::Endpoint local;
  internal::RouteTable routes;
  OperatorPortCounts counts;
  std::set<Session*> sessions;
  bool closed = false;
};

/// One client's connection: read a request, answer it, and again.
struct OperatorPort::Impl::Session : std::enable_shared_from_this<Session> {
  Session(std::shared_ptr<Impl> port, tcp::socket socket)
      : port(std::move(port)), stream(std::move(socket)) {
    this->port->sessions.insert(this);
  }
  Session(const Session&) = delete;
  auto operator=(const Session&) -> Session& = delete;
  ~Session() { this->port->sessions.erase(this); }

  auto Read() -> void {
    this->parser.emplace();
    this->parser->body_limit(this->port->options.max_body);
    this->stream.expires_after(this->port->options.timeout);
    http::async_read(this->stream, this->buffer, *this->parser,
                     [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                       self->HandleRead(error);
                     });
  }

  auto HandleRead(beast::error_code error) -> void {
    if (this->port->closed || error == http::error::end_of_stream) return;
    if (error == beast::error::timeout) {
      ++this->port->counts.timed_out;
      return;
    }
    if (error.category() == http::make_error_code(http::error::bad_method).category()) {
      const auto too_long = error == http::error::body_limit;
      ++(too_long ? this->port->counts.too_large : this->port->counts.malformed);
      this->Write({.status = too_long ? 413U : 400U, .body = "malformed request\n"}, false);
      return;
    }
    if (error) return;
    this->Answer();
  }

  auto Answer() -> void {
    ++this->port->counts.requests;
    const auto& request = this->parser->get();
    const auto target = request.target();
    const auto method = request.method_string();
    const auto [path, query] = Split({target.data(), target.size()});
    auto response =
        internal::Dispatch(this->port->routes, {.method = {method.data(), method.size()},
                                                .path = path,
                                                .query = query,
                                                .body = request.body()});
    this->CountRefusal(response.status);
    this->Write(std::move(response), request.keep_alive());
  }

  auto CountRefusal(unsigned status) -> void {
    if (status == internal::kNotFound) ++this->port->counts.unknown_path;
    if (status == internal::kMethodNotAllowed) ++this->port->counts.wrong_method;
  }

  auto Write(OperatorResponse answer, bool keep_alive) -> void {
    this->response.emplace();
    this->response->result(answer.status);
    this->response->set(http::field::content_type, answer.content_type);
    this->response->body() = std::move(answer.body);
    this->response->keep_alive(keep_alive);
    this->response->prepare_payload();
    this->serializer.emplace(*this->response);
    this->answer_began = base::Now();
    this->WriteSome();
  }

  // Safeguard: with one deadline for the whole answer, a large one that many ask for over a narrow
  // link is cut off and asked for again, for ever.
  auto WriteSome() -> void {
    const auto left = this->answer_began + kAnswerWithin - base::Now();
    this->stream.expires_after(std::min<base::Duration>(this->port->options.timeout, left));
    http::async_write_some(this->stream, *this->serializer,
                           [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                             self->HandleWrite(error);
                           });
  }

  auto HandleWrite(beast::error_code error) -> void {
    if (error == beast::error::timeout) ++this->port->counts.timed_out;
    if (error || this->port->closed) return;
    if (!this->serializer->is_done()) return this->WriteSome();
    if (this->response->keep_alive()) {
      this->Read();
      return;
    }
    auto ignored = beast::error_code{};
    this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  }

  std::shared_ptr<Impl> port;
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  std::optional<http::response<http::string_body>> response;
  std::optional<http::response_serializer<http::string_body>> serializer;
  base::TimePoint answer_began{};
};

auto OperatorPort::Impl::Accept() -> void {
  this->acceptor.async_accept(
      [self = this->shared_from_this()](boost::system::error_code error, tcp::socket socket) {
        if (self->closed) return;
        if (error) {
          self->AcceptLater();
          return;
        }
        if (self->sessions.size() >= self->options.max_connections) {
          ++self->counts.turned_away;
        } else {
          std::make_shared<Session>(self, std::move(socket))->Read();
        }
        self->Accept();
      });
}

// accept fails at once while the process is out of descriptors: without the pause the loop would
// spin and starve the datagrams.
auto OperatorPort::Impl::AcceptLater() -> void {
  this->retry.expires_after(kAcceptPause);
  this->retry.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
    if (!error && !self->closed) self->Accept();
  });
}

auto OperatorPort::Impl::Close() -> void {
  this->closed = true;
  auto ignored = boost::system::error_code{};
  this->acceptor.close(ignored);
  this->retry.cancel();
  for (auto* session : this->sessions) session->stream.cancel();
}

auto OperatorPort::Open(asio::io_context& io, const OperatorPortOptions& options)
    -> base::Result<std::unique_ptr<OperatorPort>> {
  auto impl = std::make_shared<Impl>(io, options);
  auto listening = impl->Listen();
  if (!listening) return listening.error();
  impl->Accept();
  return std::unique_ptr<OperatorPort>(new OperatorPort(std::move(impl)));
}

OperatorPort::OperatorPort(std::shared_ptr<Impl> impl) : impl(std::move(impl)) {}

OperatorPort::~OperatorPort() { this->impl->Close(); }

auto OperatorPort::Route(std::string method, std::string path, Handler handler) -> void {
  this->impl->routes.push_back({std::move(method), std::move(path), std::move(handler)});
}

auto OperatorPort::LocalEndpoint() const -> const base::Endpoint& { return this->impl->local; }

auto OperatorPort::Counts() const -> const OperatorPortCounts& { return this->impl->counts; }

}  // namespace anvildrum::net
