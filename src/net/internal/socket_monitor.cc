#include "net/internal/socket_monitor.h"

#include <atomic>
#include <cstring>
#include <string>
#include <utility>

namespace anvildrum::net::internal {
namespace {

// No name is used twice. ZeroMQ lets go of a former monitor's name later, in a thread of its own:
// with names by the objects' places in memory, a link that was opened again at once found its own
// still in use, and failed.
auto NextName() -> std::string {
  static auto names = std::atomic<std::uint64_t>{0};
  return "inproc://monitor-" + std::to_string(++names);
}

}  // namespace

// Safeguard: ZeroMQ's thread waits where a monitor's queue is full, and all connections of the
// process with it; the queue has no limit, and is read at every turn of the io_context.
SocketMonitor::SocketMonitor(zmq::context_t& context, boost::asio::io_context& io,
                             zmq::socket_t& watched, int events, OnEvent on_event)
    : watched(watched), socket(context, zmq::socket_type::pair), on_event(std::move(on_event)) {
  const auto name = NextName();
  if (::zmq_socket_monitor(watched.handle(), name.c_str(), events) != 0) throw zmq::error_t{};
  this->socket.set(zmq::sockopt::linger, 0);
  this->socket.set(zmq::sockopt::rcvhwm, 0);
  this->socket.connect(name);
  this->pump = std::make_shared<ZmqPump>(io, this->socket, [this] { this->Receive(); });
  this->pump->Start();
}

// Safeguard: an event that ZeroMQ's thread has for a monitor whose reader is gone holds that thread
// up for ever. The watched socket is told to send no more before the reader goes.
SocketMonitor::~SocketMonitor() {
  this->Stop();
  ::zmq_socket_monitor(this->watched.handle(), nullptr, 0);
}

auto SocketMonitor::Stop() -> void { this->pump->Stop(); }

auto SocketMonitor::Receive() -> void {
  auto event = zmq::message_t{};
  auto address = zmq::message_t{};
  if (!this->socket.recv(event, zmq::recv_flags::dontwait)) return;
  if (event.more() && !this->socket.recv(address, zmq::recv_flags::dontwait)) return;
  auto kind = std::uint16_t{0};
  auto value = std::uint32_t{0};
  if (event.size() < sizeof kind + sizeof value) return;
  const auto* bytes = static_cast<const char*>(event.data());
  std::memcpy(&kind, bytes, sizeof kind);
  std::memcpy(&value, bytes + sizeof kind, sizeof value);
  this->on_event(kind, value);
}

}  // namespace anvildrum::net::internal
