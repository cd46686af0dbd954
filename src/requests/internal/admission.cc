#include "requests/admission.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace anvildrum::requests {
namespace {

constexpr auto kDecisionWeight = 0.02;  // moving average over about the last 50 decisions
constexpr auto kEstimateLifetime = base::milliseconds(250);
constexpr auto kAbortedRunFactor = 2;
constexpr auto kSpreadWhenAllRefused = 3.0;  // the range grows by up to this factor times its size

auto LoadOf(const Admission& admission, const ClientAddress& client) -> ClientLoad {
  auto found = admission.clients.find(client);
  return found == admission.clients.end() ? ClientLoad{} : found->second;
}

// Removes the entry of a client without requests.
auto ForgetIfIdle(Admission& admission, const ClientAddress& client) -> void {
  auto found = admission.clients.find(client);
  if (found == admission.clients.end()) return;
  const auto& load = found->second;
  if (load.running + load.queued == 0) admission.clients.erase(found);
}

auto TakeAt(Admission& admission, std::vector<QueuedRequest>::iterator at) -> QueuedRequest {
  auto request = *at;
  admission.queue.erase(at);
  --admission.clients[request.client].queued;
  ForgetIfIdle(admission, request.client);
  return request;
}

// Clients get slots in turns, so a new request waits for at most as many requests of each other
// client as its own client has, not for another client's whole burst.
auto RequestsAhead(const Admission& admission, const ClientAddress& client) -> std::uint32_t {
  auto turn = LoadOf(admission, client).queued + 1;
  auto ahead = std::uint32_t{0};
  for (const auto& [address, load] : admission.clients) {
    ahead += address == client ? load.queued : std::min(load.queued, turn);
  }
  return ahead;
}

auto CanFinishInTime(const Admission& admission, const Parameters& parameters,
                     const Candidate& candidate, base::TimePoint now) -> bool {
  auto ahead = RequestsAhead(admission, candidate.client);
  auto rounds = static_cast<double>(ahead + 1) / parameters.slots;
  auto wait = rounds * static_cast<double>(admission.service_time.mean.count());
  auto left = candidate.deadline - now - admission::UpperBound(admission.service_time);
  return wait <= static_cast<double>(left.count());
}

// Safeguard: if all clients have deadlines and the target was slow for a while, all their requests
// would be refused, no service time would be observed, and the refusals would never end. One
// request at a time at an otherwise idle target is enough to detect that it has recovered.
auto MayProbe(const Admission& admission, base::TimePoint now) -> bool {
  auto idle = admission.running == 0 && admission.queue.empty();
  return idle && now - admission.service_time.observed >= kEstimateLifetime;
}

auto MissesClientDeadline(const Admission& admission, const Candidate& candidate,
                          base::TimePoint now) -> bool {
  if (candidate.client_deadline == base::TimePoint::max()) return false;
  if (candidate.client_deadline <= now) return true;
  auto in_time = candidate.client_deadline - now > admission::UpperBound(admission.service_time);
  return !in_time && !MayProbe(admission, now);
}

}  // namespace

auto ClientAddressHash::operator()(const ClientAddress& address) const noexcept -> std::size_t {
  return XXH3_64bits(address.data(), address.size());
}

auto DecideAdmission(const Admission& admission, const Parameters& parameters,
                     const Candidate& candidate, base::TimePoint now) -> AdmissionVerdict {
  auto load = LoadOf(admission, candidate.client);
  if (load.running + load.queued >= parameters.client_in_flight) {
    return AdmissionVerdict::kRefuseClient;
  }
  if (MissesClientDeadline(admission, candidate, now)) return AdmissionVerdict::kRefuseDeadline;
  if (admission.running < parameters.slots && admission.queue.empty()) {
    return AdmissionVerdict::kRun;
  }
  if (!CanFinishInTime(admission, parameters, candidate, now)) {
    return AdmissionVerdict::kRefuseQueue;
  }
  if (admission.queue.size() < parameters.queue_size) return AdmissionVerdict::kQueue;
  auto has_room = VictimFor(admission, candidate.client).has_value();
  return has_room ? AdmissionVerdict::kQueue : AdmissionVerdict::kRefuseQueue;
}

auto Enqueue(Admission& admission, const QueuedRequest& request) -> void {
  admission.queue.push_back(request);
  ++admission.clients[request.client].queued;
}

