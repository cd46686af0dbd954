// Messages, bytes and delay of one change to all receivers: the relay's tree (its cores on a
// virtual clock), a full mesh and push gossip, at several sizes. Prints JSON.
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "relay/tests/fleet.h"

namespace anvildrum::relay::fleet {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t kBalancersOfADomain = 158;
constexpr std::size_t kAgentsOfADomain = 842;
constexpr std::size_t kReceiversOfADomain = kBalancersOfADomain + kAgentsOfADomain;
constexpr std::size_t kConfigBytes = 20'000;
constexpr int kChanges = 20;
constexpr int kShortOutages = 20;
constexpr std::size_t kGossipFanOut = 3;
constexpr base::Duration kHop = base::milliseconds(2);
constexpr base::Duration kGossipRound = base::milliseconds(200);
const base::Duration kSettle = base::seconds(15);
const base::Duration kIdle = base::seconds(30);
const base::Duration kBetweenChanges = base::seconds(3);

auto Millis(base::Duration duration) -> double {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// Balancers and agents in the ratio of a failure domain at the letter's size.
auto MakeSized(std::size_t receivers) -> Fleet {
  const std::size_t domains = std::max<std::size_t>(1, receivers / kReceiversOfADomain);
  const std::size_t each = receivers / domains;
  const std::size_t balancers =
      std::max<std::size_t>(3, each * kBalancersOfADomain / kReceiversOfADomain);
  Fleet fleet = MakeFleet(domains, balancers, each - balancers);
  fleet.delay = kHop;
  for (Node& node : fleet.nodes) node.state.settings.seeds.clear();
  return fleet;
}

/// The balancers of the own domain, and the first two of each other one: what the cores look at.
auto ViewOf(const std::vector<std::vector<RelayPeer>>& domains, const std::string& own)
    -> PeersChanged {
  PeersChanged view;
  for (const auto& domain : domains) {
    const bool is_own = domain.front().failure_domain == own;
    const std::size_t seen = is_own ? domain.size() : std::min<std::size_t>(2, domain.size());
    view.peers.insert(view.peers.end(), domain.begin(),
                      domain.begin() + static_cast<std::ptrdiff_t>(seen));
  }
  return view;
}

auto DomainsOf(const Fleet& fleet) -> std::vector<std::vector<RelayPeer>> {
  std::map<std::string, std::vector<RelayPeer>> by_name;
  for (const Node& node : fleet.nodes) {
    const RelaySettings& settings = node.state.settings;
    if (settings.role != RelayRole::kBalancer) continue;
    by_name[settings.self.failure_domain].push_back(settings.self);
  }
  std::vector<std::vector<RelayPeer>> domains;
  for (auto& [name, domain] : by_name) {
    std::sort(domain.begin(), domain.end(), [](const RelayPeer& left, const RelayPeer& right) {
      return left.instance.value < right.instance.value;
    });
    domains.push_back(std::move(domain));
  }
  return domains;
}

auto ConfigText(std::uint64_t number) -> std::string {
  std::string text;
  for (std::size_t i = 0; text.size() < kConfigBytes; ++i) {
    text += "{\"name\":\"service-" + std::to_string(i) +
            "\",\"weight\":" + std::to_string(i == number ? number : i * 7919 % 1009) + "},";
  }
  return text;
}

auto StartSized(Fleet& fleet) -> void {
  PutObject(fleet, "config", ConfigText(1), 1);
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i) StartNode(fleet, i);
  const auto domains = DomainsOf(fleet);
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
    Deliver(fleet, i, ViewOf(domains, fleet.nodes[i].state.settings.self.failure_domain));
  }
  RunFor(fleet, kSettle);
}

struct Traffic {
  std::vector<std::uint64_t> in;
  std::vector<std::uint64_t> out;
};

auto ReadTraffic(const Fleet& fleet) -> Traffic {
  Traffic traffic;
  for (const Node& node : fleet.nodes) {
    traffic.in.push_back(node.bytes_in);
    traffic.out.push_back(node.bytes_out);
  }
  return traffic;
}

/// Largest bytes a second, in and out together, of one instance between two readings.
auto MostOfOne(const Traffic& from, const Traffic& to, base::Duration time) -> double {
  std::uint64_t most = 0;
  for (std::size_t i = 0; i < from.in.size(); ++i) {
    most = std::max(most, to.in[i] - from.in[i] + to.out[i] - from.out[i]);
  }
  return static_cast<double>(most) / std::chrono::duration<double>(time).count();
}

