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

/// Probes machines by TCP connection attempts. A running machine accepts or refuses the connection,
/// whichever processes run there; a machine that is off or unreachable does not answer. No data is
/// sent on the connection.
class MachineProbes {
 public:
  using OnEnd = std::function<void(packets::Address machine, base::TimePoint began, bool answered)>;

  /// `port`: the TCP port to connect to, the same at every machine.
  MachineProbes(boost::asio::io_context& io, std::uint16_t port, OnEnd on_end);

  /// Number of further probes that may be started now.
  [[nodiscard]] auto FreeSlots() const -> std::size_t;

  /// Starts a probe, unless one of the machine is running or no slot is free.
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
