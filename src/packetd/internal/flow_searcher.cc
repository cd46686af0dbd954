#include "packetd/flow_searcher.h"

#include <utility>
#include <variant>

#include "base/clock.h"
#include "base/overloaded.h"
#include "packets/flow_denials.h"

namespace anvildrum::packetd {

FlowSearcher::FlowSearcher(boost::asio::io_context& io, packets::Balancer& core,
                           SearchCallbacks callbacks)
    : core(core), callbacks(std::move(callbacks)), timer(io) {}

auto FlowSearcher::Await(const packets::FlowId& flow, std::span<const std::uint8_t> datagram)
    -> void {
  this->held.Keep(flow, datagram);
  this->Arm();
}

auto FlowSearcher::OnAnswer(const packets::FlowAnswer& answer, base::TimePoint now) -> void {
  this->Apply(packets::TakeAnswer(this->core, answer, now));
}

auto FlowSearcher::OnProbeBack(const packets::FlowId& flow, const packets::GivenBack& given_back,
                               base::TimePoint now) -> void {
  if (given_back.denied) packets::NoteDenial(this->core, flow, given_back.agent, now);
  this->Apply(
      packets::HandleReturnedProbe(this->core, flow, given_back.agent, given_back.by_target, now));
}

auto FlowSearcher::OnGivenBack(const packets::GivenBack& given_back, const packets::Packet& packet,
                               base::TimePoint now) -> void {
  if (given_back.denied) {
    packets::NoteDenial(this->core, packets::FlowFromClient(packet), given_back.agent, now);
  }
  const auto step = packets::HandleReturnedPacket(this->core, packet, given_back.agent,
                                                  given_back.by_target, now);
  const auto& datagram = std::get<std::vector<std::uint8_t>>(given_back.packet);
  if (step.keep) this->Await(packets::FlowFromClient(packet), datagram);
  this->Apply(step.outcomes);
}

auto FlowSearcher::OnLocated(const packets::Located& located, base::TimePoint now) -> void {
  if (!packets::HandleFlowLocated(this->core, located.flow, located.agent, now)) return;
  const auto member = this->core.view.members.find(located.agent);
  if (member == this->core.view.members.end()) return this->held.Drop(located.flow);
  const auto holder = packets::Candidate{located.agent, member->second.service};
  this->Apply({packets::FlowFound{located.flow, holder}});
}

// The timer runs only while there are searches, so that an idle balancer is not woken up.
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
    this->callbacks.send_control(addressed.agent, addressed.query);
  }
  this->Apply(step.outcomes);
  if (this->core.records_wanted) this->callbacks.read_records();
  if (!packets::IsIdle(this->core.searches)) this->Arm();
}

auto FlowSearcher::Apply(const std::vector<packets::SearchOutcome>& outcomes) -> void {
  for (const auto& outcome : outcomes) {
    std::visit(base::Overloaded{
                   [&](const packets::FlowFound& found) {
                     this->Forward(found.flow, found.holder);
                     this->held.Drop(found.flow);
                   },
                   [&](const packets::FlowUnsure& unsure) { this->Probe(unsure); },
                   [&](const packets::FlowPresumed& presumed) { this->ForwardRest(presumed); },
                   [&](const packets::FlowLost& lost) {
                     this->held.Drop(lost.flow);
                     this->callbacks.reset(lost);
                     this->callbacks.log(lost.flow, "flow_reset", "held by no target", 0);
                   },
                   [&](const packets::FlowNotFound& failed) {
                     this->held.Drop(failed.flow);
                     this->callbacks.log(failed.flow, "packet_dropped",
                                         packets::NameOf(failed.reason), failed.agent);
                   }},
               outcome);
  }
}

auto FlowSearcher::Forward(const packets::FlowId& flow, const packets::Candidate& agent) -> void {
  for (const auto& datagram : this->held.Of(flow)) this->callbacks.forward(agent, datagram, false);
}

// One packet suffices to show whether a target holds the flow, and targets that do not hold it
// should receive as few of its packets as possible.
auto FlowSearcher::Probe(const packets::FlowUnsure& unsure) -> void {
  const auto datagrams = this->held.Of(unsure.flow);
  if (datagrams.empty()) return;
  for (const auto& agent : unsure.agents) this->callbacks.forward(agent, datagrams.front(), true);
}

auto FlowSearcher::ForwardRest(const packets::FlowPresumed& presumed) -> void {
  const auto datagrams = this->held.Of(presumed.flow);
  for (auto i = std::size_t{1}; i < datagrams.size(); ++i) {
    this->callbacks.forward(presumed.holder, datagrams[i], false);
  }
  this->held.Drop(presumed.flow);
}

}  // namespace anvildrum::packetd
