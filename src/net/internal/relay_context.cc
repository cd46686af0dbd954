#include "net/internal/relay_context.h"

#include <algorithm>
#include <array>
#include <utility>

namespace anvildrum::net {

namespace {

constexpr auto kKeyCharacters = std::size_t{40};
constexpr auto kKeyBytes = std::size_t{32};

auto IsKey(const std::string& text) -> bool {
  if (text.size() != kKeyCharacters) return false;
  auto bytes = std::array<std::uint8_t, kKeyBytes>{};
  return ::zmq_z85_decode(bytes.data(), text.c_str()) != nullptr;
}

auto BadKey(std::string where) -> boost::leaf::error_id {
  return boost::leaf::new_error(NetError{NetErrorCode::kBadKey, 0, std::move(where)});
}

}  // namespace

auto GenerateCurveKeys() -> CurveKeyPair {
  auto public_key = std::array<char, kKeyCharacters + 1>{};
  auto secret_key = std::array<char, kKeyCharacters + 1>{};
  ::zmq_curve_keypair(public_key.data(), secret_key.data());
  return {public_key.data(), secret_key.data()};
}

RelayContext::RelayContext() : impl(std::make_shared<Impl>()) {}
RelayContext::~RelayContext() = default;

namespace internal {

auto ZmqAddress(const base::Endpoint& endpoint) -> std::string {
  return "tcp://" + base::FormatEndpoint(endpoint);
}

// A key at fault is named by its place only: the text may be a secret key in the wrong field.
auto CheckSecurity(const RelaySecurity& security) -> base::Result<void> {
  if (security.insecure) return {};
  if (security.own.secret_key.empty() || security.accepted.empty()) {
    return boost::leaf::new_error(NetError{NetErrorCode::kNoKeys, 0, "relay"});
  }
  if (!IsKey(security.own.public_key)) return BadKey("own.public_key");
  if (!IsKey(security.own.secret_key)) return BadKey("own.secret_key");
  for (auto index = std::size_t{0}; index < security.accepted.size(); ++index) {
    if (!IsKey(security.accepted[index])) return BadKey("accepted/" + std::to_string(index));
  }
  return {};
}

auto SetCommonOptions(zmq::socket_t& socket, const base::Endpoint& address, int high_water,
                      std::int64_t max_message) -> void {
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, high_water);
  socket.set(zmq::sockopt::rcvhwm, high_water);
  socket.set(zmq::sockopt::maxmsgsize, max_message);
  socket.set(zmq::sockopt::ipv6, !base::IsV4(address));
}

auto Milliseconds(base::Duration duration) -> int {
  return static_cast<int>(std::chrono::duration_cast<base::milliseconds>(duration).count());
}

auto BytesOf(const zmq::message_t& message) -> std::span<const std::uint8_t> {
  return {static_cast<const std::uint8_t*>(message.data()), message.size()};
}

auto Fail(NetErrorCode code, const zmq::error_t& error, std::string where)
    -> boost::leaf::error_id {
  return boost::leaf::new_error(NetError{code, error.num(), std::move(where)});
}

}  // namespace internal
}  // namespace anvildrum::net