auto Percentile(std::vector<double>& values, double share) -> double {
  std::sort(values.begin(), values.end());
  const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  return values[index];
}

/// Messages and bytes of the changes alone: heartbeats of the same time are taken off.
struct Idle {
  double messages = 0;
  double bytes = 0;
};

auto MeasureIdle(Fleet& fleet, Json& row) -> Idle {
  const Traffic before = ReadTraffic(fleet);
  const std::uint64_t messages = fleet.messages;
  const std::uint64_t bytes = fleet.bytes;
  RunFor(fleet, kIdle);
  const double time = std::chrono::duration<double>(kIdle).count();
  const Idle idle{.messages = static_cast<double>(fleet.messages - messages) / time,
                  .bytes = static_cast<double>(fleet.bytes - bytes) / time};
  row["idle_messages_per_s"] = idle.messages;
  row["idle_bytes_per_s_mean_node"] = 2 * idle.bytes / static_cast<double>(fleet.nodes.size());
  row["idle_bytes_per_s_most_node"] = MostOfOne(before, ReadTraffic(fleet), kIdle);
  return idle;
}

template <typename Write>
auto MeasureChanges(Fleet& fleet, const Idle& idle, const std::string& prefix, Write write,
                    Json& row) -> void {
  std::vector<double> delays;
  const std::uint64_t messages = fleet.messages;
  const std::uint64_t bytes = fleet.bytes;
  std::uint64_t reached = 0;
  for (int i = 0; i < kChanges; ++i) {
    const base::TimePoint start = fleet.now;
    write(i);
    RunFor(fleet, kBetweenChanges);
    for (const Node& node : fleet.nodes) {
      if (node.in_force_at < start) continue;
      ++reached;
      delays.push_back(Millis(node.in_force_at - start));
    }
  }
  const double time = std::chrono::duration<double>(kBetweenChanges).count() * kChanges;
  row[prefix + "_messages"] =
      (static_cast<double>(fleet.messages - messages) - idle.messages * time) / kChanges;
  row[prefix + "_bytes"] =
      (static_cast<double>(fleet.bytes - bytes) - idle.bytes * time) / kChanges;
  if (reached == 0) return;
  row[prefix + "_reached"] = static_cast<double>(reached) / kChanges;
  row[prefix + "_delay_ms_p50"] = Percentile(delays, 0.5);
  row[prefix + "_delay_ms_p99"] = Percentile(delays, 0.99);
  row[prefix + "_delay_ms_max"] = Percentile(delays, 1.0);
}

auto MeasureTree(std::size_t receivers) -> Json {
  Fleet fleet = MakeSized(receivers);
  StartSized(fleet);
  Json row;
  row["way"] = "tree";
  row["receivers"] = fleet.nodes.size();
  row["watchers"] = Watchers(fleet);
  const Idle idle = MeasureIdle(fleet, row);
  const std::uint64_t calls = fleet.platform.calls;
  std::uint64_t number = 1;
  MeasureChanges(
      fleet, idle, "config",
      [&](int /*change*/) {
        ++number;
        PutObject(fleet, "config", ConfigText(number), number);
      },
      row);
  row["platform_calls_per_change"] = static_cast<double>(fleet.platform.calls - calls) / kChanges;
  const std::string record(300, 'r');
  MeasureChanges(
      fleet, idle, "target_record",
      [&](int change) { PutObject(fleet, "targets/mapper/m" + std::to_string(change), record); },
      row);
  return row;
}

auto HeartbeatBytes() -> double {
  wire::pb::RelayMessage message;
  message.set_sender(~0ULL);
  message.set_incarnation(~0ULL);
  message.mutable_heartbeat()->set_config_number(2'000'000);
  message.mutable_heartbeat()->set_revision(8'000'000);
  message.mutable_heartbeat()->set_digest(~0ULL);
  return static_cast<double>(message.ByteSizeLong());
}

/// The one that learns of a change tells all others itself, and each beats to each.
auto MeasureMesh(std::size_t receivers, double bytes_of_a_change) -> Json {
  const RelayPolicy policy;
  const auto others = static_cast<double>(receivers - 1);
  const double beats = 1.0 / std::chrono::duration<double>(policy.heartbeat).count();
  Json row;
  row["way"] = "mesh";
  row["receivers"] = receivers;
  row["config_messages"] = others;
  row["config_bytes"] = others * bytes_of_a_change;
  row["config_delay_ms_max"] = Millis(kHop);
  row["idle_bytes_per_s_most_node"] = 2 * others * beats * HeartbeatBytes();
  return row;
}

