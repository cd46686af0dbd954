#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "admission/service_time.h"
#include "base/types/endpoint.h"
#include "base/types/time.h"
#include "requests/types/parameters.h"

namespace anvildrum::requests {

/// A client, whichever port its flow has.
using ClientAddress = std::array<std::uint8_t, 16>;

struct ClientAddressHash {
  auto operator()(const ClientAddress& address) const noexcept -> std::size_t;
};

struct ClientLoad {
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint64_t last_start = 0;  ///< Admission::starts when a request of it last got a slot
};

struct QueuedRequest {
  std::uint64_t id = 0;
  ClientAddress client{};
  base::TimePoint deadline;
};

/// Slots, queue and what was observed of the target.
struct Admission {
  std::uint32_t running = 0;  ///< slots held
  std::uint64_t starts = 0;   ///< slots given so far
  std::vector<QueuedRequest> queue;
  std::unordered_map<ClientAddress, ClientLoad, ClientAddressHash> clients;
  std::unordered_map<ClientAddress, std::uint32_t, ClientAddressHash> challenges;  ///< open ones
  std::uint32_t open_challenges = 0;    ///< of all clients
  admission::ServiceTime service_time;  ///< of the runs observed
  double refused_share = 0;             ///< moving average over recent requests
};

/// A request that asks to be admitted.
struct Candidate {
  ClientAddress client{};
  base::TimePoint deadline;                                  ///< of a wait and the run after it
  base::TimePoint client_deadline = base::TimePoint::max();  ///< the client's own, of any run
};

enum class AdmissionVerdict : std::uint8_t {
  kRun,
  kQueue,
  kRefuseQueue,
  kRefuseClient,
  kRefuseDeadline
};

/// Decides on a new request. Nothing is queued whose wait and run, by the observed service times,
/// would end after its deadline: it would take a slot for an answer that comes too late. Nothing is
/// started either that would end after its client's own.
auto DecideAdmission(const Admission& admission, const Parameters& parameters,
                     const Candidate& candidate, base::TimePoint now) -> AdmissionVerdict;

auto Enqueue(Admission& admission, const QueuedRequest& request) -> void;

/// When the queue is full: the newest request of the client that has most in the queue, if it has
/// more than `client`. Refusing that one makes room, so that a burst cannot shut others out.
auto VictimFor(const Admission& admission, const ClientAddress& client)
    -> std::optional<std::uint64_t>;

/// Takes the next request for a free slot: of the client with the fewest running, among these of
/// the one that was served longest ago, the request with the earliest deadline. Nothing when no
/// slot is free or nothing waits.
auto TakeNext(Admission& admission, const Parameters& parameters) -> std::optional<QueuedRequest>;

/// Takes out one request whose deadline can no longer be met.
auto TakeOverdue(Admission& admission, base::TimePoint now) -> std::optional<QueuedRequest>;

/// Takes out a request that is given up.
auto RemoveQueued(Admission& admission, std::uint64_t id) -> void;

/// When TakeOverdue is next due.
auto NextOverdue(const Admission& admission) -> std::optional<base::TimePoint>;

auto AcquireSlot(Admission& admission, const ClientAddress& client) -> void;
auto ReleaseSlot(Admission& admission, const ClientAddress& client) -> void;
/// A run was given up after `taken`.
auto ObserveAbortedRun(Admission& admission, const Parameters& parameters, base::Duration taken,
                       base::TimePoint now) -> void;
auto ObserveDecision(Admission& admission, bool refused) -> void;
auto ChallengesOf(const Admission& admission, const ClientAddress& client) -> std::uint32_t;
auto AddChallenge(Admission& admission, const ClientAddress& client) -> void;
auto EndChallenge(Admission& admission, const ClientAddress& client) -> void;

/// Seconds until a refused client should come back: drawn from a range that widens with the share
/// of refusals, so that clients refused together do not return together.
auto DrawMaxAge(const Admission& admission, const Parameters& parameters, std::mt19937_64& random)
    -> std::uint32_t;

}  // namespace anvildrum::requests
