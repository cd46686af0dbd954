#include "platform_standin/server.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <list>
#include <optional>
#include <sstream>
#include <utility>
#include <vector>

namespace anvildrum::platform_standin {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

// Over the largest value, so that a value that is too large is answered 413 rather than cut off.
constexpr auto kBodyLimit = 8 * kMaxValueSize;

constexpr auto kBadRequest = 400U;
constexpr auto kNoContent = 204U;
constexpr auto kContentTooLarge = 413U;
constexpr auto kHttp11 = 11U;

auto ToAsio(const base::Endpoint& endpoint) -> tcp::endpoint {
  auto address = asio::ip::address_v6(endpoint.address);
  if (!base::IsV4(endpoint)) return {address, endpoint.port};
  return {asio::ip::make_address_v4(asio::ip::v4_mapped, address), endpoint.port};
}

auto FromAsio(const tcp::endpoint& endpoint) -> base::Endpoint {
  if (endpoint.address().is_v4()) {
    return base::EndpointFromV4(endpoint.address().to_v4().to_uint(), endpoint.port());
  }
  return {endpoint.address().to_v6().to_bytes(), endpoint.port()};
}

// Whether the sender wrote something that is not HTTP, rather than went away.
auto IsMalformed(beast::error_code error) -> bool {
  auto http_category =
      http::make_error_code(http::error::end_of_stream).category() == error.category();
  return http_category && error != http::error::end_of_stream &&
         error != http::error::partial_message;
}

}  // namespace

struct Session;

struct ServerCore : std::enable_shared_from_this<ServerCore> {
  explicit ServerCore(asio::io_context& context) : acceptor(context) {}

  auto Accept() -> void;
  auto ChangeSeen() -> void;
  auto CloseSessions(const Session* but = nullptr) -> void;

  tcp::acceptor acceptor;
  Platform platform;
  std::list<std::weak_ptr<Session>> sessions;
};

/// One connection. It lives as long as an operation on it is pending.
struct Session : std::enable_shared_from_this<Session> {
  using CorePtr = std::shared_ptr<ServerCore>;

  Session(tcp::socket socket, CorePtr owner)
      : stream(std::move(socket)), timer(this->stream.get_executor()), core(std::move(owner)) {}

  auto ReadNext() -> void;
  auto Process() -> void;
  auto Hold(HeldWatch watch) -> void;
  auto NoticeClose() -> void;
  auto ReleaseWatch(bool timed_out) -> void;
  auto Deliver(Answer answer) -> void;
  auto Send(const Answer& answer) -> void;
  auto SendHalf() -> void;
  auto Close() -> void;

  beast::tcp_stream stream;
  asio::steady_timer timer;
  CorePtr core;
  beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  http::response<http::string_body> response;
  std::string half;
  std::optional<HeldWatch> held;
  std::uint64_t holds = 0;  ///< watches held so far on this connection
};

auto Session::ReadNext() -> void {
  this->parser.emplace();
  this->parser->body_limit(kBodyLimit);
  auto done = [self = this->shared_from_this()](beast::error_code error, std::size_t) {
    if (!error) return self->Process();
    if (!IsMalformed(error)) return self->Close();
    ++self->core->platform.counts.malformed;
    auto status = error == http::error::body_limit ? kContentTooLarge : kBadRequest;
    self->Send(Answer{status, 0, "{}", Delivery::kWhole});
  };
  http::async_read(this->stream, this->buffer, *this->parser, std::move(done));
}

auto Session::Process() -> void {
  const auto& message = this->parser->get();
  auto request = Request{message.method_string(), message.target(), message[http::field::if_match],
                         message[http::field::if_none_match], message.body()};
  auto revision = this->core->platform.store.revision;
  auto was_down = this->core->platform.faults.down;
  auto handled = Handle(this->core->platform, request);
  if (this->core->platform.store.revision != revision) this->core->ChangeSeen();
  auto cut = !was_down && this->core->platform.faults.down;
  if (handled.held) return this->Hold(*handled.held);
  if (cut) this->core->CloseSessions(this);
  if (handled.control) return this->Send(handled.answer);
  this->Deliver(std::move(handled.answer));
}

auto Session::Hold(HeldWatch watch) -> void {
  ++this->holds;
  ++this->core->platform.counts.waiting_watches;
  this->held = std::move(watch);
  this->timer.expires_after(std::chrono::milliseconds(this->held->timeout_ms));
  this->timer.async_wait([self = this->shared_from_this()](beast::error_code error) {
    if (!error) self->ReleaseWatch(true);
  });
  this->NoticeClose();
  this->ReleaseWatch(false);
}

