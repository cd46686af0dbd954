#include "policy_model.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>
#include <unordered_map>

#include "base/types/ids.h"
#include "steering/rendezvous.h"
#include "steering/types/directory_types.h"

namespace anvildrum::bench {
namespace {

constexpr auto kTargets = 7U;
constexpr auto kMostTargets = 9U;
constexpr auto kSlots = 4U;
constexpr auto kFlows = 6000.0;
constexpr auto kUsualLifetime = 60.0;
constexpr auto kRequestPeriod = 2.0;
constexpr auto kServiceTime = 0.005;
constexpr auto kSlowFactor = 2.0;
constexpr auto kReportPeriod = 1.0;
constexpr auto kReportLag = 2.0;  // of the targets' own word
constexpr auto kLateness = 3.0;
constexpr auto kSteadyFrom = 110.0;
constexpr auto kJoin = 240.0;
constexpr auto kDrain = 280.0;
constexpr auto kSecondJoin = 282.0;
constexpr auto kDeath = 320.0;
constexpr auto kEnd = 360.0;
constexpr auto kColdSeconds = 10.0;

struct Target {
  steering::TokenBucket hints;
  bool member = false;
  bool draining = false;
  bool dead = false;
  double joined = -1000;
  std::uint32_t flows = 0;
  std::uint32_t reported_flows = 0;
  double delay = kServiceTime;
  double reported_delay = 0;
  std::uint32_t lagging_load = 0;
  std::uint32_t previous_load = 0;
  std::vector<double> free_at = std::vector<double>(kSlots, 0.0);
  std::vector<double> finishes;  ///< of requests under way
};

struct Flow {
  std::uint64_t hash = 0;
  std::uint32_t owner = 0;
  double ends = 0;
  bool broken = false;
  std::vector<bool> seen;  ///< by balancer
};

struct Change {
  double at = 0;
  steering::CandidateSet set;
};

struct Due {
  double at = 0;
  std::uint64_t flow = 0;
  auto operator>(const Due& other) const -> bool { return at > other.at; }
};

struct Model {
  Variant variant;
  Condition condition = Condition::kEqual;
  std::mt19937_64 random;
  steering::Random placing;
  std::vector<Target> targets = std::vector<Target>(kMostTargets);
  std::vector<Change> views;
  std::vector<double> lateness;
  std::unordered_map<std::uint64_t, Flow> flows;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due;
  std::vector<double> queue_waits;
  Result result;
  double packets = 0;
  double hops = 0;
  double samples = 0;
};

auto Uniform(Model& model) -> double {
  return std::uniform_real_distribution<double>(0, 1)(model.random);
}

auto Exponential(Model& model, double mean) -> double {
  return -mean * std::log(1 - Uniform(model));
}

// A moment of the plan, which is drawn up for flows of kUsualLifetime.
auto At(const Model& model, double seconds) -> double {
  return seconds * model.variant.lifetime / kUsualLifetime;
}

auto MakeSet(const Model& model) -> steering::CandidateSet {
  auto set = steering::CandidateSet{};
  for (auto i = 0U; i < kMostTargets; ++i) {
    const auto& target = model.targets[i];
    auto id = base::TargetIdOf("target-" + std::to_string(i));
    auto halved = model.variant.reweighs && model.condition == Condition::kSlow && i == 0;
    auto weight = halved ? 1.0 / kSlowFactor : 1.0;
    set.candidates.push_back({id, weight, i % 3, target.member && !target.draining, false});
    if (halved) set.equal_weights = false;
  }
  return set;
}

auto RecordChange(Model& model, double now) -> void {
  model.views.push_back({now, MakeSet(model)});
}

// Index of the view that a balancer has.
auto ViewOf(const Model& model, std::uint32_t balancer, double now) -> std::size_t {
  auto last = model.views.size() - 1;
  while (last > 0 && model.views[last].at + model.lateness[balancer] > now) --last;
  return last;
}

auto LoadsOf(const Model& model, double now) -> std::vector<steering::TargetLoad> {
  auto loads = std::vector<steering::TargetLoad>{};
  for (const auto& target : model.targets) {
    auto load = steering::TargetLoad{};
    load.flows = target.reported_flows;
    load.connections = 2000;
    load.slots = kSlots;
    load.delay = base::microseconds(static_cast<std::int64_t>(target.reported_delay * 1e6));
    load.reported_load = target.lagging_load;
    load.age = base::milliseconds(static_cast<std::int64_t>((now - target.joined) * 1e3));
    load.eligible = target.member && !target.draining && !target.dead;
    loads.push_back(load);
  }
  return loads;
}

auto ChooseOwner(Model& model, const Flow& flow, std::uint32_t balancer, double now)
    -> std::uint32_t {
  if (model.variant.finder != Finder::kDirectory) {
    return steering::FindFirstHome(model.views[ViewOf(model, balancer, now)].set, flow.hash);
  }
  auto home = steering::FindFirstHome(model.views.back().set, flow.hash);
  auto policy = steering::PlacementPolicy{};
  policy.kind = model.variant.placement;
  auto loads = LoadsOf(model, now);
  return steering::Place(policy, {loads, home, 0}, model.placing);
}

auto Serve(Model& model, std::uint32_t index, double now) -> void {
  auto& target = model.targets[index];
  auto slot = std::ranges::min_element(target.free_at);
  auto start = std::max(now, *slot);
  auto slow = model.condition == Condition::kSlow && index == 0;
  auto cold = model.condition == Condition::kCold && now - target.joined < kColdSeconds;
  auto mean = kServiceTime * (slow || cold ? kSlowFactor : 1.0);
  auto length = Exponential(model, mean);
  *slot = start + length;
  target.finishes.push_back(start + length);
  if (now >= At(model, kSteadyFrom)) model.queue_waits.push_back(start - now);
  target.delay += (start + length - now - target.delay) / 64;
}

auto Open(Model& model, double now) -> void {
  auto flow = Flow{};
  flow.hash = model.random();
  auto balancer = static_cast<std::uint32_t>(model.random() % model.variant.balancers);
  flow.owner = ChooseOwner(model, flow, balancer, now);
  flow.ends = now + Exponential(model, model.variant.lifetime);
  flow.seen.resize(model.variant.balancers);
  flow.seen[balancer] = model.variant.finder == Finder::kHashAndCache;
  if (flow.owner >= kMostTargets || model.targets[flow.owner].dead) return;
  ++model.result.flows;
  ++model.targets[flow.owner].flows;
  ++model.targets[flow.owner].reported_flows;
  auto id = model.random();
  model.due.push({now + Exponential(model, kRequestPeriod), id});
  model.flows.emplace(id, std::move(flow));
}

// Whether the packet takes an extra hop; its home may hint the flow to the balancer then.
auto TakesHop(Model& model, Flow& flow, std::uint32_t balancer, std::uint32_t home, double now)
    -> bool {
  if (home == flow.owner || flow.seen[balancer]) return false;
  const auto policy = steering::DirectoryPolicy{};
  auto at = base::TimePoint{base::Duration(static_cast<std::int64_t>(now * 1e9))};
  flow.seen[balancer] =
      model.variant.hints && steering::TakeToken(model.targets[home].hints, policy.hints_per_second,
                                                 policy.hints_burst, at);
  return true;
}

// Whether the packet reaches the flow's owner; counts extra hops.
auto Reaches(Model& model, Flow& flow, std::uint32_t balancer, double now) -> bool {
  auto view = ViewOf(model, balancer, now);
  auto first = steering::FindFirstHome(model.views[view].set, flow.hash);
  auto steady = now >= At(model, kSteadyFrom) && now < At(model, kJoin);
  if (steady) model.packets += 1;
  switch (model.variant.finder) {
    case Finder::kHashAndCache: {
      auto known = static_cast<bool>(flow.seen[balancer]);
      flow.seen[balancer] = true;
      return known || first == flow.owner;
    }
    case Finder::kPreviousChain: {
      if (first == flow.owner) return true;
      if (steady) model.hops += 1;
      return view > 0 &&
             steering::FindFirstHome(model.views[view - 1].set, flow.hash) == flow.owner;
    }
    case Finder::kDirectory:
      if (TakesHop(model, flow, balancer, first, now) && steady) model.hops += 1;
      return true;
  }
  return false;
}

auto SendPacket(Model& model, std::uint64_t id, double now) -> void {
  auto found = model.flows.find(id);
  if (found == model.flows.end()) return;
  auto& flow = found->second;
  if (now > flow.ends || model.targets[flow.owner].dead) {
    if (!model.targets[flow.owner].dead) --model.targets[flow.owner].flows;
    model.flows.erase(found);
    return;
  }
  auto balancer = static_cast<std::uint32_t>(model.random() % model.variant.balancers);
  if (!Reaches(model, flow, balancer, now)) {
    ++(now < At(model, kDeath) ? model.result.broken_planned : model.result.broken_unplanned);
    --model.targets[flow.owner].flows;
    model.flows.erase(found);
    return;
  }
  Serve(model, flow.owner, now);
  model.due.push({now + Exponential(model, kRequestPeriod), id});
}

struct Spread {
  double max_over_mean = 0;
  double cv = 0;
};

template <typename Value>
auto SpreadOf(const Model& model, Value value) -> Spread {
  auto sum = 0.0;
  auto squares = 0.0;
  auto most = 0.0;
  auto count = 0.0;
  for (const auto& target : model.targets) {
    if (!target.member || target.draining || target.dead) continue;
    auto x = static_cast<double>(value(target));
    sum += x;
    squares += x * x;
    most = std::max(most, x);
    count += 1;
  }
  auto mean = sum / count;
  if (mean <= 0) return {1, 0};
  return {most / mean, std::sqrt(std::max(0.0, squares / count - mean * mean)) / mean};
}

auto Report(Model& model, double now) -> void {
  for (auto i = 0U; i < kMostTargets; ++i) {
    auto& target = model.targets[i];
    std::erase_if(target.finishes, [&](double finish) { return finish <= now; });
    target.reported_flows = target.flows;
    target.reported_delay = target.delay;
    // The target's own word is kReportLag old; a lying one says that it is idle.
    auto second = static_cast<std::uint64_t>(now);
    if (second % static_cast<std::uint64_t>(kReportLag) == 0) {
      target.lagging_load = target.previous_load;
      target.previous_load = target.flows;
    }
    if (model.condition == Condition::kLying && i == 0) target.lagging_load = 0;
  }
}

auto Sample(Model& model, double now) -> void {
  if (now < At(model, kSteadyFrom)) return;
  if (now >= At(model, kJoin)) {
    if (std::abs(now - At(model, kJoin) - 10) > 0.5) return;
    auto flows = SpreadOf(model, [](const Target& t) { return t.flows; });
    model.result.join_max_over_mean = flows.max_over_mean;
    return;
  }
  auto flows = SpreadOf(model, [](const Target& t) { return t.flows; });
  auto busy = SpreadOf(model, [](const Target& t) { return t.finishes.size(); });
  model.result.steady_max_over_mean += flows.max_over_mean;
  model.result.steady_cv += flows.cv;
  model.result.busy_max_over_mean += busy.max_over_mean;
  model.result.busy_cv += busy.cv;
  model.samples += 1;
}

auto Add(Model& model, std::uint32_t index, double now) -> void {
  model.targets[index].member = true;
  model.targets[index].joined = now;
  RecordChange(model, now);
}

auto ApplyChanges(Model& model, double before, double now) -> void {
  auto due = [&](double at) { return before < At(model, at) && At(model, at) <= now; };
  if (due(kJoin)) Add(model, kTargets, now);
  if (due(kDrain)) {
    model.targets[1].draining = true;
    RecordChange(model, now);
  }
  if (due(kSecondJoin)) Add(model, kTargets + 1, now);
  if (due(kDeath)) {
    model.targets[2].dead = true;
    model.targets[2].member = false;
    RecordChange(model, now);
  }
}

auto Finish(Model& model) -> Result {
  auto& result = model.result;
  result.steady_max_over_mean /= model.samples;
  result.steady_cv /= model.samples;
  result.busy_max_over_mean /= model.samples;
  result.busy_cv /= model.samples;
  auto p99 = model.queue_waits.begin() +
             static_cast<std::ptrdiff_t>(0.99 * static_cast<double>(model.queue_waits.size()));
  std::ranges::nth_element(model.queue_waits, p99);
  result.p99_queue_ms = *p99 * 1e3;
  result.hops = model.packets > 0 ? model.hops / model.packets : 0;
  return result;
}

}  // namespace

auto RunModel(const Variant& variant, Condition condition, std::uint32_t seed) -> Result {
  auto model = Model{};
  model.variant = variant;
  model.condition = condition;
  model.random.seed(seed);
  model.placing.seed(seed);
  for (auto i = 0U; i < kTargets; ++i) model.targets[i].member = true;
  RecordChange(model, -kLateness);
  for (auto i = 0U; i < variant.balancers; ++i) {
    model.lateness.push_back(kLateness * Uniform(model));
  }
  auto next_arrival = 0.0;
  auto next_report = kReportPeriod;
  for (auto now = 0.0; now < At(model, kEnd);) {
    auto next = std::min(next_arrival, next_report);
    if (!model.due.empty()) next = std::min(next, model.due.top().at);
    ApplyChanges(model, now, next);
    now = next;
    if (now == next_report) {
      Report(model, now);
      Sample(model, now);
      next_report += kReportPeriod;
    } else if (now == next_arrival) {
      Open(model, now);
      next_arrival += Exponential(model, variant.lifetime / kFlows);
    } else {
      auto due = model.due.top();
      model.due.pop();
      SendPacket(model, due.flow, now);
    }
  }
  return Finish(model);
}

}  // namespace anvildrum::bench