auto VictimFor(const Admission& admission, const ClientAddress& client)
    -> std::optional<std::uint64_t> {
  auto most = LoadOf(admission, client).queued + 1;
  auto victim = std::optional<std::uint64_t>{};
  for (const auto& request : admission.queue) {
    auto queued = LoadOf(admission, request.client).queued;
    if (queued < most || (queued == most && !victim)) continue;
    most = queued;
    victim = request.id;
  }
  return victim;
}

auto TakeNext(Admission& admission, const Parameters& parameters) -> std::optional<QueuedRequest> {
  if (admission.running >= parameters.slots || admission.queue.empty()) return std::nullopt;
  auto rank = [&](const QueuedRequest& request) {
    auto load = LoadOf(admission, request.client);
    return std::tuple(load.running, load.last_start, request.deadline);
  };
  auto comes_first = [&](const auto& left, const auto& right) { return rank(left) < rank(right); };
  return TakeAt(admission,
                std::min_element(admission.queue.begin(), admission.queue.end(), comes_first));
}

auto TakeOverdue(Admission& admission, base::TimePoint now) -> std::optional<QueuedRequest> {
  auto latest_start = now + admission::UpperBound(admission.service_time);
  auto at = std::find_if(admission.queue.begin(), admission.queue.end(),
                         [&](const auto& request) { return request.deadline <= latest_start; });
  if (at == admission.queue.end()) return std::nullopt;
  return TakeAt(admission, at);
}

auto RemoveQueued(Admission& admission, std::uint64_t id) -> void {
  auto at = std::find_if(admission.queue.begin(), admission.queue.end(),
                         [&](const auto& request) { return request.id == id; });
  if (at != admission.queue.end()) TakeAt(admission, at);
}

auto NextOverdue(const Admission& admission) -> std::optional<base::TimePoint> {
  auto next = std::optional<base::TimePoint>{};
  for (const auto& request : admission.queue) {
    auto due = request.deadline - admission::UpperBound(admission.service_time);
    if (!next || due < *next) next = due;
  }
  return next;
}

auto AcquireSlot(Admission& admission, const ClientAddress& client) -> void {
  ++admission.running;
  auto& load = admission.clients[client];
  ++load.running;
  load.last_start = ++admission.starts;
}

auto ReleaseSlot(Admission& admission, const ClientAddress& client) -> void {
  --admission.running;
  --admission.clients[client].running;
  ForgetIfIdle(admission, client);
}

// Safeguard: a run aborted at its client's deadline takes longer than that, by an unknown time. If
// it were observed as taking just the deadline, the estimate would converge there and admit
// requests that cannot finish. Twice the elapsed time keeps the estimate above the deadline, as the
// timer back-off of RFC 6298, 5.5.
auto ObserveAbortedRun(Admission& admission, const Parameters& parameters, base::Duration taken,
                       base::TimePoint now) -> void {
  const auto at_least = std::max(admission.service_time.mean, kAbortedRunFactor * taken);
  admission::Observe(admission.service_time, at_least, parameters.service_time_weight, now);
}

auto ObserveDecision(Admission& admission, bool refused) -> void {
  admission.refused_share += ((refused ? 1.0 : 0.0) - admission.refused_share) * kDecisionWeight;
}

auto ChallengesOf(const Admission& admission, const ClientAddress& client) -> std::uint32_t {
  auto found = admission.challenges.find(client);
  return found == admission.challenges.end() ? 0 : found->second;
}

auto AddChallenge(Admission& admission, const ClientAddress& client) -> void {
  ++admission.challenges[client];
  ++admission.open_challenges;
}

auto EndChallenge(Admission& admission, const ClientAddress& client) -> void {
  auto found = admission.challenges.find(client);
  if (found == admission.challenges.end()) return;
  --admission.open_challenges;
  if (--found->second == 0) admission.challenges.erase(found);
}

auto DrawMaxAge(const Admission& admission, const Parameters& parameters, std::mt19937_64& random)
    -> std::uint32_t {
  auto widened = parameters.max_age_spread * (1 + kSpreadWhenAllRefused * admission.refused_share);
  auto range = static_cast<std::uint64_t>(widened) + 1;
  return parameters.max_age_min + static_cast<std::uint32_t>(random() % range);
}

}  // namespace anvildrum::requests
