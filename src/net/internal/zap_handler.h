#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>
#include <zmq.hpp>

#include "net/internal/zmq_pump.h"

namespace anvildrum::net::internal {

/// The domain that our server names in its requests.
inline constexpr auto* kZapDomain = "anvildrum";

/// Answers ZeroMQ's questions "may this key connect?" (ZAP, ZeroMQ RFC 27) on the io_context. It
/// has to be bound before the server's socket: ZeroMQ lets every key in where nobody answers.
class ZapHandler {
 public:
  /// Throws zmq::error_t when the context already has a handler.
  ZapHandler(zmq::context_t& context, boost::asio::io_context& io,
             const std::vector<std::string>& accepted);
  ZapHandler(const ZapHandler&) = delete;
  auto operator=(const ZapHandler&) -> ZapHandler& = delete;
  ~ZapHandler();

  [[nodiscard]] auto Refused() const -> std::uint64_t { return this->refused; }

 private:
  auto Answer() -> void;

  zmq::socket_t socket;
  std::set<std::string> accepted;  ///< as 32 bytes, the form that requests carry
  std::uint64_t refused = 0;
  std::shared_ptr<ZmqPump> pump;
};

}  // namespace anvildrum::net::internal
