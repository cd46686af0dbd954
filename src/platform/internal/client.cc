#include "platform/client.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <set>
#include <utility>

#include "base/clock.h"
#include "base/tcp_endpoint.h"
#include "platform/answer_progress.h"
#include "platform/internal/http_call.h"

namespace anvildrum::platform {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr auto kHttp11 = 11U;

auto VerbOf(HttpMethod method) -> http::verb {
  switch (method) {
    case HttpMethod::kPost:
      return http::verb::post;
    case HttpMethod::kPut:
      return http::verb::put;
    case HttpMethod::kDelete:
      return http::verb::delete_;
    case HttpMethod::kGet:
      break;
  }
  return http::verb::get;
}

auto MakeRequest(const HttpCall& call) -> http::request<http::string_body> {
  auto request = http::request<http::string_body>(VerbOf(call.method), call.target, kHttp11);
  request.set(http::field::host, "platform");
  if (!call.if_match.empty()) request.set(http::field::if_match, call.if_match);
  if (!call.if_none_match.empty()) request.set(http::field::if_none_match, call.if_none_match);
  if (!call.body.empty()) request.set(http::field::content_type, "application/json");
  request.body() = call.body;
  request.prepare_payload();
  return request;
}

// Bytes that one read may bring. Beast reads as much as its buffer has room for, 512 bytes at
// first: an answer of 340 kB took some hundred reads.
constexpr auto kReadBytes = std::size_t{16} * 1024;

struct Connection {
  explicit Connection(asio::io_context& context) : stream(context) {
    this->buffer.reserve(kReadBytes);
  }
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  std::size_t endpoint = 0;  ///< index
  base::TimePoint idle_since{};
  bool reused = false;
};
using ConnectionPtr = std::unique_ptr<Connection>;

using Finish = std::function<void(Outcome<HttpAnswer>)>;
using Response = http::response_parser<http::string_body>;

}  // namespace

struct Exchange;

/// What a client's exchanges share.
struct ClientCore : std::enable_shared_from_this<ClientCore> {
  ClientCore(asio::io_context& io, ClientSettings given)
      : context(io),
        settings(std::move(given)),
        budget(MakeCallBudget(this->settings.budget, base::Now())) {
    if (this->settings.dialect == nullptr) this->settings.dialect = &ObjectApi();
  }

  /// `first`: how long the first bytes of the answer are awaited.
  auto Start(HttpCall call, base::Duration first, Finish finish, OnBegun on_begun = {}) -> void;
  auto TakeIdle() -> ConnectionPtr;
  auto KeepIdle(ConnectionPtr connection) -> void;
  auto LeaveEndpoint(std::size_t index) -> void;
  auto LeaveSilentEndpoint(std::size_t index, base::TimePoint silent_since) -> void;
  auto Stop() -> void;

  asio::io_context& context;
  ClientSettings settings;
  CallBudget budget;
  std::vector<ConnectionPtr> idle;
  std::set<std::shared_ptr<Exchange>> running;
  std::size_t endpoint = 0;  ///< index of the one that is connected to
  bool stopped = false;
};

/// One call on its connection, from connecting to its outcome.
struct Exchange : std::enable_shared_from_this<Exchange> {
  auto Begin() -> void;
  auto Connect() -> void;
  auto ConnectFailed() -> void;
  auto Send() -> void;
  auto BeginAnswer() -> void;
  auto Receive() -> void;
  auto Heard() -> void;
  auto ExchangeFailed(beast::error_code error) -> void;
  auto Answered() -> void;
  auto Fail(PlatformErrorCode code) -> void;
  auto End(Outcome<HttpAnswer> outcome) -> void;

  std::shared_ptr<ClientCore> core;
  HttpCall call;
  AnswerTimeouts timeouts;
  Finish finish;
  OnBegun on_begun;
  ConnectionPtr connection;
  std::size_t attempts = 0;  ///< endpoints tried
  http::request<http::string_body> request;
  std::optional<Response> parser;
  AnswerProgress progress;
};

auto Exchange::Begin() -> void {
  if (!TakeCall(this->core->budget, this->call.kind, base::Now())) {
    this->core->running.erase(this->shared_from_this());
    return this->finish(PlatformError{PlatformErrorCode::kOverBudget, 0, this->call.key});
  }
  this->request = MakeRequest(this->call);
  this->connection = this->core->TakeIdle();
  if (this->connection) return this->Send();
  this->Connect();
}

auto Exchange::Connect() -> void {
  const auto& settings = this->core->settings;
  if (settings.endpoints.empty()) return this->Fail(PlatformErrorCode::kNoEndpoint);
  this->connection = std::make_unique<Connection>(this->core->context);
  auto& stream = this->connection->stream;
  stream.expires_after(settings.connect_timeout);
  this->connection->endpoint = this->core->endpoint;
  auto endpoint = base::ToTcp(settings.endpoints[this->connection->endpoint]);
  stream.async_connect(endpoint, [self = this->shared_from_this()](beast::error_code error) {
    if (self->core->stopped) return;
    if (error) return self->ConnectFailed();
    self->Send();
  });
}

