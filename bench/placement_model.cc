#include "placement_model.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <utility>
#include <variant>
#include <vector>

#include "packets/agent.h"
#include "packets/balancer.h"
#include "packets/order.h"

namespace anvildrum::bench {
namespace {

using base::Duration;
using base::TimePoint;

constexpr auto kAgents = std::size_t{34};
constexpr auto kBalancers = std::size_t{17};
constexpr auto kSlots = 3U;
constexpr auto kWorkMs = 43.0;
constexpr auto kSpread = 0.5;
constexpr auto kTries = 3U;
constexpr auto kSlowTargets = std::size_t{3};
constexpr auto kHop = base::microseconds{1500};
constexpr auto kSampleEvery = base::milliseconds{20};
constexpr auto kWarmUp = base::seconds{2};
constexpr auto kLength = base::seconds{20};
constexpr auto kStart = TimePoint{base::hours{1}};
constexpr auto kFirstAgent = packets::Address{0x0a010001};
constexpr auto kService = base::ServiceId{11};
constexpr auto kRoute = packets::End{0xc6120001, 443};
constexpr auto kNoLimit = 1e9;

auto Milliseconds(double ms) -> Duration {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

// The part of a run that is measured.
auto MeasuredShare() -> double {
  return 1 - std::chrono::duration<double>(kWarmUp) / std::chrono::duration<double>(kLength);
}

struct Request {
  TimePoint began{};
  double work_ms = 0;
  std::uint32_t tries = 0;
  std::size_t balancer = 0;
};

/// Works on `kSlots` requests at once and keeps the others in order.
struct Target {
  std::deque<std::pair<packets::FlowId, Request>> waiting;
  std::size_t busy = 0;
  double factor = 1;
};

struct Event {
  TimePoint at{};
  std::uint64_t order = 0;
  std::function<void()> run;
  auto operator<(const Event& other) const -> bool {
    return std::tie(other.at, other.order) < std::tie(this->at, this->order);
  }
};

class Model {
 public:
  Model(const PlacementVariant& variant, const PlacementLoad& load, std::uint32_t seed)
      : variant(variant), load(load), draw(seed), choice_draw(seed + 1) {
    this->agents.resize(kAgents);
    this->targets.resize(kAgents);
    this->balancers.resize(kBalancers);
    auto routes = packets::Routes{};
    routes.version = 1;
    routes.shares[packets::KeyOf(kRoute)] = {{kService, 1}};
    for (auto& balancer : this->balancers) {
      packets::ApplyRoutes(balancer, routes, this->now);
      balancer.view.policy.alive_timeout =
          std::max<Duration>(balancer.view.policy.alive_timeout, this->ReportEvery() * 4);
    }
    for (auto i = std::size_t{0}; i < kAgents; ++i) this->MakeAgent(i);
  }

  auto Run() -> PlacementResult {
    for (auto i = std::size_t{0}; i < kBalancers; ++i) this->Hello(i);
    this->Later(Duration{}, [this] { this->Arrive(); });
    this->Later(kWarmUp, [this] { this->Sample(); });
    while (!this->queue.empty() && this->queue.top().at < kStart + kLength) {
      auto event = this->queue.top();
      this->queue.pop();
      this->now = event.at;
      event.run();
    }
    return this->Summary();
  }

 private:
  auto Later(Duration delay, std::function<void()> run) -> void {
    this->queue.push({this->now + delay, ++this->events, std::move(run)});
  }

  auto ReportEvery() const -> Duration { return base::milliseconds{this->load.report_ms}; }

  auto MakeAgent(std::size_t index) -> void {
    auto& agent = this->agents[index];
    agent.own = kFirstAgent + static_cast<packets::Address>(index);
    agent.service = kService;
    agent.policy.silent_for = base::hours{1};
    agent.policy.hello_lifetime = base::hours{1};
    if (!this->variant.limited) {
      auto& admission = agent.admission.policy;
      admission.opening_limit = admission.copy_limit = kNoLimit;
    }
    packets::TakeHeartbeat(
        agent,
        {.incarnation = {1, std::nullopt}, .service = kService, .sequence = 1, .slots = kSlots},
        this->now);
    packets::NoteRecorded(agent, {1, std::nullopt}, true);
    if (index < kSlowTargets) this->targets[index].factor = this->load.slow_factor;
  }

  auto Hello(std::size_t index) -> void {
    auto hello = packets::Hello{kService, {}, true};
    for (const auto& agent : this->agents) hello.peers.push_back({agent.own, kService});
    hello.digest = packets::DigestOf(hello);
    for (auto& agent : this->agents) {
      packets::TakeHello(agent, static_cast<packets::Address>(index + 1), hello, this->now);
      packets::RefreshPeers(agent, this->now);
      const auto report = packets::MakeReport(agent, 0, this->now);
      packets::TakeReport(this->balancers[index].view, report, this->now);
    }
    const auto first = this->now == kStart;
    const auto stagger =
        this->ReportEvery() * static_cast<int>(index) / static_cast<int>(kBalancers);
    this->Later(first ? stagger + Duration{1} : this->ReportEvery(),
                [this, index] { this->Hello(index); });
  }

  auto Arrive() -> void {
    const auto per_second = this->load.of_slots * kSlots * kAgents * 1000 / kWorkMs;
    auto gap = std::exponential_distribution<double>(per_second / 1000);
    auto work =
        std::lognormal_distribution<double>(std::log(kWorkMs) - kSpread * kSpread / 2, kSpread);
    auto any = std::uniform_int_distribution<std::size_t>(0, kBalancers - 1);
    const auto request = Request{this->now, work(this->draw), 0, any(this->draw)};
    if (this->now >= kStart + kWarmUp) ++this->asked;
    this->Open(request);
    this->Later(Milliseconds(gap(this->draw)), [this] { this->Arrive(); });
  }

  auto Open(Request request) -> void {
    ++request.tries;
    ++this->openings;
    const auto port = static_cast<std::uint16_t>(++this->ports);
    const auto client =
        packets::End{0x64400000 + static_cast<packets::Address>(this->ports >> 16U), port};
    auto packet = packets::Packet{.source = client, .destination = kRoute};
    packet.synchronize = true;
    const auto verdict = this->Choose(this->balancers[request.balancer], packet);
    const auto* forward = std::get_if<packets::ForwardToAgent>(&verdict);
    if (forward != nullptr) this->Send(*forward, packet, request);
  }

  auto Choose(packets::Balancer& balancer, const packets::Packet& packet)
      -> packets::BalancerVerdict {
    if (this->variant.choice == Choice::kProduct) {
      return packets::RoutePacket(balancer, packet, this->now);
    }
    const auto stamp = packets::Stamp{0, true, 0, packets::TagOf(kService)};
    return packets::ForwardToAgent{this->ChooseBaseline(balancer, packet), stamp};
  }

  auto ChooseBaseline(const packets::Balancer& balancer, const packets::Packet& packet)
      -> packets::Address {
    auto any = std::uniform_int_distribution<packets::Address>(0, kAgents - 1);
    const auto in_flight = [&](packets::Address agent) {
      return balancer.view.members.at(agent).report.in_flight;
    };
    auto all = std::vector<packets::Address>{};
    auto places = std::vector<packets::Place>{};
    for (const auto& agent : this->agents) {
      all.push_back(agent.own);
      places.push_back({agent.own, agent.domain});
    }
    switch (this->variant.choice) {
      case Choice::kRendezvous:
        return packets::RendezvousOrder(packets::FlowFromClient(packet), places).front();
      case Choice::kLeastReported:
        std::shuffle(all.begin(), all.end(), this->choice_draw);
        return *std::min_element(all.begin(), all.end(),
                                 [&](auto a, auto b) { return in_flight(a) < in_flight(b); });
      case Choice::kPowerOfTwo: {
        const auto a = kFirstAgent + any(this->choice_draw);
        const auto b = kFirstAgent + any(this->choice_draw);
        return in_flight(a) <= in_flight(b) ? a : b;
      }
      default:
        return kFirstAgent + any(this->choice_draw);
    }
  }

  auto Send(const packets::ForwardToAgent& forward, packets::Packet packet, const Request& request)
      -> void {
    packet.stamp = forward.stamp;
    this->passed_on += forward.stamp.hops > 0 ? 1 : 0;
    this->Later(kHop, [this, to = forward.agent, packet, request] {
      const auto index = to - kFirstAgent;
      const auto verdict = packets::FromPeer(this->agents[index], packet, this->now);
      if (const auto* next = std::get_if<packets::ForwardToAgent>(&verdict)) {
        return this->Send(*next, packet, request);
      }
      if (std::holds_alternative<packets::RefuseOpening>(verdict)) return this->Refuse(request);
      if (!std::holds_alternative<packets::DeliverToTarget>(verdict)) return;
      this->targets[index].waiting.emplace_back(packets::FlowFromClient(packet), request);
      this->Begin(index);
    });
  }

  auto Refuse(const Request& request) -> void {
    if (request.tries >= kTries) return;
    this->Later(kHop, [this, request] { this->Open(request); });
  }

  // The opening's answer and the client's request cost one way there and back.
  auto Begin(std::size_t index) -> void {
    auto& target = this->targets[index];
    while (target.busy < kSlots && !target.waiting.empty()) {
      const auto [flow, request] = target.waiting.front();
      target.waiting.pop_front();
      ++target.busy;
      auto answer = packets::Packet{.source = flow.service, .destination = flow.client};
      answer.synchronize = true;
      packets::FromTarget(this->agents[index], answer, this->now);
      auto data = packets::Packet{.source = flow.client, .destination = flow.service};
      data.payload = 100;
      data.acknowledged = 1;
      data.stamp.service_tag = packets::TagOf(kService);
      packets::FromPeer(this->agents[index], data, this->now);
      this->Later(
          Milliseconds(request.work_ms * target.factor),
          [this, index, flow = flow, request = request] { this->Finish(index, flow, request); });
    }
  }

  auto Finish(std::size_t index, const packets::FlowId& flow, const Request& request) -> void {
    auto reply = packets::Packet{.source = flow.service, .destination = flow.client};
    reply.payload = 600;
    packets::FromTarget(this->agents[index], reply, this->now);
    auto finish = packets::Packet{.source = flow.client, .destination = flow.service};
    finish.reset = true;
    finish.stamp.service_tag = packets::TagOf(kService);
    packets::FromPeer(this->agents[index], finish, this->now);
    --this->targets[index].busy;
    const auto took = this->now - request.began + 4 * kHop;
    if (request.began >= kStart + kWarmUp) {
      this->latencies.push_back(std::chrono::duration<double, std::milli>(took).count());
    }
    this->Begin(index);
  }

  auto Sample() -> void {
    auto sum = 0.0;
    auto squares = 0.0;
    auto most = 0.0;
    for (const auto& target : this->targets) {
      const auto here = static_cast<double>(target.busy + target.waiting.size());
      sum += here;
      squares += here * here;
      most = std::max(most, here);
    }
    const auto mean = sum / kAgents;
    if (mean > 0) {
      this->max_over_mean.push_back(most / mean);
      this->cv.push_back(std::sqrt(std::max(0.0, squares / kAgents - mean * mean)) / mean);
    }
    this->Later(kSampleEvery, [this] { this->Sample(); });
  }

  auto Summary() -> PlacementResult {
    const auto mean = [](const std::vector<double>& values) {
      auto sum = 0.0;
      for (const auto value : values) sum += value;
      return values.empty() ? 0 : sum / static_cast<double>(values.size());
    };
    const auto within = [&](double ms) {
      const auto count = std::count_if(this->latencies.begin(), this->latencies.end(),
                                       [&](double took) { return took <= ms; });
      return static_cast<double>(count) / static_cast<double>(this->asked);
    };
    std::sort(this->latencies.begin(), this->latencies.end());
    const auto p99 =
        this->latencies.empty() ? 0 : this->latencies[this->latencies.size() * 99 / 100];
    const auto openings = static_cast<double>(this->openings);
    return {.max_over_mean = mean(this->max_over_mean),
            .cv = mean(this->cv),
            .in_aim = within(kAimMs),
            .served = within(kDeadlineMs),
            .p99_ms = p99,
            .tries = openings * MeasuredShare() / static_cast<double>(this->asked),
            .hops = static_cast<double>(this->passed_on) / openings};
  }

  PlacementVariant variant;
  PlacementLoad load;
  std::mt19937 draw;         ///< of arrivals, the same for each variant
  std::mt19937 choice_draw;  ///< of what a variant draws itself
  TimePoint now = kStart;
  std::uint64_t events = 0;
  std::priority_queue<Event> queue;
  std::vector<packets::Agent> agents;
  std::vector<Target> targets;
  std::vector<packets::Balancer> balancers;
  std::uint64_t ports = 0;
  std::uint64_t asked = 0;
  std::uint64_t openings = 0;
  std::uint64_t passed_on = 0;
  std::vector<double> latencies;
  std::vector<double> max_over_mean;
  std::vector<double> cv;
};

}  // namespace

auto RunPlacement(const PlacementVariant& variant, const PlacementLoad& load, std::uint32_t seed)
    -> PlacementResult {
  return Model(variant, load, seed).Run();
}

}  // namespace anvildrum::bench