/// Each that holds the change pushes it to three random others in each round, until all hold it.
auto MeasureGossip(std::size_t receivers, double bytes_of_a_change) -> Json {
  const RelayPolicy policy;
  std::mt19937_64 random(receivers);
  std::uniform_int_distribution<std::size_t> any(0, receivers - 1);
  std::vector<bool> holds(receivers, false);
  holds[0] = true;
  std::size_t holders = 1;
  std::uint64_t messages = 0;
  int rounds = 0;
  for (; holders < receivers; ++rounds) {
    std::vector<bool> next = holds;
    for (std::size_t i = 0; i < receivers; ++i) {
      for (std::size_t push = 0; holds[i] && push < kGossipFanOut; ++push) {
        next[any(random)] = true;
        ++messages;
      }
    }
    holds = std::move(next);
    holders = static_cast<std::size_t>(std::count(holds.begin(), holds.end(), true));
  }
  const double beats = 1.0 / std::chrono::duration<double>(policy.heartbeat).count();
  Json row;
  row["way"] = "gossip";
  row["receivers"] = receivers;
  row["config_messages"] = messages;
  row["config_bytes"] = static_cast<double>(messages) * bytes_of_a_change;
  row["config_delay_ms_max"] = rounds * Millis(kGossipRound + kHop);
  row["idle_bytes_per_s_most_node"] = 2.0 * kGossipFanOut * beats * HeartbeatBytes();
  return row;
}

/// Each pushes the change to three random others once, when it learns of it. Some never hear of it.
auto MeasureGossipOnce(std::size_t receivers, double bytes_of_a_change) -> Json {
  std::mt19937_64 random(receivers);
  std::uniform_int_distribution<std::size_t> any(0, receivers - 1);
  std::vector<bool> holds(receivers, false);
  holds[0] = true;
  std::vector<std::size_t> fresh{0};
  std::uint64_t messages = 0;
  int rounds = 0;
  for (; !fresh.empty(); ++rounds) {
    std::vector<std::size_t> next;
    for (std::size_t push = 0; push < fresh.size() * kGossipFanOut; ++push) {
      const std::size_t to = any(random);
      ++messages;
      if (!holds[to]) next.push_back(to);
      holds[to] = true;
    }
    fresh = std::move(next);
  }
  Json row;
  row["way"] = "gossip_once";
  row["receivers"] = receivers;
  row["config_messages"] = messages;
  row["config_bytes"] = static_cast<double>(messages) * bytes_of_a_change;
  row["config_reached"] = std::count(holds.begin(), holds.end(), true);
  row["config_delay_ms_max"] = rounds * Millis(kHop);
  return row;
}

/// Heap of one instance with this many records of 300 bytes.
auto MeasureMemory(std::size_t records) -> Json {
  const auto before = mallinfo2().uordblks;
  State state = MakeState(Balancer(0, "fd0"));
  const base::TimePoint now{base::seconds(1)};
  Step(state, Started{}, now);
  for (std::size_t i = 0; i < records; ++i) {
    const std::string key = "targets/service-" + std::to_string(i / 4) + "/t" + std::to_string(i);
    Offer(state.store, {.key = key, .revision = i + 1, .value = std::string(300, 'r')}, true, now);
  }
  Json row;
  row["records"] = records;
  row["heap_bytes"] = mallinfo2().uordblks - before;
  return row;
}

/// Balancers that pass records on are killed, one at a time, each in the moment of a change: how
/// long until all that are left have it.
auto MeasureParentDeath(std::size_t receivers) -> Json {
  constexpr int deaths = 10;
  Fleet fleet = MakeSized(receivers);
  StartSized(fleet);
  std::vector<double> delays;
  std::uint64_t number = 1;
  for (int death = 0; death < deaths; ++death) {
    const auto dead = std::find_if(fleet.nodes.begin(), fleet.nodes.end(), [](const Node& node) {
      return node.up && !node.state.root && node.state.children.size() > 1;
    });
    if (dead == fleet.nodes.end()) break;
    KillNode(fleet, static_cast<std::size_t>(dead - fleet.nodes.begin()));
    const base::TimePoint start = fleet.now;
    ++number;
    PutObject(fleet, "config", ConfigText(number), number);
    RunFor(fleet, base::seconds(20));
    base::TimePoint last = start;
    for (const Node& node : fleet.nodes) {
      if (node.up) last = std::max(last, node.in_force_at);
    }
    delays.push_back(Millis(last - start));
  }
  Json row;
  row["receivers"] = receivers;
  row["deaths"] = delays.size();
  row["all_hold"] = AllHold(fleet, number);
  row["in_force_everywhere_ms_p50"] = Percentile(delays, 0.5);
  row["in_force_everywhere_ms_max"] = Percentile(delays, 1.0);
  return row;
}

