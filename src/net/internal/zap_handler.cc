#include "net/internal/zap_handler.h"

#include <array>
#include <string_view>

namespace anvildrum::net::internal {
namespace {

constexpr auto* kZapAddress = "inproc://zeromq.zap.01";
constexpr auto kVersion = std::string_view{"1.0"};
constexpr auto kKeyBytes = std::size_t{32};

// Frames of a request, ZeroMQ RFC 27.
enum Frame : std::size_t { kVersionFrame, kRequestId, kDomain, kAddress, kIdentity, kMechanism };
constexpr auto kCredentials = std::size_t{6};

auto Decode(const std::string& key) -> std::string {
  auto bytes = std::array<std::uint8_t, kKeyBytes>{};
  ::zmq_z85_decode(bytes.data(), key.c_str());
  return {bytes.begin(), bytes.end()};
}

auto ReceiveAll(zmq::socket_t& socket) -> std::vector<std::string> {
  auto frames = std::vector<std::string>{};
  auto more = true;
  while (more) {
    auto frame = zmq::message_t{};
    if (!socket.recv(frame, zmq::recv_flags::dontwait)) break;
    frames.push_back(frame.to_string());
    more = frame.more();
  }
  return frames;
}

auto IsOurs(const std::vector<std::string>& frames) -> bool {
  return frames.size() == kCredentials + 1 && frames[kVersionFrame] == kVersion &&
         frames[kDomain] == kZapDomain && frames[kMechanism] == "CURVE";
}

auto SendAll(zmq::socket_t& socket, const std::vector<std::string_view>& frames) -> void {
  for (auto index = std::size_t{0}; index < frames.size(); ++index) {
    const auto last = index + 1 == frames.size();
    const auto flags = last ? zmq::send_flags::none : zmq::send_flags::sndmore;
    socket.send(zmq::buffer(frames[index]), flags | zmq::send_flags::dontwait);
  }
}

}  // namespace

ZapHandler::ZapHandler(zmq::context_t& context, boost::asio::io_context& io,
                       const std::vector<std::string>& accepted)
    : socket(context, zmq::socket_type::rep) {
  for (const auto& key : accepted) this->accepted.insert(Decode(key));
  this->socket.set(zmq::sockopt::linger, 0);
  this->socket.bind(kZapAddress);
  this->pump = std::make_shared<ZmqPump>(io, this->socket, [this] { this->Answer(); });
  this->pump->Start();
}

ZapHandler::~ZapHandler() { this->pump->Stop(); }

auto ZapHandler::Answer() -> void {
  const auto frames = ReceiveAll(this->socket);
  if (frames.size() <= kRequestId) return;
  const auto known = IsOurs(frames) && this->accepted.contains(frames[kCredentials]);
  if (!known) ++this->refused;
  const auto status = std::string_view{known ? "200" : "400"};
  const auto text = std::string_view{known ? "OK" : "key not accepted"};
  SendAll(this->socket, {kVersion, frames[kRequestId], status, text, "", ""});
  this->pump->Kick();
}

}  // namespace anvildrum::net::internal
