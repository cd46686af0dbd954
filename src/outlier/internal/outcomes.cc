#include "outlier/outcomes.h"

#include <algorithm>
#include <utility>

namespace anvildrum::outlier {
namespace {

// Weight of an ordinary answer in the route's means: they follow the last 50 answers.
constexpr auto kWeight = 0.02;

// Weight of an answer that is far shorter than usual.
//
// Safeguard: with the ordinary weight, the error answers of a failing target became the usual ones
// within 50 requests, and the target would count as healthy. A new kind of document is still
// learned: after 1,000 answers of a tenth of the former length.
constexpr auto kShortWeight = 0.001;

// An answer of less than this share of the route's mean length counts as failed.
constexpr auto kShortShare = 0.25;

// Largest multiple of the mean that a single answer counts as.
//
// Safeguard: where documents differ in length, one of 100 times the mean would triple the mean, and
// the ordinary answers after it would count as too short.
constexpr auto kMaxMultiple = 4.0;

// A request without an answer for this multiple of the route's usual time counts as failed.
constexpr auto kResponseTimeoutFactor = 8;

// Lower bound of ResponseTimeout. Answers of a few hundred microseconds would otherwise count as
// missing when a process waits for its processor for some milliseconds.
constexpr auto kMinResponseTimeout = base::milliseconds{50};

// Weight of a service time in the mean. Its relative error is then below a tenth for exponentially
// distributed service times.
constexpr auto kServiceWeight = 0.02;

// A mean service time is unknown after this long without an observation, since the target may have
// changed.
constexpr auto kServiceLifetime = base::seconds{10};

auto Moved(double mean, double observed, double weight) -> double {
  return mean + (observed - mean) * weight;
}

auto Moved(base::Duration mean, base::Duration observed, double weight) -> base::Duration {
  const auto change = static_cast<double>((observed - mean).count()) * weight;
  return mean + base::Duration(static_cast<base::Duration::rep>(change));
}

auto Find(const Outcomes& outcomes, std::uint64_t route) -> const RouteStatistics* {
  const auto& routes = outcomes.routes;
  const auto entry = std::find_if(routes.begin(), routes.end(),
                                  [&](const auto& one) { return one.route == route; });
  return entry == routes.end() ? nullptr : &*entry;
}

auto FindOrAdd(Outcomes& outcomes, std::uint64_t route) -> RouteStatistics& {
  auto& routes = outcomes.routes;
  const auto known = std::find_if(routes.begin(), routes.end(),
                                  [&](const auto& one) { return one.route == route; });
  if (known != routes.end()) return *known;
  if (routes.size() < kMaxRoutes) return routes.emplace_back(RouteStatistics{.route = route});
  auto& oldest = *std::min_element(routes.begin(), routes.end(),
                                   [](const auto& a, const auto& b) { return a.used < b.used; });
  oldest = {.route = route};
  return oldest;
}

auto IsShort(const RouteStatistics& route, std::uint32_t bytes) -> bool {
  return route.observed >= kMinObserved && bytes < kShortShare * route.mean_bytes;
}

auto Classify(const RouteStatistics& route, const FinishedRequest& request) -> Outcome {
  switch (request.ending) {
    case Ending::kAnswered:
      return IsShort(route, request.bytes) ? Outcome::kFailed : Outcome::kOk;
    case Ending::kClientLeft:
      return IsShort(route, request.bytes) ? Outcome::kUnknown : Outcome::kOk;
    default:
      return Outcome::kFailed;
  }
}

auto Learn(RouteStatistics& route, const FinishedRequest& request, Outcome outcome) -> void {
  const auto bytes = static_cast<double>(request.bytes);
  if (request.ending != Ending::kAnswered) return;
  if (outcome == Outcome::kFailed) {
    route.mean_bytes = Moved(route.mean_bytes, bytes, kShortWeight);
    return;
  }
  const auto learned = route.observed >= kMinObserved;
  if (!learned) ++route.observed;
  // A plain mean of the first answers, and a moving one later.
  const auto weight = learned ? kWeight : 1.0 / route.observed;
  const auto counted = learned ? std::min(bytes, kMaxMultiple * route.mean_bytes) : bytes;
  route.mean_bytes = Moved(route.mean_bytes, counted, weight);
  route.mean_taken = Moved(route.mean_taken, request.taken, weight);
}

auto RotateGenerations(Outcomes& outcomes, base::TimePoint now) -> void {
  const auto age = now - outcomes.rotated_at;
  if (age < kGeneration) return;
  const auto current = std::exchange(outcomes.generations[0], {});
  outcomes.generations[1] = age < 2 * kGeneration ? current : Counts{};
  // Generations keep their rhythm while requests arrive, so that none is longer than another.
  outcomes.rotated_at = age < 2 * kGeneration ? outcomes.rotated_at + kGeneration : now;
}

}  // namespace

auto Record(Outcomes& outcomes, const FinishedRequest& request, base::TimePoint now) -> Outcome {
  RotateGenerations(outcomes, now);
  auto& route = FindOrAdd(outcomes, request.route);
  route.used = now;
  const auto outcome = Classify(route, request);
  Learn(route, request, outcome);
  if (outcome == Outcome::kUnknown) return outcome;
  auto& counts = outcomes.generations[0];
  ++counts.answered;
  if (outcome == Outcome::kFailed) ++counts.failed;
  return outcome;
}

auto RecordService(Outcomes& outcomes, base::Duration service, base::TimePoint now) -> void {
  const auto known = MeanService(outcomes, now) != base::Duration{};
  outcomes.mean_service = known ? Moved(outcomes.mean_service, service, kServiceWeight) : service;
  outcomes.served_at = now;
}

auto CountsOf(Outcomes& outcomes, base::TimePoint now) -> Counts {
  RotateGenerations(outcomes, now);
  const auto& [current, previous] = outcomes.generations;
  return {current.answered + previous.answered, current.failed + previous.failed};
}

auto MeanService(const Outcomes& outcomes, base::TimePoint now) -> base::Duration {
  return now - outcomes.served_at < kServiceLifetime ? outcomes.mean_service : base::Duration{};
}

auto ResponseTimeout(const Outcomes& outcomes, std::uint64_t route)
    -> std::optional<base::Duration> {
  const auto* statistics = Find(outcomes, route);
  if (statistics == nullptr || statistics->observed < kMinObserved) return std::nullopt;
  return std::max<base::Duration>(kResponseTimeoutFactor * statistics->mean_taken,
                                  kMinResponseTimeout);
}

}  // namespace anvildrum::outlier
