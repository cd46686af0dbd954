#include "packetd/target_watch.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <utility>

#include "base/clock.h"
#include "base/tcp_endpoint.h"

namespace anvildrum::packetd {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// A target that starts together with this process has opened its port by then. Both need some ten
// milliseconds of processor time to start.
constexpr auto kFirstConnectDelay = base::milliseconds{150};

// A connection is closed when the target ends, or when the target closes idle connections. The next
// attempt after this delay tells which.
constexpr auto kReconnectDelay = base::milliseconds{20};

// Delay after an attempt that failed for a reason other than a refusal.
constexpr auto kRetryDelay = base::milliseconds{1000};

}  // namespace

TargetWatch::TargetWatch(asio::io_context& io, const base::Endpoint& target, OnRefused on_refused)
    : target(target), on_refused(std::move(on_refused)), socket(io), timer(io) {}

auto TargetWatch::Start() -> void { this->ConnectIn(kFirstConnectDelay); }

auto TargetWatch::OnTargetAlive() -> void {
  if (!this->busy) this->Connect();
}

auto TargetWatch::SetTarget(const base::Endpoint& changed) -> void {
  if (this->target == changed) return;
  this->target = changed;
  auto ignored_error = error_code{};
  this->socket.close(ignored_error);  // cancels its handlers; a failed close is harmless
  this->ConnectIn(kReconnectDelay);
}

auto TargetWatch::ConnectIn(base::Duration delay) -> void {
  this->busy = true;
  this->timer.expires_after(delay);
  this->timer.async_wait([this](const error_code& error) {
    if (!error) this->Connect();
  });
}

auto TargetWatch::Connect() -> void {
  this->busy = true;
  auto ignored_error = error_code{};
  this->socket.close(ignored_error);  // of the previous attempt; errors are irrelevant
  const auto began = base::Now();
  this->socket.async_connect(base::ToTcp(this->target), [this, began](const error_code& error) {
    if (error == asio::error::operation_aborted) return;
    if (!error) return this->AwaitClose();
    if (error != asio::error::connection_refused) return this->ConnectIn(kRetryDelay);
    this->busy = false;  // until the next sign of life
    this->on_refused(began);
  });
}

auto TargetWatch::AwaitClose() -> void {
  this->socket.async_read_some(asio::buffer(this->ignored), [this](const error_code& error, auto) {
    if (error == asio::error::operation_aborted) return;
    if (error) return this->ConnectIn(kReconnectDelay);
    this->AwaitClose();
  });
}

}  // namespace anvildrum::packetd