/// Time until all hold what the platform holds; minus one: not within two minutes.
auto AgreeAfter(Fleet& fleet) -> double {
  const auto took = RunUntil(fleet, base::minutes(2), [&] { return AllAgree(fleet); });
  return took.has_value() ? Millis(*took) : -1.0;
}

/// Thirty minutes without the platform, an instance replaced each minute, then it is back. Then
/// short outages, for the time until all agree.
auto MeasureOutage() -> Json {
  Fleet fleet = MakeFleet(4, 10, 30);
  StartAll(fleet);
  const base::TimePoint down_at = fleet.now;
  const std::uint64_t calls = fleet.platform.calls;
  SetDown(fleet, true);
  for (std::size_t i = 0; i < 30; ++i) {
    const std::size_t replaced = (i * 37) % fleet.nodes.size();
    KillNode(fleet, replaced);
    RunFor(fleet, base::seconds(30));
    StartNode(fleet, replaced);
    RunFor(fleet, base::seconds(30));
  }
  Json row;
  row["instances"] = fleet.nodes.size();
  row["watchers"] = 8;
  row["outage_calls"] = fleet.platform.calls - calls;
  row["outage_calls_peak_per_s"] = PeakCalls(fleet, down_at);
  const base::TimePoint up_at = fleet.now;
  SetDown(fleet, false);
  PutObject(fleet, "config", "{}", 2);
  for (std::size_t i = 0; i < 40; ++i) Announce(fleet, i);
  std::vector<double> delays{AgreeAfter(fleet)};
  RunFor(fleet, base::seconds(30));
  row["after_calls_peak_per_s"] = PeakCalls(fleet, up_at);
  for (int outage = 0; outage < kShortOutages; ++outage) {
    SetDown(fleet, true);
    RunFor(fleet, base::minutes(2));
    SetDown(fleet, false);
    for (std::size_t i = 0; i < 40; ++i) Announce(fleet, i);
    delays.push_back(AgreeAfter(fleet));
  }
  row["agree_after_ms_p50"] = Percentile(delays, 0.5);
  row["agree_after_ms_max"] = Percentile(delays, 1.0);
  return row;
}

auto Run(std::size_t most) -> Json {
  Json out;
  out["per_hop_ms"] = Millis(kHop);
  out["gossip_round_ms"] = Millis(kGossipRound);
  out["gossip_fan_out"] = kGossipFanOut;
  out["config_bytes"] = kConfigBytes;
  out["changes"] = kChanges;
  out["heartbeat_bytes"] = HeartbeatBytes();
  for (const std::size_t receivers : {10, 100, 1'000, 10'000}) {
    if (receivers > most) continue;
    const Json tree = MeasureTree(receivers);
    const double bytes = tree["config_bytes"].get<double>() / tree["config_messages"].get<double>();
    out["ways"].push_back(tree);
    out["ways"].push_back(MeasureMesh(receivers, bytes));
    out["ways"].push_back(MeasureGossip(receivers, bytes));
    out["ways"].push_back(MeasureGossipOnce(receivers, bytes));
  }
  out["parent_death"] = MeasureParentDeath(std::min<std::size_t>(most, 1'000));
  out["outage"] = MeasureOutage();
  for (const std::size_t records : {1'000, 5'000, 26'100}) {
    out["memory"].push_back(MeasureMemory(records));
  }
  return out;
}

}  // namespace
}  // namespace anvildrum::relay::fleet

auto main(int argc, char** argv) -> int {
  const std::size_t most = argc > 1 ? std::stoul(argv[1]) : 10'000;
  std::cout << anvildrum::relay::fleet::Run(most).dump(2) << '\n';
  return 0;
}