// A client that gives a watch up closes its connection; without this the watch would be counted as
// waiting until its time is over.
auto Session::NoticeClose() -> void {
  auto readable = [self = this->shared_from_this(), hold = this->holds](beast::error_code error) {
    if (!self->held || self->holds != hold) return;
    if (error || self->stream.socket().available(error) == 0) self->Close();
  };
  this->stream.socket().async_wait(tcp::socket::wait_read, std::move(readable));
}

auto Session::ReleaseWatch(bool timed_out) -> void {
  if (!this->held) return;
  auto answer = AnswerWatch(this->core->platform, *this->held, timed_out);
  if (!answer) return;
  this->held.reset();
  --this->core->platform.counts.waiting_watches;
  this->timer.cancel();
  this->Deliver(std::move(*answer));
}

auto Session::Deliver(Answer answer) -> void {
  auto delay = std::chrono::milliseconds(this->core->platform.faults.delay_ms);
  if (delay.count() == 0) return this->Send(answer);
  this->timer.expires_after(delay);
  auto send = [self = this->shared_from_this(), answer = std::move(answer)](beast::error_code e) {
    if (!e) self->Send(answer);
  };
  this->timer.async_wait(std::move(send));
}

auto Session::Send(const Answer& answer) -> void {
  if (answer.delivery == Delivery::kClose) return this->Close();
  this->response = {};
  this->response.version(kHttp11);
  this->response.result(answer.status);
  this->response.keep_alive(this->parser->is_done() && this->parser->keep_alive());
  this->response.set(http::field::content_type, "application/json");
  if (answer.etag != 0) {
    this->response.set(http::field::etag, '"' + std::to_string(answer.etag) + '"');
  }
  if (answer.status != kNoContent) this->response.body() = answer.body;
  this->response.prepare_payload();
  if (answer.delivery == Delivery::kHalf) return this->SendHalf();
  auto done = [self = this->shared_from_this()](beast::error_code error, std::size_t) {
    if (error || !self->response.keep_alive()) return self->Close();
    self->ReadNext();
  };
  http::async_write(this->stream, this->response, std::move(done));
}

auto Session::SendHalf() -> void {
  auto text = std::ostringstream{};
  text << this->response;
  this->half = text.str();
  auto head = this->half.size() - this->response.body().size();
  this->half.resize(head + this->response.body().size() / 2);
  auto done = [self = this->shared_from_this()](beast::error_code, std::size_t) { self->Close(); };
  asio::async_write(this->stream, asio::buffer(this->half), std::move(done));
}

auto Session::Close() -> void {
  if (this->held) --this->core->platform.counts.waiting_watches;
  this->held.reset();
  this->timer.cancel();
  this->stream.close();
}

auto ServerCore::Accept() -> void {
  this->acceptor.async_accept([core = this->shared_from_this()](auto error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      auto session = std::make_shared<Session>(std::move(socket), core);
      core->sessions.remove_if([](const auto& known) { return known.expired(); });
      core->sessions.push_back(session);
      session->ReadNext();
    }
    core->Accept();
  });
}

auto ServerCore::ChangeSeen() -> void {
  for (const auto& known : std::vector(this->sessions.begin(), this->sessions.end())) {
    if (auto session = known.lock()) session->ReleaseWatch(false);
  }
}

auto ServerCore::CloseSessions(const Session* but) -> void {
  for (const auto& known : std::vector(this->sessions.begin(), this->sessions.end())) {
    auto session = known.lock();
    if (session && session.get() != but) session->Close();
  }
}

Server::Server(asio::io_context& context) : core(std::make_shared<ServerCore>(context)) {}

Server::~Server() { this->Stop(); }

auto Server::Listen(const base::Endpoint& endpoint) -> base::Result<base::Endpoint> {
  auto error = beast::error_code{};
  auto address = ToAsio(endpoint);
  auto& acceptor = this->core->acceptor;
  acceptor.open(address.protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(address, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return boost::leaf::new_error(ServerError{ServerErrorCode::kCannotListen, error.value()});
  }
  this->core->Accept();
  return FromAsio(acceptor.local_endpoint());
}

auto Server::Stop() -> void {
  auto error = beast::error_code{};
  this->core->acceptor.close(error);
  this->core->CloseSessions();
}

auto Server::State() -> Platform& { return this->core->platform; }

}  // namespace anvildrum::platform_standin
