#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "base/types/time.h"
#include "packets/types/packet.h"

namespace anvildrum::packetd {

/// Asks machines for a connection: one that is up accepts or refuses it, whatever runs there; one
/// that is off, or cannot be reached, leaves it unanswered. Nothing is sent on it.
class MachineProbes {
 public:
  using OnEnd = std::function<void(packets::Address machine, base::TimePoint began, bool answered)>;

  /// `port`: of the same number at every machine.
  MachineProbes(boost::asio::io_context& io, std::uint16_t port, OnEnd on_end);

  /// Probes that may be begun now.
  [[nodiscard]] auto FreeSlots() const -> std::size_t;

  /// Begins a probe, unless one of the machine is under way.
  auto Begin(packets::Address machine) -> void;

 private:
  struct Probe {
    explicit Probe(boost::asio::io_context& io) : socket(io), timer(io) {}
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    base::TimePoint began{};
    unsigned attempt = 0;
  };

  auto Connect(packets::Address machine, const std::shared_ptr<Probe>& probe) -> void;
  auto End(packets::Address machine, bool answered) -> void;

  boost::asio::io_context& io;
  std::uint16_t port;
  OnEnd on_end;
  std::map<packets::Address, std::shared_ptr<Probe>> probes;
};

}  // namespace anvildrum::packetd