auto Exchange::ConnectFailed() -> void {
  this->core->LeaveEndpoint(this->connection->endpoint);
  if (++this->attempts < this->core->settings.endpoints.size()) return this->Connect();
  this->Fail(PlatformErrorCode::kUnreachable);
}

auto Exchange::Send() -> void {
  this->parser.reset();
  this->progress = {.sent_at = base::Now(), .heard_at = {}};
  auto& stream = this->connection->stream;
  stream.expires_after(this->timeouts.first);
  auto done = [self = this->shared_from_this()](beast::error_code error, std::size_t) {
    if (self->core->stopped) return;
    if (error) return self->ExchangeFailed(error);
    self->BeginAnswer();
  };
  http::async_write(stream, this->request, std::move(done));
}

auto Exchange::BeginAnswer() -> void {
  this->parser.emplace();
  this->parser->body_limit(this->core->settings.max_answer_bytes);
  this->Receive();
}

auto Exchange::Receive() -> void {
  auto& stream = this->connection->stream;
  stream.expires_after(GiveUpAt(this->progress, this->timeouts) - base::Now());
  auto done = [self = this->shared_from_this()](beast::error_code error, std::size_t) {
    if (self->core->stopped) return;
    if (error) return self->ExchangeFailed(error);
    self->Heard();
    if (self->core->stopped) return;
    if (self->parser->is_done()) return self->Answered();
    self->Receive();
  };
  http::async_read_some(stream, this->connection->buffer, *this->parser, std::move(done));
}

auto Exchange::Heard() -> void {
  const auto begins = !std::exchange(this->progress.heard_at, base::Now()).has_value();
  if (begins && this->on_begun) this->on_begun();
}

// Safeguard: a platform that restarted leaves closed connections in the idle list, and the first
// call on each would fail. A read goes out again on a new connection, once, because that one is not
// a reused one; a write does not, because it may have taken effect.
auto Exchange::ExchangeFailed(beast::error_code error) -> void {
  auto answer_began = this->parser && this->parser->got_some();
  if (error == beast::error::timeout) {
    if (answer_began) ++this->core->budget.counts.cut_short;
    this->core->LeaveSilentEndpoint(this->connection->endpoint, this->progress.sent_at);
    return this->Fail(PlatformErrorCode::kTimeout);
  }
  if (answer_began) return this->Fail(PlatformErrorCode::kMalformedAnswer);
  if (this->connection->reused && !IsWrite(this->call.kind)) return this->Connect();
  this->Fail(PlatformErrorCode::kAnswerLost);
}

auto Exchange::Answered() -> void {
  auto message = this->parser->release();
  auto answer = HttpAnswer{message.result_int(), std::string(message[http::field::etag]),
                           std::move(message.body())};
  if (message.keep_alive()) this->core->KeepIdle(std::move(this->connection));
  this->End(std::move(answer));
}

auto Exchange::Fail(PlatformErrorCode code) -> void {
  this->End(PlatformError{code, 0, this->call.key});
}

auto Exchange::End(Outcome<HttpAnswer> outcome) -> void {
  auto self = this->shared_from_this();
  FinishCall(this->core->budget, this->call.kind);
  this->core->running.erase(self);
  this->finish(std::move(outcome));
}

auto ClientCore::Start(HttpCall call, base::Duration first, Finish finish, OnBegun on_begun)
    -> void {
  auto exchange = std::make_shared<Exchange>();
  exchange->core = this->shared_from_this();
  exchange->call = std::move(call);
  exchange->timeouts = {.first = first, .between = this->settings.call_timeout};
  exchange->finish = std::move(finish);
  exchange->on_begun = std::move(on_begun);
  this->running.insert(exchange);
  asio::post(this->context, [exchange] {
    if (!exchange->core->stopped) exchange->Begin();
  });
}

auto ClientCore::TakeIdle() -> ConnectionPtr {
  auto oldest = base::Now() - this->settings.idle_timeout;
  while (!this->idle.empty()) {
    auto connection = std::move(this->idle.back());
    this->idle.pop_back();
    if (connection->idle_since >= oldest) return connection;
  }
  return nullptr;
}

auto ClientCore::KeepIdle(ConnectionPtr connection) -> void {
  connection->idle_since = base::Now();
  connection->reused = true;
  connection->stream.expires_never();
  this->idle.push_back(std::move(connection));
}

// Other calls may have left it already.
auto ClientCore::LeaveEndpoint(std::size_t index) -> void {
  if (this->endpoint != index) return;
  this->endpoint = (index + 1) % this->settings.endpoints.size();
}

// Connections to it that were idle all the while are as silent as the one that was waited for, and
// each would cost a call its whole time.
auto ClientCore::LeaveSilentEndpoint(std::size_t index, base::TimePoint silent_since) -> void {
  this->LeaveEndpoint(index);
  const auto is_silent = [&](const ConnectionPtr& connection) {
    return connection->endpoint == index && connection->idle_since < silent_since;
  };
  std::erase_if(this->idle, is_silent);
}

