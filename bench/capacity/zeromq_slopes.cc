#include <array>
#include <string>
#include <zmq.hpp>

#include "measure.h"
#include "slopes.h"

namespace anvildrum::capacity {
namespace {

constexpr auto kMessageCounts = std::array{10, 40, 160};
constexpr auto kMessageSize = 320;  // about one target's record
constexpr auto kKeyText = 41;

struct KeyPair {
  std::array<char, kKeyText> secret{};
  std::array<char, kKeyText> open{};
};

auto MakeKeyPair() -> KeyPair {
  auto pair = KeyPair{};
  zmq_curve_keypair(pair.open.data(), pair.secret.data());
  return pair;
}

// A parent and a child of the relay over TCP with CURVE. The cost is that of both ends, their
// threads for input and output included.
struct Link {
  zmq::context_t context;
  zmq::socket_t parent{context, zmq::socket_type::push};
  zmq::socket_t child{context, zmq::socket_type::pull};
};

auto Connect(Link& link) -> void {
  auto server = MakeKeyPair();
  auto client = MakeKeyPair();
  link.parent.set(zmq::sockopt::curve_server, true);
  link.parent.set(zmq::sockopt::curve_secretkey, server.secret.data());
  link.child.set(zmq::sockopt::curve_serverkey, server.open.data());
  link.child.set(zmq::sockopt::curve_publickey, client.open.data());
  link.child.set(zmq::sockopt::curve_secretkey, client.secret.data());
  link.parent.bind("tcp://127.0.0.1:0");
  link.child.connect(link.parent.get(zmq::sockopt::last_endpoint));
}

auto Exchange(Link& link, int count) -> void {
  auto body = std::string(kMessageSize, 'x');
  for (auto i = 0; i < count; ++i) {
    (void)link.parent.send(zmq::buffer(body), zmq::send_flags::none);
  }
  auto message = zmq::message_t{};
  for (auto i = 0; i < count; ++i) (void)link.child.recv(message, zmq::recv_flags::none);
}

}  // namespace

auto MeasureZeroMq() -> std::vector<Slope> {
  auto slope = Slope{"zeromq_ns", "ns", "message sent and received", {}};
  auto link = Link{};
  Connect(link);
  for (auto count : kMessageCounts) {
    auto cost = ProcessNanosecondsPerCall([&] { Exchange(link, count); });
    slope.points.push_back({static_cast<double>(count), cost});
  }
  return {slope};
}

}  // namespace anvildrum::capacity
