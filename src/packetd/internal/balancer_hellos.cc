#include <algorithm>
#include <cstddef>
#include <map>
#include <set>

#include "packetd/addresses.h"
#include "packetd/balancer_node.h"
#include "packets/reach.h"

// The part of BalancerNode that exchanges hellos with agents and other balancers.
namespace anvildrum::packetd {
namespace {

// A balancer that has sent no hello for this long receives no more hellos.
constexpr auto kBalancerExpiry = base::seconds{5};

// Covers two hello periods, so that one hello may be lost.
constexpr auto kRecentHelloWindow = base::milliseconds{2500};

// Time after which a balancer has received hellos of all live seeds.
constexpr auto kSeedsKnownAfter = kRecentHelloWindow;

// Number of balancers whose counts are compared, more than there are seeds.
constexpr auto kMaxBalancerReports = std::size_t{8};

// Number of balancers that are examined for one that has the configuration. Usually most or none of
// them have it.
constexpr auto kMaxHoldersExamined = std::size_t{8};

}  // namespace

// A balancer that is new or knows no agents is sent all live agents at once. If the platform
// rejects its calls, it has no other source.
auto BalancerNode::OnHello(packets::Address from, const packets::Hello& hello, base::TimePoint now)
    -> void {
  const auto is_new = !this->balancers.contains(from);
  this->balancers[from] = {.mark = {.mark = hello.mark, .at = now},
                           .balancers = hello.balancers,
                           .revision = hello.revision};
  this->TakeDrained(hello.drained, "balancer");
  this->NoteNewer(from, hello, now);
  if (this->TakeConfirmation(hello, now) && this->IsSeed()) this->SendBriefHello(now);
  for (const auto agent : hello.out_of_reach) {
    packets::TakeOutOfReach(this->core.view, agent, now);
  }
  for (const auto& peer : hello.peers) {
    packets::AddUnverified(this->core.view, peer.agent, peer.service, now);
  }
  const auto knows_agents = !hello.listed || !hello.peers.empty();
  if (!is_new && knows_agents) return;
  for (const auto& part : packets::FullGossip(this->core.view, now)) {
    this->SendHello({from}, part, now);
  }
}

auto BalancerNode::SendDueHellos(base::TimePoint now) -> void {
  const auto running_since = this->core.stall.running_since;
  const auto due = packets::DueHellos(this->core.view, {}, running_since, now);
  if (due.empty()) return;
  this->last_hellos = packets::MakeHellos(this->core, now);
  auto briefs = std::map<base::ServiceId, std::string>{};
  for (const auto& [service, hello] : this->last_hellos) {
    auto brief = hello.brief;
    brief.revision = this->peers.Revision();
    brief.platform_silent = this->IsPlatformSilent(now);
    briefs[service] = packets::EncodeControl(brief);
  }
  for (const auto agent : due) {
    this->SendControl(agent, briefs.at(this->core.view.members.at(agent).service));
  }
}

auto BalancerNode::ProbeSilentAgents(base::TimePoint now) -> void {
  const auto due = packets::DueProbes(this->core.view, {}, this->probes.FreeSlots(),
                                      this->core.stall.running_since, now);
  for (const auto agent : due) this->probes.Begin(agent);
}

// Sends an agent the parts of the last hello's agent list and the route classes that it requests.
auto BalancerNode::OnReport(const packets::TargetReport& report, base::TimePoint now) -> void {
  packets::TakeReport(this->core.view, report, now);
  this->TakeDrained(report.drained, "agent");
  this->AskAgent(report, now);
  for (const auto& part : packets::WantedParts(this->last_hellos, report)) {
    this->SendControl(report.agent, packets::EncodeControl(part));
  }
  for (const auto& part : packets::RequestedClasses(this->core.classes, report)) {
    this->SendControl(report.agent, packets::EncodeControl(part));
  }
}

// These hellos make a new agent known to all balancers within a second, including balancers whose
// calls the platform rejects or answers late. Balancers find each other through the seeds, which
// answer every sender of a hello.
auto BalancerNode::SendPeriodicHellos(base::TimePoint now) -> void {
  std::erase_if(this->balancers,
                [&](const auto& entry) { return now - entry.second.mark.at > kBalancerExpiry; });
  const auto gossip = packets::NextGossip(this->core.view, this->gossip, now);
  this->SendHello(this->Balancers(), gossip, now);
}

auto BalancerNode::Balancers() const -> std::set<packets::Address> {
  auto to = std::set<packets::Address>{};
  for (const auto& [balancer, heard] : this->balancers) to.insert(balancer);
  for (const auto& seed : this->settings.seeds) to.insert(AddressOf(seed));
  to.erase(this->core.own);
  return to;
}

// Balancers know the seeds and the balancers that exchange hellos with them; seeds know all.
//
// Safeguard: a balancer whose last read failed waits for its turn among all balancers. If it is cut
// off from them, it would use an old configuration until their entries expire. The count therefore
// ignores balancers without a recent hello, and falls to one when there are none.
auto BalancerNode::BalancerCount(base::TimePoint now) const -> std::size_t {
  auto count = std::size_t{1};
  auto reports = std::size_t{0};
  for (const auto& [balancer, known] : this->balancers) {
    if (now - known.mark.at > kRecentHelloWindow) continue;
    count = std::max<std::size_t>({count, known.balancers, this->balancers.size() + 1});
    if (++reports == kMaxBalancerReports) break;
  }
  return count;
}

// The live seed with the lowest address records the history of routes. Two balancers that both take
// themselves for it only cost calls, since their writes are conditional.
auto BalancerNode::RecordsRoutes(base::TimePoint now) const -> bool {
  if (now - this->started_at < kSeedsKnownAfter) return false;
  const auto own_is_seed = this->IsSeed();
  const auto goes_first = [&](const base::Endpoint& seed) {
    const auto known = this->balancers.find(AddressOf(seed));
    if (known == this->balancers.end() || known->first == this->core.own) return false;
    const auto lives = now - known->second.mark.at <= kRecentHelloWindow;
    return lives && (!own_is_seed || known->first < this->core.own);
  };
  const auto& seeds = this->settings.seeds;
  return std::none_of(seeds.begin(), seeds.end(), goes_first);
}

// On receipt, other balancers delay their own reads or fetch a newer configuration.
auto BalancerNode::SendBriefHello(base::TimePoint now) -> void {
  auto brief = packets::Hello{};
  brief.listed = false;
  this->SendHello(this->Balancers(), brief, now);
}

auto BalancerNode::SendHello(const std::set<packets::Address>& to, packets::Hello hello,
                             base::TimePoint now) -> void {
  hello.revision = this->peers.Revision();
  hello.drained = this->core.view.drained;
  hello.confirmed_ago = this->reads.Age(now);
  hello.out_of_reach = packets::OutOfReach(this->core.view, this->core.stall.running_since, now);
  hello.mark = base::MarkAt(this->mark_clock, now);
  hello.balancers = static_cast<std::uint32_t>(this->balancers.size() + 1);
  auto parts = packets::SplitIntoFrames(hello);
  for (const auto balancer : to) {
    const auto heard = this->balancers.find(balancer);
    const auto echo =
        heard != this->balancers.end() ? base::EchoOf(heard->second.mark, now) : std::nullopt;
    const auto holder = this->NextHolder(balancer);
    for (auto& part : parts) {
      part.echo = echo;
      part.holder = holder;
      this->SendControl(balancer, packets::EncodeControl(part));
    }
  }
}

// Returns the balancers that have the configuration in rotation, so that those without it ask
// different ones.
//
// Safeguard: otherwise all balancers whose calls the platform rejects would ask the seeds at the
// same moment, and the seeds' links are too narrow to answer them before the requests time out.
auto BalancerNode::NextHolder(packets::Address receiver) -> packets::Address {
  auto entry = this->balancers.upper_bound(this->last_holder);
  for (auto examined = std::size_t{0}; examined < kMaxHoldersExamined; ++examined, ++entry) {
    if (entry == this->balancers.end()) entry = this->balancers.begin();
    if (entry == this->balancers.end()) return 0;
    this->last_holder = entry->first;
    const auto has_it = entry->second.revision == this->peers.Revision();
    if (has_it && entry->first != receiver) return entry->first;
  }
  return 0;
}

}  // namespace anvildrum::packetd