// Ending an exchange here would run its callback, which may use what its owner has already let go
// of. Dropping it closes the connection; its pending operations see `stopped`.
auto ClientCore::Stop() -> void {
  this->stopped = true;
  this->idle.clear();
  for (const auto& exchange : std::exchange(this->running, {})) {
    exchange->finish = nullptr;
    if (exchange->connection) exchange->connection->stream.close();
  }
}

Client::Client(asio::io_context& context, ClientSettings settings)
    : core(std::make_shared<ClientCore>(context, std::move(settings))) {}

Client::~Client() {
  if (this->core) this->core->Stop();
}

Client::Client(Client&&) noexcept = default;

auto Client::operator=(Client&& other) noexcept -> Client& {
  std::swap(this->core, other.core);
  return *this;
}

namespace {

// Runs `read` on the answer, or hands the error on, to the caller's callback. Errors are counted
// here, where those of the connection and those found in the answer meet.
template <typename T>
auto Then(ClientCore& core, const HttpCall& call,
          Outcome<T> (*read)(const HttpCall&, const HttpAnswer&), Callback<T> callback) -> Finish {
  return [&counts = core.budget.counts,
          call = HttpCall{call.kind, call.key, {}, {}, {}, {}, call.method}, read,
          callback = std::move(callback)](Outcome<HttpAnswer> outcome) {
    const auto* answer = std::get_if<HttpAnswer>(&outcome);
    auto result = answer != nullptr ? read(call, *answer) : std::get<PlatformError>(outcome);
    if (const auto* error = std::get_if<PlatformError>(&result)) {
      ++counts.failed.at(static_cast<std::size_t>(error->code));
    }
    callback(std::move(result));
  };
}

// From where `whole` ends. The core lives as long as its exchanges, and `finish` is dropped with
// them.
auto ListPages(const std::shared_ptr<ClientCore>& core, std::string prefix, Listing whole,
               Callback<Listing> callback, OnBegun on_begun = {}) -> void {
  auto call = core->settings.dialect->list_page(prefix, whole.next, core->settings.list_page_bytes);
  auto timeout = core->settings.call_timeout;
  auto join = [core, prefix = std::move(prefix), whole = std::move(whole),
               callback = std::move(callback)](Outcome<Listing> outcome) {
    if (const auto* error = std::get_if<PlatformError>(&outcome)) return callback(*error);
    auto joined = JoinPage(whole, std::get<Listing>(std::move(outcome)));
    if (!joined) return callback(PlatformError{PlatformErrorCode::kMalformedAnswer, 0, prefix});
    if (joined->next.empty()) return callback(std::move(*joined));
    ListPages(core, prefix, std::move(*joined), callback);
  };
  auto finish = Then<Listing>(*core, call, core->settings.dialect->read_listing, std::move(join));
  core->Start(std::move(call), timeout, std::move(finish), std::move(on_begun));
}

}  // namespace

auto Client::Get(std::string_view key, Callback<Object> callback) -> void {
  auto call = this->core->settings.dialect->get(key);
  auto finish = Then<Object>(*this->core, call, this->core->settings.dialect->read_object,
                             std::move(callback));
  this->core->Start(std::move(call), this->core->settings.call_timeout, std::move(finish));
}

auto Client::Put(std::string_view key, std::string_view value, const Precondition& precondition,
                 Callback<std::uint64_t> callback) -> void {
  auto call = this->core->settings.dialect->put(key, value, precondition);
  auto finish = Then<std::uint64_t>(*this->core, call, this->core->settings.dialect->read_revision,
                                    std::move(callback));
  this->core->Start(std::move(call), this->core->settings.call_timeout, std::move(finish));
}

auto Client::Delete(std::string_view key, IfMatch precondition, Callback<std::monostate> callback)
    -> void {
  auto call = this->core->settings.dialect->remove(key, precondition);
  auto finish = Then<std::monostate>(*this->core, call, this->core->settings.dialect->read_deleted,
                                     std::move(callback));
  this->core->Start(std::move(call), this->core->settings.call_timeout, std::move(finish));
}

auto Client::List(std::string_view prefix, Callback<Listing> callback, OnBegun on_begun) -> void {
  ListPages(this->core, std::string(prefix), {}, std::move(callback), std::move(on_begun));
}

auto Client::Watch(std::string_view prefix, std::uint64_t after, base::Duration hold,
                   Callback<Listing> callback, OnBegun on_begun) -> void {
  auto milliseconds = std::chrono::duration_cast<base::milliseconds>(hold).count();
  auto call =
      this->core->settings.dialect->watch(prefix, after, static_cast<std::uint64_t>(milliseconds));
  auto finish = Then<Listing>(*this->core, call, this->core->settings.dialect->read_listing,
                              std::move(callback));
  auto timeout = hold + this->core->settings.call_timeout;
  this->core->Start(std::move(call), timeout, std::move(finish), std::move(on_begun));
}

auto Client::Counts() const -> const CallCounts& { return this->core->budget.counts; }

auto Client::IsReceivingObject() const -> bool {
  const auto& running = this->core->running;
  return std::any_of(running.begin(), running.end(), [](const auto& exchange) {
    return exchange->call.kind == CallKind::kGet && exchange->progress.heard_at;
  });
}

}  // namespace anvildrum::platform
