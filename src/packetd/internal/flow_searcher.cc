#include "packetd/flow_searcher.h"

#include <utility>
#include <variant>

#include "base/clock.h"
#include "base/overloaded.h"

namespace anvildrum::packetd {

FlowSearcher::FlowSearcher(boost::asio::io_context& io, packets::Balancer& core, SearchPorts ports)
    : core(core), ports(std::move(ports)), timer(io) {}

auto FlowSearcher::Await(const packets::FlowId& flow, std::span<const std::uint8_t> datagram)
    -> void {
  this->held.Keep(flow, datagram);
  this->Arm();
}

auto FlowSearcher::OnAnswer(const packets::FlowAnswer& answer, base::TimePoint now) -> void {
  this->Apply(packets::TakeAnswer(this->core, answer, now));
}

auto FlowSearcher::OnGivenBack(const packets::GivenBack& given_back, const packets::Packet& packet,
                               base::TimePoint now) -> void {
  const auto step =
      packets::TakeGivenBack(this->core, packet, given_back.agent, given_back.by_target, now);
  if (step.keep) this->Await(packets::FlowFromClient(packet), given_back.datagram);
  this->Apply(step.outcomes);
}

// Runs while there are searches, so that a balancer without any is not woken for them.
auto FlowSearcher::Arm() -> void {
  if (std::exchange(this->armed, true)) return;
  this->timer.expires_after(packets::kSearchCheck);
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    this->armed = false;
    this->Step();
  });
}

auto FlowSearcher::Step() -> void {
  const auto step = packets::StepSearches(this->core, base::Now());
  for (const auto& addressed : step.queries) {
    this->ports.send_control(addressed.agent, addressed.query);
  }
  this->Apply(step.outcomes);
  const auto& searches = this->core.searches;
  if (!searches.flows.empty() || !searches.rounds.empty()) this->Arm();
}

auto FlowSearcher::Apply(const std::vector<packets::SearchOutcome>& outcomes) -> void {
  for (const auto& outcome : outcomes) {
    std::visit(base::Overloaded{[&](const packets::FlowFound& found) {
                                  this->Forward(found.flow, found.holder);
                                  this->held.Drop(found.flow);
                                },
                                [&](const packets::FlowUnsure& unsure) {
                                  for (const auto& agent : unsure.agents) {
                                    this->Forward(unsure.flow, agent);
                                  }
                                },
                                [&](const packets::FlowLost& lost) {
                                  this->held.Drop(lost.flow);
                                  this->ports.reset(lost);
                                  this->ports.log(lost.flow, "flow_reset", "held by no target");
                                },
                                [&](const packets::FlowNotFound& failed) {
                                  this->held.Drop(failed.flow);
                                  this->ports.log(failed.flow, "packet_dropped",
                                                  packets::NameOf(failed.reason));
                                }},
               outcome);
  }
}

auto FlowSearcher::Forward(const packets::FlowId& flow, const packets::Candidate& agent) -> void {
  for (const auto& datagram : this->held.Of(flow)) this->ports.forward(agent, datagram);
}

}  // namespace anvildrum::packetd
