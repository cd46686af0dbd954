#include "steering/directory.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "wire/convert.h"

namespace anvildrum::steering {
namespace {

const auto kDesk = base::ServiceIdOf("desk");
const auto kBalancer = base::EndpointFromV4(0x0d000001, 7000);
constexpr auto kStart = base::TimePoint{base::seconds(100)};

auto MakeRecord(std::uint16_t number) -> membership::TargetRecord {
  auto record = membership::TargetRecord{};
  record.name = "desk-" + std::to_string(number);
  record.id = base::TargetIdOf(record.name);
  record.service = kDesk;
  record.instance = base::InstanceIdOf(record.name);
  record.incarnation = 1;
  record.revision = number;
  record.tunnel = base::EndpointFromV4(0x0c000001, number);
  record.failure_domain = "domain-" + std::to_string(number % 3);
  record.connections = 3;
  return record;
}

auto MakeView(std::uint16_t targets) -> membership::View {
  auto view = membership::View{};
  for (auto i = std::uint16_t{1}; i <= targets; ++i) {
    membership::ApplyRecord(view, MakeRecord(i), kStart);
  }
  return view;
}

// The directory of desk-1, which has `view`.
auto MakeDirectory(const membership::View& view, const DirectoryPolicy& policy = {}) -> Directory {
  auto directory = DirectoryBuilder{}.WithTarget(MakeRecord(1)).WithPolicy(policy).Build();
  Step(directory, ViewArrived{&view}, kStart);
  return directory;
}

auto MakePacket(std::uint32_t client, base::ServiceId service = kDesk) -> wire::pb::TunnelHeader {
  auto header = wire::pb::TunnelHeader{};
  header.set_sender(base::InstanceIdOf("balancer").value);
  auto flow = base::FlowKey{base::EndpointFromV4(0x0b000000 + client, 4000), service};
  wire::WriteFlow(flow, *header.mutable_packet()->mutable_flow());
  wire::WriteEndpoint(kBalancer, *header.mutable_packet()->mutable_balancer());
  header.mutable_packet()->set_may_open(true);
  return header;
}

auto Send(Directory& directory, const wire::pb::TunnelHeader& header, base::TimePoint now = kStart)
    -> DirectoryEffects {
  return Step(directory, TunnelArrived{kBalancer, &header, {}}, now);
}

auto FlowOf(const wire::pb::TunnelHeader& header) -> base::FlowKey {
  return wire::ReadFlow(header.packet().flow()).value();
}

// The number of the target that is the home of the client's flow.
auto HomeNumber(const membership::View& view, std::uint32_t client) -> std::uint16_t {
  auto set = MakeCandidates(view.services.front());
  auto index = FindFirst(set, base::HashFlow(FlowOf(MakePacket(client))));
  auto number = std::uint16_t{1};
  while (set.candidates[index].target != MakeRecord(number).id) ++number;
  return number;
}

// A client whose flow's home is desk-`number` among `view`.
auto ClientOf(const membership::View& view, std::uint16_t number) -> std::uint32_t {
  auto client = 1U;
  while (HomeNumber(view, client) != number) ++client;
  return client;
}

auto CountOf(const DirectoryEffects& effects, wire::pb::TunnelHeader::BodyCase body)
    -> std::ptrdiff_t {
  return std::ranges::count_if(
      effects.sends, [&](const SendTunnel& send) { return send.header.body_case() == body; });
}

using wire::pb::TunnelHeader;

// An address moved from mapper to desk, and a balancer has not heard: a mapper client's packet
// comes to a desk agent. Delivered, it would be answered by the wrong service.
BOOST_AUTO_TEST_CASE(a_packet_of_another_service_is_refused_and_counted) {
  auto directory = MakeDirectory(MakeView(1));
  auto effects = Send(directory, MakePacket(1, base::ServiceIdOf("mapper")));
  BOOST_TEST(effects.deliveries.empty());
  BOOST_REQUIRE(CountOf(effects, TunnelHeader::kRefused) == 1);
  BOOST_TEST(effects.sends[0].header.refused().reason() == wire::pb::Refused::REASON_WRONG_SERVICE);
  BOOST_TEST(directory.counters.wrong_service == 1u);
}

BOOST_AUTO_TEST_CASE(a_lone_home_opens_and_later_packets_follow) {
  auto directory = MakeDirectory(MakeView(1));
  auto first = Send(directory, MakePacket(1));
  BOOST_REQUIRE(first.deliveries.size() == 1);
  BOOST_TEST(first.deliveries[0].opened);
  auto second = Send(directory, MakePacket(1));
  BOOST_REQUIRE(second.deliveries.size() == 1);
  BOOST_TEST(!second.deliveries[0].opened);
  BOOST_CHECK(ReplyRoute(directory, FlowOf(MakePacket(1)), kStart) == kBalancer);
}

// The home has just started and does not know which flows its peers serve. Were it to open, a flow
// that a peer serves would have two targets.
BOOST_AUTO_TEST_CASE(an_unsettled_home_asks_before_it_opens) {
  auto view = MakeView(3);
  auto directory = MakeDirectory(view);
  auto effects = Send(directory, MakePacket(ClientOf(view, 1)));
  BOOST_TEST(effects.deliveries.empty());
  BOOST_TEST(CountOf(effects, TunnelHeader::kOwnerQuery) == 2);
}

// Another agent, whose view is older, takes itself for the home and tells this one to open the
// flow. This agent has already told the present home that it has no such flow, so the present home
// may open it at the same time.
BOOST_AUTO_TEST_CASE(a_flow_is_not_opened_for_an_agent_that_is_not_its_home) {
  auto view = MakeView(3);
  auto directory = MakeDirectory(view);
  auto packet = MakePacket(ClientOf(view, 2));
  packet.mutable_packet()->set_opening(true);
  packet.mutable_packet()->set_opening_incarnation(1);
  packet.set_sender(MakeRecord(3).instance.value);
  auto from_other = Send(directory, packet);
  BOOST_TEST(from_other.deliveries.empty());
  BOOST_TEST(CountOf(from_other, TunnelHeader::kOwnerQuery) == 2);
  auto fresh = MakeDirectory(view);
  packet.set_sender(MakeRecord(2).instance.value);
  BOOST_TEST(Send(fresh, packet).deliveries.size() == 1u);
}

// Two agents whose views differ each take the other for the home of a flow that nobody may open.
BOOST_AUTO_TEST_CASE(a_packet_stops_at_the_hop_limit) {
  auto view = MakeView(3);
  auto directory = MakeDirectory(view);
  auto packet = MakePacket(ClientOf(view, 2));
  auto onward = Send(directory, packet);
  BOOST_REQUIRE(onward.sends.size() == 1);
  BOOST_TEST(onward.sends[0].header.packet().hops() == 1u);
  auto known = KnownOwner{};
  known.owner = {MakeRecord(2).id, 1};
  directory.known[FlowOf(packet)] = known;
  packet.mutable_packet()->set_hops(directory.policy.hop_limit);
  auto stopped = Send(directory, packet);
  BOOST_TEST(CountOf(stopped, TunnelHeader::kPacket) == 0);
  BOOST_TEST(directory.counters.hop_limit == 1u);
}

// A flood: balancers let packets of unknown flows pass, marked. They must open nothing.
BOOST_AUTO_TEST_CASE(a_packet_that_may_not_open_reaches_existing_flows_only) {
  auto directory = MakeDirectory(MakeView(1));
  auto marked = MakePacket(1);
  marked.mutable_packet()->set_may_open(false);
  BOOST_TEST(Send(directory, marked).deliveries.empty());
  BOOST_TEST(directory.counters.unknown_flow == 1u);
  Send(directory, MakePacket(1));
  BOOST_TEST(Send(directory, marked).deliveries.size() == 1u);
}

BOOST_AUTO_TEST_CASE(the_connection_limit_holds) {
  auto directory = MakeDirectory(MakeView(1));
  for (auto client = 1U; client <= 4; ++client) Send(directory, MakePacket(client));
  BOOST_TEST(directory.owned.size() == 3u);
  BOOST_TEST(directory.counters.full == 1u);
}

// The target drains with the platform down. Its agent tells peers and balancers itself, and the
// flows that it has stay.
BOOST_AUTO_TEST_CASE(a_draining_agent_tells_peers_and_balancers_and_keeps_its_flows) {
  auto view = MakeView(1);
  auto balancer = membership::BalancerRecord{};
  balancer.tunnel = kBalancer;
  membership::ApplyBalancer(view, balancer);
  auto directory = MakeDirectory(view);
  Send(directory, MakePacket(1));
  membership::ApplyRecord(view, MakeRecord(2), kStart);
  membership::ApplyDrain(view, MakeRecord(1).id, 1);
  Step(directory, ViewArrived{&view}, kStart);
  auto effects = Step(directory, DirectoryTimer{}, kStart);
  BOOST_TEST(CountOf(effects, TunnelHeader::kDrainNotice) == 2);
  BOOST_TEST(Send(directory, MakePacket(1)).deliveries.size() == 1u);
  BOOST_TEST(Send(directory, MakePacket(2)).deliveries.empty());
}

BOOST_AUTO_TEST_CASE(an_idle_flow_ends) {
  auto policy = DirectoryPolicy{};
  policy.flow_idle = base::seconds(10);
  policy.stopped_after = base::hours(1);
  auto directory = MakeDirectory(MakeView(1), policy);
  Send(directory, MakePacket(1));
  BOOST_TEST(Step(directory, DirectoryTimer{}, kStart + base::seconds(9)).dropped.empty());
  auto effects = Step(directory, DirectoryTimer{}, kStart + base::seconds(11));
  BOOST_TEST(effects.dropped.size() == 1u);
  BOOST_TEST(directory.owned.empty());
}

// The process was stopped for a second; its peers may have opened its flows elsewhere. Until they
// have registered anew, neither the client's packets nor the target's replies pass.
BOOST_AUTO_TEST_CASE(an_agent_that_was_stopped_does_nothing_until_its_peers_have_settled) {
  auto view = MakeView(2);
  auto directory = MakeDirectory(view);
  auto packet = MakePacket(ClientOf(view, 1));
  directory.owned[FlowOf(packet)].balancer = kBalancer;
  auto woken = kStart + base::seconds(1);
  BOOST_CHECK(!ReplyRoute(directory, FlowOf(packet), woken));
  auto effects = Send(directory, packet, woken);
  BOOST_TEST(effects.deliveries.empty());
  BOOST_TEST(CountOf(effects, TunnelHeader::kResettle) == 1);
}

auto MakeAnswer(const wire::pb::Flow& flow, std::uint16_t responder, std::uint64_t sequence)
    -> wire::pb::TunnelHeader {
  auto header = wire::pb::TunnelHeader{};
  auto* answer = header.mutable_owner_answer();
  *answer->mutable_flow() = flow;
  answer->mutable_responder()->set_target(MakeRecord(responder).id.value);
  answer->mutable_responder()->set_incarnation(1);
  answer->set_sequence(sequence);
  return header;
}

// The home asked for a flow before, and an answer "not mine" of that time comes late. Meanwhile the
// peer has opened the flow: counted as an answer to the present query, it would give two owners.
BOOST_AUTO_TEST_CASE(an_answer_to_an_earlier_query_does_not_count) {
  auto view = MakeView(2);
  auto directory = MakeDirectory(view);
  auto packet = MakePacket(ClientOf(view, 1));
  auto asked = Send(directory, packet);
  BOOST_REQUIRE(CountOf(asked, TunnelHeader::kOwnerQuery) == 1);
  auto sequence = directory.pending.at(FlowOf(packet)).sequence;
  auto late = MakeAnswer(packet.packet().flow(), 2, sequence - 1);
  BOOST_TEST(Send(directory, late).deliveries.empty());
  auto answer = MakeAnswer(packet.packet().flow(), 2, sequence);
  BOOST_TEST(Send(directory, answer).deliveries.size() == 1u);
}

auto MakeRegister(const wire::pb::TunnelHeader& packet, std::uint64_t sequence, bool ended)
    -> wire::pb::TunnelHeader {
  auto header = wire::pb::TunnelHeader{};
  auto* message = header.mutable_register_();
  message->set_service(kDesk.value);
  message->set_sequence(sequence);
  message->mutable_owner()->set_target(MakeRecord(2).id.value);
  message->mutable_owner()->set_incarnation(1);
  message->mutable_home()->set_target(MakeRecord(1).id.value);
  message->mutable_home()->set_incarnation(1);
  auto* flow = message->add_flows();
  *flow->mutable_client() = packet.packet().flow().client();
  flow->set_stamp(1);
  flow->set_ended(ended);
  return header;
}

// An owner registers a flow and later ends it; then the network delivers the registration again.
// The home would keep sending the client's packets to a target that has let go of the flow.
BOOST_AUTO_TEST_CASE(a_batch_of_registrations_is_applied_once) {
  auto view = MakeView(2);
  auto directory = MakeDirectory(view);
  auto packet = MakePacket(ClientOf(view, 1));
  Send(directory, MakeRegister(packet, 1, false));
  BOOST_TEST(directory.known.contains(FlowOf(packet)));
  Send(directory, MakeRegister(packet, 2, true));
  BOOST_TEST(!directory.known.contains(FlowOf(packet)));
  auto repeated = Send(directory, MakeRegister(packet, 1, false));
  BOOST_TEST(!directory.known.contains(FlowOf(packet)));
  BOOST_TEST(CountOf(repeated, TunnelHeader::kRegisterAck) == 1);
}

// A request to open waits in the socket of a process that dies; its successor at the same address
// reads it. The home has given the flow to another target by then.
BOOST_AUTO_TEST_CASE(what_was_meant_for_an_earlier_process_opens_nothing) {
  auto view = MakeView(3);
  auto directory = MakeDirectory(view);
  auto packet = MakePacket(ClientOf(view, 2));
  packet.set_sender(MakeRecord(2).instance.value);
  packet.mutable_packet()->set_opening(true);
  packet.mutable_packet()->set_opening_incarnation(9);
  BOOST_TEST(Send(directory, packet).deliveries.empty());
}

// The home of a flow dies while the platform is down, so that its record stays. Balancers turn to
// the acting home; if the owner had not registered there too, two owners could not be told apart.
BOOST_AUTO_TEST_CASE(a_flow_is_registered_with_the_acting_home_of_a_suspect_one) {
  auto view = MakeView(3);
  auto directory = MakeDirectory(view);
  auto acting = [&](std::uint32_t client) {
    auto set = MakeCandidates(view.services.front());
    auto index = FindActing(set, base::HashFlow(FlowOf(MakePacket(client))));
    return set.candidates[index].target;
  };
  membership::SetSuspect(view, MakeRecord(2).id, true);
  auto client = ClientOf(view, 2);
  while (acting(client) != MakeRecord(3).id || HomeNumber(view, client) != 2) ++client;
  directory.owned[FlowOf(MakePacket(client))].balancer = kBalancer;
  for (auto& stream : directory.streams) stream.under_way = false;
  auto effects = Step(directory, ViewArrived{&view}, kStart);
  auto registered = [](const SendTunnel& send) {
    return send.to == MakeRecord(3).tunnel && send.header.register_().flows_size() == 1;
  };
  BOOST_TEST(std::ranges::count_if(effects.sends, registered) == 1);
}

}  // namespace
}  // namespace anvildrum::steering
