#include "packets/search.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "packets/internal/search_probes.h"
#include "packets/internal/search_queries.h"
#include "packets/internal/search_waits.h"
#include "packets/route_history.h"

namespace anvildrum::packets {
namespace {

auto Remember(Balancer& balancer, const FlowId& flow, Address agent, base::TimePoint now) -> void {
  const auto entry = balancer.hints.find(flow);
  if (entry == balancer.hints.end()) return;
  entry->second.agent = agent;
  entry->second.seen = now;
}

auto Fail(Balancer& balancer, const FlowId& flow, SearchFailure reason, Address agent = 0)
    -> SearchOutcome {
  balancer.searches.flows.erase(flow);
  ++balancer.counters.not_found;
  return FlowNotFound{flow, reason, agent};
}

// Ends the search because the flow was found at the agent.
auto EndFound(Balancer& balancer, const FlowId& flow, Address agent, base::TimePoint now) -> void {
  const auto entry = balancer.searches.flows.find(flow);
  if (!entry->second.all_agents) balancer.searches.misses = 0;
  balancer.searches.flows.erase(entry);
  ++balancer.counters.found;
  Remember(balancer, flow, agent, now);
}

// Returns what is missing to reset a flow that no target of its services holds.
auto MissingPremiseOf(const Balancer& balancer, const FlowSearch& search, base::TimePoint now)
    -> std::optional<MissingPremise> {
  if (!search.expects_answer) return MissingPremise{SearchFailure::kNoData};
  if (!search.conclusive) return MissingPremise{SearchFailure::kUnsettled, search.undecided};
  const auto away =
      FirstAway(balancer.view, search.services.front(), balancer.stall.running_since, now);
  if (away == 0 && now >= balancer.stall.doubtful_until) return std::nullopt;
  return MissingPremise{SearchFailure::kAgentMissing, away};
}

// Ends the search for a flow that no queried target holds.
auto EndNotFound(Balancer& balancer, const FlowId& flow) -> SearchOutcome {
  const auto& search = balancer.searches.flows.at(flow);
  if (search.missing) return Fail(balancer, flow, search.missing->reason, search.missing->agent);
  const auto lost = FlowLost{flow, search.acknowledged};
  balancer.searches.flows.erase(flow);
  balancer.hints.erase(flow);
  ++balancer.counters.resets;
  return lost;
}

// Returns the agents of services that the search has not covered, but whose targets may hold flows
// of the route. A service may have become known since the search began.
auto OtherHoldersOf(Balancer& balancer, const FlowId& flow, const Services& services,
                    base::TimePoint now) -> OtherHolders {
  const auto holders = HoldersOf(balancer, flow, now);
  const auto covered = std::all_of(holders.begin(), holders.end(), [&](base::ServiceId service) {
    return std::find(services.begin(), services.end(), service) != services.end();
  });
  const auto known = KnowsFormerServices(balancer, KeyOf(flow.service), now);
  auto others = FindOtherHolders(balancer.view, flow.service, services, known && covered,
                                 balancer.stall.running_since, now);
  if (others.undecided != 0 && !known) balancer.history_wanted = true;
  return others;
}

auto NoteUndecided(FlowSearch& search, const OtherHolders& others) -> void {
  if (search.missing || others.undecided == 0) return;
  search.missing = {SearchFailure::kOtherService, others.undecided};
}

// Queries all agents again.
auto AskAgain(FlowSearch& search) -> void {
  search.awaited.reset();
  search.stage = SearchStage::kDue;
  search.all_agents = true;
}

// Continues the search at agents of other services, or ends it if none of them may hold the flow.
auto Conclude(Balancer& balancer, const FlowId& flow, std::optional<MissingPremise> missing,
              base::TimePoint now) -> std::optional<SearchOutcome> {
  auto& search = balancer.searches.flows.at(flow);
  if (!search.missing && Postpone(balancer, search, missing, now)) return std::nullopt;
  if (!search.elsewhere && !missing && HaveAgentsCome(balancer, search, now)) {
    AskAgain(search);
    return std::nullopt;
  }
  const auto unread = !missing && !KnowsAllAgents(balancer, search);
  if (!search.missing) search.missing = missing;
  if (!search.missing && unread) search.missing = {SearchFailure::kRecordsUnread};
  if (search.elsewhere) return EndNotFound(balancer, flow);
  const auto others = OtherHoldersOf(balancer, flow, search.services, now);
  NoteUndecided(search, others);
  if (others.agents.empty()) return EndNotFound(balancer, flow);
  search.elsewhere = true;
  search.all_agents = true;
  search.stage = SearchStage::kDue;
  return std::nullopt;
}

// Concludes a round at agents of other services. Their targets receive no packet of the flow, since
// its route may never have had their services.
auto ConcludeElsewhere(Balancer& balancer, const QueryRound& round, const FlowId& flow,
                       const std::vector<Candidate>& unsure, base::TimePoint now) -> SearchOutcome {
  auto& missing = balancer.searches.flows.at(flow).missing;
  if (!missing && !round.missing.empty()) {
    missing = {SearchFailure::kNoAnswer, round.missing.front()};
  }
  if (!missing && !round.conclusive) missing = {SearchFailure::kUnsettled, round.undecided};
  if (!missing && !unsure.empty()) missing = {SearchFailure::kMayBeHeld, unsure.front().agent};
  if (!missing && HaveAgentsCome(balancer, balancer.searches.flows.at(flow), now)) {
    missing = {SearchFailure::kUnsettled};
  }
  return EndNotFound(balancer, flow);
}

// Concludes a round for a flow that no answering agent holds; the agents `unsure` could not tell.
auto ConcludeRound(Balancer& balancer, const QueryRound& round, const FlowId& flow,
                   std::vector<Candidate> unsure, base::TimePoint now)
    -> std::optional<SearchOutcome> {
  if (round.elsewhere) return ConcludeElsewhere(balancer, round, flow, unsure, now);
  auto& search = balancer.searches.flows.at(flow);
  search.conclusive = round.conclusive && round.missing.empty();
  search.undecided = round.missing.empty() ? round.undecided : round.missing.front();
  search.disagrees = round.disagrees;
  if (unsure.empty()) {
    const auto unanswered = MissingPremise{SearchFailure::kNoAnswer, search.undecided};
    const auto missing =
        round.missing.empty() ? MissingPremiseOf(balancer, search, now) : std::optional{unanswered};
    return Conclude(balancer, flow, missing, now);
  }
  search.probed = std::move(unsure);
  search.stage = SearchStage::kProbing;
  search.probed_at = now;
  return FlowUnsure{flow, search.probed};
}

auto IsOfRound(const Balancer& balancer, const FlowId& flow, std::uint32_t token) -> bool {
  const auto entry = balancer.searches.flows.find(flow);
  return entry != balancer.searches.flows.end() && entry->second.stage == SearchStage::kAsked &&
         entry->second.round == token;
}

// Suspects the agents that did not answer. They are asked for a report until they send one, and
// soon count as not alive.
auto SuspectSilent(Balancer& balancer, const QueryRound& round, base::TimePoint now) -> void {
  for (const auto agent : round.missing) {
    const auto member = balancer.view.members.find(agent);
    if (member == balancer.view.members.end() || member->second.heard > round.asked_at) continue;
    Suspect(member->second, now);
  }
}

// Continues the search at all agents, since the likely ones do not hold the flow.
auto AskAllAgents(Balancer& balancer, FlowSearch& search, base::TimePoint now) -> void {
  auto& searches = balancer.searches;
  search.all_agents = true;
  search.stage = SearchStage::kDue;
  if (++searches.misses < balancer.policy.search.misses) return;
  searches.misses = 0;
  searches.all_at_once_until = now + balancer.policy.search.all_at_once_for;
}

// Continues to wait after a query to agents that had returned, none of which holds the flow. Those
// that did not answer are queried again.
auto AwaitFurther(FlowSearch& search, const QueryRound& round) -> void {
  search.stage = SearchStage::kAwaitsAgents;
  if (!round.missing.empty()) search.asked_at = search.asked_all_at;
}

// Ends a round: for each of its flows, the search continues at all agents or is concluded.
auto Close(Balancer& balancer, std::uint32_t token, base::TimePoint now)
    -> std::vector<SearchOutcome> {
  const auto node = balancer.searches.rounds.extract(token);
  const auto& round = node.mapped();
  SuspectSilent(balancer, round, now);
  auto outcomes = std::vector<SearchOutcome>{};
  for (auto place = std::size_t{0}; place < round.flows.size(); ++place) {
    const auto& flow = round.flows[place];
    if (!IsOfRound(balancer, flow, token)) continue;
    auto unsure = UnsureOf(balancer, round, place, now);
    auto& search = balancer.searches.flows.at(flow);
    if (!round.all_agents && unsure.empty() && search.awaited) {
      AwaitFurther(search, round);
    } else if (!round.all_agents && unsure.empty()) {
      AskAllAgents(balancer, search, now);
    } else {
      auto outcome = ConcludeRound(balancer, round, flow, std::move(unsure), now);
      if (outcome) outcomes.push_back(std::move(*outcome));
    }
  }
  return outcomes;
}

// Whether any flow of the round still waits for the answers.
auto IsWanted(const Balancer& balancer, std::uint32_t token, const QueryRound& round) -> bool {
  return std::any_of(round.flows.begin(), round.flows.end(),
                     [&](const FlowId& flow) { return IsOfRound(balancer, flow, token); });
}

// Repeats the queries to agents that have not answered, and ends the rounds that have timed out.
auto StepRounds(Balancer& balancer, base::TimePoint now, SearchStep& step) -> void {
  const auto& policy = balancer.policy.search;
  auto ended = std::vector<std::uint32_t>{};
  for (auto& [token, round] : balancer.searches.rounds) {
    const auto wait = round.all_agents ? policy.response_timeout : policy.retry_after;
    if (now - round.asked_at >= wait || !IsWanted(balancer, token, round)) {
      ended.push_back(token);
    } else if (now - round.sent_at >= policy.retry_after) {
      round.sent_at = now;
      balancer.counters.queries += round.missing.size();
      SendQueries(balancer, token, round, step.queries);
    }
  }
  for (const auto token : ended) {
    const auto outcomes = Close(balancer, token, now);
    step.outcomes.insert(step.outcomes.end(), outcomes.begin(), outcomes.end());
  }
}

// Marks the round as inconclusive: after the agent's answer, a flow that no agent holds may still
// not be lost.
auto MarkInconclusive(QueryRound& round, Address agent) -> void {
  if (std::exchange(round.conclusive, false)) round.undecided = agent;
}

// Returns the flow at an index from an answer, or nullptr if the index is out of range.
auto FlowAt(const QueryRound& round, std::uint32_t place) -> const FlowId* {
  return place < round.flows.size() ? &round.flows[place] : nullptr;
}

// Ends probing. If an agent has not returned the packet, the flow is presumed to be there.
// Safeguard: a target acknowledges a request together with its answer, which takes longer than to
// return a packet. If flows without an answer counted as unknown after 120 ms, flows being served
// would be searched for at all agents. After a restart of all processes, 52 targets then returned
// 36,000 packets per second, which used up balancers with 0.12 of a core.
auto EndProbing(Balancer& balancer, const FlowId& flow, base::TimePoint now, SearchStep& step)
    -> void {
  auto& search = balancer.searches.flows.at(flow);
  const auto holder = std::find_if(
      search.probed.begin(), search.probed.end(),
      [&](const Candidate& probed) { return KeepsPacket(balancer, search, probed.agent, now); });
  if (holder != search.probed.end()) {
    const auto presumed = FlowPresumed{flow, *holder};
    EndFound(balancer, flow, presumed.holder.agent, now);
    step.outcomes.emplace_back(presumed);
  } else if (search.all_agents) {
    const auto away = AwayAgent(balancer, search.services, now);
    const auto missing = away != 0 ? MissingPremise{SearchFailure::kAgentMissing, away}
                                   : MissingPremise{SearchFailure::kMayBeHeld};
    auto outcome = Conclude(balancer, flow, missing, now);
    if (outcome) step.outcomes.push_back(std::move(*outcome));
  } else {
    AskAllAgents(balancer, search, now);
  }
}

// Continues a search that awaits agents or their records once they have come, or have not come in
// time. `away` is an agent of its services that is away.
auto StepAwaiting(Balancer& balancer, const FlowId& flow, Address away, base::TimePoint now,
                  SearchStep& step) -> void {
  auto& search = balancer.searches.flows.at(flow);
  const auto& policy = balancer.policy.search;
  const auto unread = search.awaits_records && !KnowsAllAgents(balancer, search);
  if (unread && now - search.awaits_since < RecordsTimeoutOf(policy, search)) {
    balancer.records_wanted = true;
    return;
  }
  if (!unread && away != 0 && now - search.since < policy.away_timeout) return;
  const auto may_differ = unread ? search.disagrees : away == 0 && search.awaited.has_value();
  if (may_differ && now - search.since < policy.records_timeout) {
    AskAgain(search);
    return;
  }
  auto missing = MissingPremiseOf(balancer, search, now);
  if (away != 0) missing = {SearchFailure::kAgentMissing, away};
  auto outcome = Conclude(balancer, flow, missing, now);
  if (outcome) step.outcomes.push_back(std::move(*outcome));
}

// Handles the searches that await agents or their records, all of the same set of services. `away`
// is as in StepAwaiting.
auto StepAwaitingFlows(Balancer& balancer, const Services& services,
                       const std::vector<FlowId>& flows, Address away, base::TimePoint now,
                       SearchStep& step) -> void {
  for (const auto& flow : flows) StepAwaiting(balancer, flow, away, now, step);
  auto still = flows;
  std::erase_if(still, [&](const FlowId& flow) {
    const auto entry = balancer.searches.flows.find(flow);
    return entry == balancer.searches.flows.end() ||
           entry->second.stage != SearchStage::kAwaitsAgents || !entry->second.awaited;
  });
  if (!still.empty()) AskReturned(balancer, services, still, now, step);
}

// Queries agents for the due flows of one set of services.
auto AskForDue(Balancer& balancer, const Services& services, const std::vector<FlowId>& due,
               base::TimePoint now, SearchStep& step) -> void {
  const auto agents = AgentsOf(balancer, services, now);
  if (!agents.empty()) return AskFor(balancer, agents, due, now, step);
  for (const auto& flow : due) {
    auto outcome = Conclude(balancer, flow, MissingPremise{SearchFailure::kNoTarget}, now);
    if (outcome) step.outcomes.push_back(std::move(*outcome));
  }
}

// Queries agents of other services for the due flows of one route and set of services.
auto AskElsewhereForDue(Balancer& balancer, const Services& services,
                        const std::vector<FlowId>& due, base::TimePoint now, SearchStep& step)
    -> void {
  if (now < balancer.searches.next_query_at) return;
  const auto others = OtherHoldersOf(balancer, due.front(), services, now);
  for (const auto& flow : due) {
    auto& search = balancer.searches.flows.at(flow);
    NoteUndecided(search, others);
    if (others.agents.empty()) step.outcomes.push_back(EndNotFound(balancer, flow));
  }
  if (!others.agents.empty()) packets::AskElsewhere(balancer, others.agents, due, now, step);
}

// Notes that the agent withheld the packet because its target may hold the flow half open and drop
// its packets. The target's silence then proves nothing, so all agents are queried.
auto MarkWithheld(FlowSearch& search, Address agent) -> void {
  search.withheld = agent;
  search.all_agents = true;
}

}  // namespace

auto BeginSearch(Balancer& balancer, const Packet& packet,
                 std::span<const base::ServiceId> services, bool doubtful, base::TimePoint now)
    -> bool {
  auto& searches = balancer.searches;
  const auto flow = FlowFromClient(packet);
  const auto known = searches.flows.find(flow);
  if (known == searches.flows.end() &&
      searches.flows.size() >= balancer.policy.search.max_searches) {
    return false;
  }
  auto& search = known == searches.flows.end() ? searches.flows[flow] : known->second;
  if (known == searches.flows.end()) {
    search.services.assign(services.begin(), services.end());
    search.since = now;
  }
  // A packet without data proves nothing: a target also returns the last acknowledgement of a flow
  // that has just closed normally.
  if (!doubtful && (packet.payload != 0 || packet.finish)) search.expects_answer = true;
  search.acknowledged = packet.acknowledged;
  return true;
}

auto StepSearches(Balancer& balancer, base::TimePoint now) -> SearchStep {
  auto step = SearchStep{};
  StepRounds(balancer, now, step);
  auto due = std::map<Services, std::vector<FlowId>>{};
  auto elsewhere = std::map<std::pair<Services, End>, std::vector<FlowId>>{};
  auto over = std::vector<FlowId>{};
  auto awaiting = std::map<Services, std::vector<FlowId>>{};
  auto away = AwayAgents{balancer, now};
  for (const auto& [flow, search] : balancer.searches.flows) {
    if (search.stage == SearchStage::kDue) {
      auto& flows =
          search.elsewhere ? elsewhere[{search.services, flow.service}] : due[search.services];
      flows.push_back(flow);
    }
    if (HasProbed(balancer, search, away, now)) over.push_back(flow);
    if (search.stage == SearchStage::kAwaitsAgents) awaiting[search.services].push_back(flow);
  }
  for (const auto& [services, flows] : awaiting) {
    StepAwaitingFlows(balancer, services, flows, away.Of(services), now, step);
  }
  for (const auto& flow : over) EndProbing(balancer, flow, now, step);
  for (const auto& [services, flows] : due) AskForDue(balancer, services, flows, now, step);
  for (const auto& [key, flows] : elsewhere) {
    AskElsewhereForDue(balancer, key.first, flows, now, step);
  }
  return step;
}

auto TakeAnswer(Balancer& balancer, const FlowAnswer& answer, base::TimePoint now)
    -> std::vector<SearchOutcome> {
  const auto entry = balancer.searches.rounds.find(answer.token);
  if (entry == balancer.searches.rounds.end()) return {};
  auto& round = entry->second;
  const auto place = std::lower_bound(round.missing.begin(), round.missing.end(), answer.agent);
  if (place == round.missing.end() || *place != answer.agent) return {};
  round.missing.erase(place);
  const auto settled = answer.settled && answer.peers_digest == round.digest;
  if (!settled && !round.elsewhere) MarkInconclusive(round, answer.agent);
  if (round.digest != 0 && answer.peers_digest != round.digest) round.disagrees = true;
  const auto candidate = Candidate{answer.agent, answer.service};
  const auto asked_for = std::find(round.services.begin(), round.services.end(), answer.service) !=
                         round.services.end();
  if (!asked_for) MarkInconclusive(round, answer.agent);
  for (const auto unsure : answer.unsure) {
    if (FlowAt(round, unsure) == nullptr || !asked_for) continue;
    round.unsure[unsure].push_back(candidate);
  }
  auto outcomes = std::vector<SearchOutcome>{};
  for (const auto held : answer.held) {
    const auto* flow = FlowAt(round, held);
    if (flow == nullptr || !asked_for || !IsOfRound(balancer, *flow, answer.token)) continue;
    EndFound(balancer, *flow, candidate.agent, now);
    NoteFormerService(balancer, KeyOf(flow->service), candidate.service, now);
    outcomes.emplace_back(FlowFound{*flow, candidate});
  }
  if (!round.missing.empty()) return outcomes;
  const auto others = Close(balancer, answer.token, now);
  outcomes.insert(outcomes.end(), others.begin(), others.end());
  return outcomes;
}

auto HandleFlowLocated(Balancer& balancer, const FlowId& flow, Address agent, base::TimePoint now)
    -> bool {
  const auto& flows = balancer.searches.flows;
  const auto entry = flows.find(flow);
  const auto stage = entry == flows.end() ? SearchStage::kDue : entry->second.stage;
  const auto probed = stage == SearchStage::kProbing || stage == SearchStage::kAwaitsAgents;
  if (probed) {
    EndFound(balancer, flow, agent, now);
  } else {
    Remember(balancer, flow, agent, now);
  }
  return probed;
}

auto HandleReturnedProbe(Balancer& balancer, const FlowId& flow, Address agent, bool by_target,
                         base::TimePoint now) -> std::vector<SearchOutcome> {
  const auto entry = balancer.searches.flows.find(flow);
  if (entry == balancer.searches.flows.end()) return {};
  auto& search = entry->second;
  if (search.stage != SearchStage::kProbing) return {};
  const auto left = std::erase_if(
      search.probed, [&](const Candidate& candidate) { return candidate.agent == agent; });
  if (left != 0 && !by_target) {
    search.conclusive = false;
    search.undecided = agent;
  }
  if (left == 0 || !search.probed.empty()) return {};
  if (search.all_agents) {
    const auto outcome = Conclude(balancer, flow, MissingPremiseOf(balancer, search, now), now);
    return outcome ? std::vector{*outcome} : std::vector<SearchOutcome>{};
  }
  AskAllAgents(balancer, search, now);
  return {};
}

auto HandleReturnedPacket(Balancer& balancer, const Packet& packet, Address agent, bool by_target,
                          base::TimePoint now) -> ReturnedPacketStep {
  const auto flow = FlowFromClient(packet);
  const auto hint = balancer.hints.find(flow);
  if (hint != balancer.hints.end() && hint->second.agent == agent) hint->second.agent = 0;
  const auto verdict = RoutePacket(balancer, packet, now);
  if (std::holds_alternative<AwaitSearch>(verdict)) {
    if (!by_target) MarkWithheld(balancer.searches.flows.at(flow), agent);
    return {true, {}};
  }
  const auto* forward = std::get_if<ForwardToAgent>(&verdict);
  if (forward == nullptr) return {};
  const auto service = balancer.view.members.at(forward->agent).service;
  return {true, {FlowFound{flow, {forward->agent, service}}}};
}

}  // namespace anvildrum::packets
