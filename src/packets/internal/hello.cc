#include "packets/hello.h"

#include <algorithm>

namespace anvildrum::packets {

auto SplitHello(const Hello& hello) -> std::vector<Hello> {
  const auto count = hello.peers.size();
  const auto wanted = std::max<std::size_t>((count + kAgentsInHello - 1) / kAgentsInHello, 1);
  auto parts = std::vector<Hello>(std::min<std::size_t>(wanted, kMaxHelloParts), hello);
  for (auto i = std::size_t{0}; i < parts.size(); ++i) {
    auto& part = parts[i];
    const auto first = i * kAgentsInHello;
    const auto last = std::min(first + kAgentsInHello, count);
    const auto begin = hello.peers.begin();
    part.peers.assign(begin + static_cast<std::ptrdiff_t>(first),
                      begin + static_cast<std::ptrdiff_t>(last));
    part.part = static_cast<std::uint32_t>(i);
    part.parts = static_cast<std::uint32_t>(parts.size());
    if (wanted > kMaxHelloParts) part.complete = false;
  }
  return parts;
}

auto WantedParts(const std::map<base::ServiceId, ServiceHello>& hellos, const TargetReport& report)
    -> std::span<const Hello> {
  if (report.wanted_list == 0) return {};
  const auto hello = hellos.find(report.service);
  if (hello == hellos.end() || hello->second.brief.digest != report.wanted_list) return {};
  return hello->second.listed;
}

namespace {

auto ColdPerSecond(const Balancer& balancer, base::ServiceId service) -> std::uint32_t {
  if (!balancer.routes) return 0;
  const auto rate = balancer.routes->cold_per_second.find(service);
  return rate == balancer.routes->cold_per_second.end() ? 0 : rate->second;
}

// Announces the classes of the service's routes, if the balancer has a configuration.
auto PutClasses(const Balancer& balancer, Hello& hello) -> void {
  if (!balancer.routes) return;
  const auto entry = balancer.classes.find(hello.service);
  const auto none = entry == balancer.classes.end();
  hello.classes_digest = none ? DigestOfNoClasses() : entry->second.digest;
  hello.classes_version = balancer.routes->version;
}

}  // namespace

auto RequestedClasses(const ClassesByService& classes, const TargetReport& report)
    -> std::span<const RouteClassesPart> {
  const auto entry = classes.find(report.service);
  if (entry == classes.end() || entry->second.digest != report.wanted_classes) return {};
  return entry->second.parts;
}

auto MakeHellos(const Balancer& balancer, base::TimePoint now)
    -> std::map<base::ServiceId, ServiceHello> {
  const auto& view = balancer.view;
  const auto running_since = balancer.stall.running_since;
  auto hellos = std::map<base::ServiceId, ServiceHello>{};
  for (const auto& [agent, member] : view.members) {
    auto& hello = hellos[member.service].brief;
    const auto restarted = member.restarted_at != base::TimePoint{} &&
                           now - member.restarted_at < view.policy.restarted_for;
    if (restarted) hello.restarted.push_back(agent);
    if (MayHoldFlows(view, member, now)) {
      hello.peers.push_back({agent, member.service, member.report.domain});
    }
  }
  for (auto& [service, said] : hellos) {
    auto& hello = said.brief;
    std::sort(hello.peers.begin(), hello.peers.end(),
              [](const Peer& a, const Peer& b) { return a.agent < b.agent; });
    hello.service = service;
    hello.drained = view.drained;
    hello.drains_unknown = balancer.drains_unknown;
    hello.cold_per_second = ColdPerSecond(balancer, service);
    PutClasses(balancer, hello);
    hello.answers_route_queries = true;
    hello.every = view.hello_interval;
    hello.digest = DigestOf(hello);
    hello.complete =
        RecordsAreFresh(balancer, now) && IsComplete(view, service, running_since, now);
    if (hello.restarted.size() > kMaxRestarted) {
      hello.restarted.clear();
      hello.complete = false;
    }
    said.listed = SplitHello(hello);
    hello.complete = said.listed.front().complete;
    hello.listed = false;
    hello.peers.clear();
    for (auto& part : said.listed) {
      part.restarted.clear();
      part.drained = {};
    }
  }
  return hellos;
}

}  // namespace anvildrum::packets
