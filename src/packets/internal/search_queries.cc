#include "packets/internal/search_queries.h"

#include <algorithm>
#include <utility>

#include "packets/order.h"

namespace anvildrum::packets {
namespace {

// The agents that a round queries.
enum class Scope : std::uint8_t {
  kSome,       ///< some agents of the flows' services
  kAll,        ///< all of them
  kElsewhere,  ///< agents of other services
};

auto ServicesOf(const View& view, const std::vector<Place>& agents) -> Services {
  auto services = Services{};
  for (const auto& place : agents) services.push_back(view.members.at(place.agent).service);
  std::sort(services.begin(), services.end());
  services.erase(std::unique(services.begin(), services.end()), services.end());
  return services;
}

// Queries `agents` for `flows`, which all have the same set of services.
auto Ask(Balancer& balancer, std::vector<FlowId> flows, const std::vector<Place>& agents,
         Scope scope, base::TimePoint now, SearchStep& step) -> void {
  const auto token = ++balancer.searches.last_token;
  auto& round = balancer.searches.rounds[token];
  for (const auto& flow : flows) {
    auto& search = balancer.searches.flows.at(flow);
    search.stage = SearchStage::kAsked;
    search.round = token;
    search.asked_at = now;
    if (scope == Scope::kAll) search.asked_all_at = now;
  }
  round.elsewhere = scope == Scope::kElsewhere;
  round.services = round.elsewhere ? ServicesOf(balancer.view, agents)
                                   : balancer.searches.flows.at(flows.front()).services;
  round.unsure.resize(flows.size());
  round.flows = std::move(flows);
  round.all_agents = scope != Scope::kSome;
  round.conclusive = round.elsewhere || (round.all_agents && round.services.size() == 1);
  if (scope == Scope::kAll) round.digest = DigestOf(agents);
  for (const auto& place : agents) round.missing.push_back(place.agent);
  round.asked_at = now;
  round.sent_at = now;
  balancer.counters.queries += round.missing.size();
  const auto count = static_cast<std::int64_t>(agents.size());
  const auto rate = static_cast<std::int64_t>(balancer.policy.search.queries_per_second);
  auto& next_query_at = balancer.searches.next_query_at;
  next_query_at = std::max(next_query_at, now) + base::Duration{base::seconds{count}} / rate;
  SendQueries(balancer, token, round, step.queries);
}

// Queries `agents` for the flows, with as many flows per datagram as fit, until the rate limit is
// reached.
auto AskInChunks(Balancer& balancer, const std::vector<FlowId>& flows,
                 const std::vector<Place>& agents, Scope scope, base::TimePoint now,
                 SearchStep& step) -> void {
  for (auto first = std::size_t{0}; first < flows.size(); first += kFlowsInQuery) {
    if (now < balancer.searches.next_query_at) return;
    const auto last = std::min(first + kFlowsInQuery, flows.size());
    Ask(balancer,
        {flows.begin() + static_cast<std::ptrdiff_t>(first),
         flows.begin() + static_cast<std::ptrdiff_t>(last)},
        agents, scope, now, step);
  }
}

// Queries the likely agents of each flow if there are few flows. For many flows, queries all agents
// of the balancer's own failure domain if it has any, which takes fewer datagrams.
auto AskLikely(Balancer& balancer, const std::vector<FlowId>& flows,
               const std::vector<Place>& agents, base::TimePoint now, SearchStep& step) -> void {
  auto domain = agents;
  std::erase_if(domain, [&](const Place& place) { return place.domain != balancer.domain; });
  const auto likely = balancer.policy.search.likely;
  if (!domain.empty() && flows.size() * likely > domain.size()) {
    const auto all = domain.size() == agents.size();
    for (const auto& flow : flows) balancer.searches.flows.at(flow).all_agents = all;
    return AskInChunks(balancer, flows, domain, all ? Scope::kAll : Scope::kSome, now, step);
  }
  for (const auto& flow : flows) {
    if (now < balancer.searches.next_query_at) return;
    Ask(balancer, {flow}, LikelyAgents(balancer, flow, agents), Scope::kSome, now, step);
  }
}

}  // namespace

auto AgentsOf(const Balancer& balancer, const Services& services, base::TimePoint now)
    -> std::vector<Place> {
  auto agents = std::vector<Place>{};
  for (const auto service : services) {
    const auto some = SearchSet(balancer.view, service, now);
    agents.insert(agents.end(), some.begin(), some.end());
  }
  std::sort(agents.begin(), agents.end());
  return agents;
}

auto LikelyAgents(const Balancer& balancer, const FlowId& flow, const std::vector<Place>& agents)
    -> std::vector<Place> {
  auto order = RendezvousOrder(flow, agents, balancer.domain);
  order.resize(std::min(order.size(), balancer.policy.search.likely));
  auto likely = std::vector<Place>{};
  for (const auto agent : order) likely.push_back({agent, 0});
  std::sort(likely.begin(), likely.end());
  return likely;
}

auto SendQueries(const Balancer& balancer, std::uint32_t token, const QueryRound& round,
                 std::vector<AddressedQuery>& queries) -> void {
  for (const auto agent : round.missing) {
    const auto member = balancer.view.members.find(agent);
    if (member == balancer.view.members.end()) continue;
    queries.push_back({agent, {member->second.service, token, round.flows}});
  }
}

auto AskSome(Balancer& balancer, const std::vector<Place>& agents, const std::vector<FlowId>& due,
             base::TimePoint now, SearchStep& step) -> void {
  AskInChunks(balancer, due, agents, Scope::kSome, now, step);
}

auto AskElsewhere(Balancer& balancer, const std::vector<Place>& agents,
                  const std::vector<FlowId>& due, base::TimePoint now, SearchStep& step) -> void {
  AskInChunks(balancer, due, agents, Scope::kElsewhere, now, step);
}

auto AskFor(Balancer& balancer, const std::vector<Place>& agents, const std::vector<FlowId>& due,
            base::TimePoint now, SearchStep& step) -> void {
  auto& searches = balancer.searches;
  const auto likely_first =
      now >= searches.all_at_once_until && agents.size() > balancer.policy.search.likely;
  auto all_agents = std::vector<FlowId>{};
  auto others = std::vector<FlowId>{};
  for (const auto& flow : due) {
    auto& search = searches.flows.at(flow);
    if (!likely_first) search.all_agents = true;
    (search.all_agents ? all_agents : others).push_back(flow);
  }
  const auto all_now = others.empty() || (!all_agents.empty() && searches.all_agents_next);
  searches.all_agents_next = !all_now;
  if (all_now) return AskInChunks(balancer, all_agents, agents, Scope::kAll, now, step);
  AskLikely(balancer, others, agents, now, step);
}

}  // namespace anvildrum::packets
