#pragma once

#include <zmq.hpp>

#include "net/relay_socket.h"

namespace anvildrum::net {

struct RelayContext::Impl {
  zmq::context_t zmq;
};

namespace internal {

/// "tcp://IP:PORT".
auto ZmqAddress(const base::Endpoint& endpoint) -> std::string;

/// Errors: NetError kNoKeys, kBadKey.
auto CheckSecurity(const RelaySecurity& security) -> base::Result<void>;

/// Options that both ends share: no linger, bounded queues and messages, IPv6 where needed.
auto SetCommonOptions(zmq::socket_t& socket, const base::Endpoint& address, int high_water,
                      std::int64_t max_message) -> void;

auto Milliseconds(base::Duration duration) -> int;

/// The bytes of a message, valid as long as the message.
auto BytesOf(const zmq::message_t& message) -> std::span<const std::uint8_t>;

auto Fail(NetErrorCode code, const zmq::error_t& error, std::string where) -> boost::leaf::error_id;

}  // namespace internal
}  // namespace anvildrum::net
