#include "admission/tests/model.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <queue>
#include <random>

namespace anvildrum::admission::model {
namespace {

using base::Duration;
using base::microseconds;
using base::milliseconds;

constexpr auto kToClient = milliseconds{1};          // one way
constexpr auto kBetweenTargets = microseconds{700};  // one way, between failure domains
constexpr auto kHandshake = milliseconds{6};         // from an admitted opening to its request
constexpr auto kRetryAfter = milliseconds{5};        // after a reset
constexpr auto kCopiesAfter = std::array{milliseconds{200}, milliseconds{600}};
constexpr auto kMaxTries = 3U;
constexpr auto kOrdinaryHops = std::uint8_t{6};
constexpr auto kSpread = 0.5;  // standard deviation of the logarithm of service times
constexpr auto kEpoch = base::TimePoint{base::seconds{1000}};

struct Waiting {
  std::size_t request = 0;
  std::uint32_t ahead = 0;
  Duration arrived{};
};

struct Target {
  Controller controller;
  std::uint32_t in_flight = 0;
  std::uint32_t running = 0;
  std::deque<Waiting> queue;
};

struct Event {
  Duration at{};
  std::uint64_t order = 0;
  std::function<void()> run;
  auto operator<(const Event& other) const -> bool {
    return std::pair(this->at, this->order) > std::pair(other.at, other.order);
  }
};

struct Opening {
  std::size_t request = 0;
  std::uint32_t tries = 1;  ///< Request::tries when it was sent
  std::uint32_t copies = 0;
};

struct World {
  explicit World(const Scenario& played) : scenario(played) {}
  const Scenario& scenario;
  std::mt19937_64 random;
  std::vector<Target> targets;
  std::vector<Request> requests;
  std::priority_queue<Event> events;
  std::uint64_t scheduled = 0;
  Duration now{};
};

auto After(World& world, Duration wait, std::function<void()> run) -> void {
  world.events.push({world.now + wait, world.scheduled++, std::move(run)});
}

auto ClassOf(const World& world, std::size_t request) -> const RequestClass& {
  return world.scenario.routes[world.requests[request].route].request;
}

auto StartNext(World& world, Target& target) -> void {
  if (target.running >= world.scenario.slots || target.queue.empty()) return;
  const auto next = target.queue.front();
  target.queue.pop_front();
  ++target.running;
  After(world, world.requests[next.request].work, [&world, &target, next] {
    --target.running;
    --target.in_flight;
    auto& request = world.requests[next.request];
    const auto& request_class = ClassOf(world, next.request);
    RecordAnswer(target.controller, request_class, world.now - next.arrived, next.ahead,
                 world.scenario.slots, kEpoch + world.now);
    const auto taken = world.now + kToClient - request.started;
    if (taken <= request_class.timeout) {
      request.end = taken <= request_class.objective ? End::kInTime : End::kLate;
    }
    StartNext(world, target);
  });
}

// A request reaches the target that has admitted its opening.
auto Arrive(World& world, Target& target, std::size_t id) -> void {
  if (target.queue.size() >= world.scenario.queue) {
    --target.in_flight;
    world.requests[id].end = End::kRejected;
    return;
  }
  const auto load = TargetLoad{.in_flight = target.in_flight - 1, .slots = world.scenario.slots};
  target.queue.push_back({id, AheadOf(load), world.now});
  StartNext(world, target);
}

auto SendOpening(World& world, std::size_t id) -> void;

auto Refuse(World& world, const Opening& opening) -> void {
  After(world, kToClient, [&world, opening] {
    auto& request = world.requests[opening.request];
    request.refused = true;
    if (request.tries == kMaxTries) {
      request.end = End::kRefused;
      return;
    }
    ++request.tries;
    After(world, kRetryAfter, [&world, opening] { SendOpening(world, opening.request); });
  });
}

// An opening reaches an agent after `visited` others; it may visit `hops` further ones.
auto Visit(World& world, const Opening& opening, std::vector<std::size_t> visited, std::size_t at,
           std::uint8_t hops) -> void {
  auto& target = world.targets[at];
  auto& request = world.requests[opening.request];
  const auto candidate =
      Candidate{.request = ClassOf(world, opening.request), .copies = opening.copies};
  const auto load = TargetLoad{.in_flight = target.in_flight, .slots = world.scenario.slots};
  const auto now = kEpoch + world.now;
  const auto before = world.scenario.on_verdict ? target.controller : Controller{};
  const auto limit = Decide(target.controller, candidate, load, now);
  if (world.scenario.on_verdict) {
    world.scenario.on_verdict({before, candidate, load, now, limit});
  }
  if (limit == Limit::kNone) {
    ++target.in_flight;
    if (request.admitted) return;  // a second one for the same request stays half open
    request.admitted = true;
    Observe(target.controller.handshake, kHandshake, 0.1, now);
    After(world, kHandshake,
          [&world, &target, opening] { Arrive(world, target, opening.request); });
    return;
  }
  const auto further = std::min(hops, MaxHops(target.controller, candidate, kOrdinaryHops, now));
  if (further == 0 || visited.size() + 1 >= world.targets.size()) {
    const auto silent = candidate.copies != 0 || AwaitsCopy(target.controller, candidate, now);
    if (!silent) Refuse(world, opening);
    return;
  }
  visited.push_back(at);
  ++request.hops;
  auto next = at;
  while (std::find(visited.begin(), visited.end(), next) != visited.end()) {
    next = world.random() % world.targets.size();
  }
  After(world, kBetweenTargets, [&world, opening, visited, next, further] {
    Visit(world, opening, visited, next, further - 1);
  });
}

// A balancer prefers the less loaded one of two targets.
auto Place(World& world, const Opening& opening) -> void {
  const auto one = world.random() % world.targets.size();
  const auto two = world.random() % world.targets.size();
  const auto at = world.targets[one].in_flight <= world.targets[two].in_flight ? one : two;
  After(world, kToClient, [&world, opening, at] { Visit(world, opening, {}, at, kOrdinaryHops); });
}

auto SendOpening(World& world, std::size_t id) -> void {
  auto& request = world.requests[id];
  request.refused = false;
  auto opening = Opening{.request = id, .tries = request.tries};
  Place(world, opening);
  for (const auto after : kCopiesAfter) {
    ++opening.copies;
    After(world, after, [&world, opening] {
      const auto& of = world.requests[opening.request];
      if (!of.admitted && !of.refused && of.tries == opening.tries) Place(world, opening);
    });
  }
}

auto StartRequests(World& world, std::size_t route) -> void {
  const auto& scenario = world.scenario;
  const auto& [request, work, per_second] = scenario.routes[route];
  const auto burst = world.now >= scenario.burst_from && world.now < scenario.burst_until;
  auto interval = std::exponential_distribution<>(per_second * (burst ? scenario.burst : 1));
  const auto mean = std::chrono::duration<double>(work).count();
  auto lognormal = std::lognormal_distribution<>(std::log(mean) - kSpread * kSpread / 2, kSpread);
  const auto in_seconds = [](double time) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(time));
  };
  After(world, in_seconds(interval(world.random)),
        [&world, route, lognormal, in_seconds]() mutable {
          if (world.now >= world.scenario.end) return;
          const auto drawn = in_seconds(lognormal(world.random));
          world.requests.push_back({.route = route, .started = world.now, .work = drawn});
          SendOpening(world, world.requests.size() - 1);
          StartRequests(world, route);
        });
}

}  // namespace

auto Play(const Scenario& scenario) -> std::vector<Request> {
  auto world = World(scenario);
  world.random.seed(scenario.seed);
  const auto by_priority = [](const auto& a, const auto& b) {
    return a.request.priority < b.request.priority;
  };
  const auto [most, least] =
      std::minmax_element(scenario.routes.begin(), scenario.routes.end(), by_priority);
  auto target = Target{};
  target.controller.policy = scenario.policy;
  target.controller.most_urgent = most->request.priority;
  target.controller.least_urgent = least->request.priority;
  world.targets.assign(scenario.targets, target);
  for (auto route = std::size_t{0}; route < scenario.routes.size(); ++route) {
    StartRequests(world, route);
  }
  while (!world.events.empty()) {
    const auto event = world.events.top();
    world.events.pop();
    world.now = event.at;
    event.run();
  }
  return world.requests;
}

}  // namespace anvildrum::admission::model
