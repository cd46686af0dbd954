#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <span>
#include <string_view>
#include <vector>

#include "packetd/held_packets.h"
#include "packets/balancer.h"
#include "packets/control.h"
#include "packets/search.h"

namespace anvildrum::packetd {

/// Callbacks through which a search sends packets and logs that it ended without a result.
struct SearchCallbacks {
  std::function<void(packets::Address to, const packets::Control& control)> send_control;
  std::function<void(const packets::Candidate& to, std::span<const std::uint8_t> datagram,
                     bool kept)>
      forward;
  std::function<void(const packets::FlowLost& lost)> reset;
  std::function<void()> read_records;  ///< a search awaits the agents' records
  std::function<void(const packets::FlowId& flow, std::string_view event, std::string_view reason,
                     packets::Address agent)>
      log;
};

/// Runs the flow searches of packets::Balancer: it owns their timer, sends their queries and holds
/// the waiting packets.
class FlowSearcher {
 public:
  FlowSearcher(boost::asio::io_context& io, packets::Balancer& core, SearchCallbacks callbacks);

  /// Holds the packet until the search for its flow ends.
  auto Await(const packets::FlowId& flow, std::span<const std::uint8_t> datagram) -> void;

  auto OnAnswer(const packets::FlowAnswer& answer, base::TimePoint now) -> void;

  /// Handles a packet that was sent to an agent to find out whether its target holds the flow, and
  /// that the agent gave back.
  auto OnProbeBack(const packets::FlowId& flow, const packets::GivenBack& given_back,
                   base::TimePoint now) -> void;

  /// Handles `packet`, which was sent to an agent because of a hint and which the agent gave back.
  /// Its datagram is in `given_back`.
  auto OnGivenBack(const packets::GivenBack& given_back, const packets::Packet& packet,
                   base::TimePoint now) -> void;

  auto OnLocated(const packets::Located& located, base::TimePoint now) -> void;

 private:
  auto Arm() -> void;
  auto Step() -> void;
  auto Apply(const std::vector<packets::SearchOutcome>& outcomes) -> void;
  auto Forward(const packets::FlowId& flow, const packets::Candidate& agent) -> void;
  auto Probe(const packets::FlowUnsure& unsure) -> void;
  auto ForwardRest(const packets::FlowPresumed& presumed) -> void;

  packets::Balancer& core;
  SearchCallbacks callbacks;
  HeldPackets held;
  boost::asio::steady_timer timer;
  bool armed = false;
};

}  // namespace anvildrum::packetd
