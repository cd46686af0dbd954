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

/// Address of a client without its port: all flows of an address count as one client.
using ClientAddress = std::array<std::uint8_t, 16>;

struct ClientAddressHash {
  auto operator()(const ClientAddress& address) const noexcept -> std::size_t;
};

struct ClientLoad {
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint64_t last_start = 0;  ///< Admission::starts when a request of the client last got a slot
};

struct QueuedRequest {
  std::uint64_t id = 0;
  ClientAddress client{};
  base::TimePoint deadline;
};

/// Slots, the queue and the observed service times of the target.
struct Admission {
  std::uint32_t running = 0;  ///< slots in use
  std::uint64_t starts = 0;   ///< slots assigned so far
  std::vector<QueuedRequest> queue;
  std::unordered_map<ClientAddress, ClientLoad, ClientAddressHash> clients;
  std::unordered_map<ClientAddress, std::uint32_t, ClientAddressHash>
      challenges;                       ///< open ones by client
  std::uint32_t open_challenges = 0;    ///< of all clients
  admission::ServiceTime service_time;  ///< of observed runs
  double refused_share = 0;             ///< moving average over recent requests
};

/// A request that asks to be admitted.
struct Candidate {
  ClientAddress client{};
  base::TimePoint deadline;                                  ///< for the wait and the run
  base::TimePoint client_deadline = base::TimePoint::max();  ///< set by the client, for any run
};

enum class AdmissionVerdict : std::uint8_t {
  kRun,
  kQueue,
  kRefuseQueue,
  kRefuseClient,
  kRefuseDeadline
};

/// Decides whether a new request runs, waits or is refused. A request is not queued if its wait and
/// run, by the observed service times, would end after its deadline: it would take a slot for an
/// answer that comes too late. A request that would end after the client's own deadline is not
/// started either.
auto DecideAdmission(const Admission& admission, const Parameters& parameters,
                     const Candidate& candidate, base::TimePoint now) -> AdmissionVerdict;

auto Enqueue(Admission& admission, const QueuedRequest& request) -> void;

/// Returns the request to refuse when the queue is full: the newest one of the client with the most
/// queued requests, if that client has more than `client`. This keeps a burst of one client from
/// filling the queue for all others.
auto VictimFor(const Admission& admission, const ClientAddress& client)
    -> std::optional<std::uint64_t>;

/// Removes and returns the next request for a free slot: of the client with the fewest running
/// requests, then of the one served longest ago, the request with the earliest deadline. Returns
/// nothing if no slot is free or the queue is empty.
auto TakeNext(Admission& admission, const Parameters& parameters) -> std::optional<QueuedRequest>;

/// Removes and returns one request that can no longer meet its deadline.
auto TakeOverdue(Admission& admission, base::TimePoint now) -> std::optional<QueuedRequest>;

/// Removes a request from the queue.
auto RemoveQueued(Admission& admission, std::uint64_t id) -> void;

/// Returns when TakeOverdue is next due.
auto NextOverdue(const Admission& admission) -> std::optional<base::TimePoint>;

auto AcquireSlot(Admission& admission, const ClientAddress& client) -> void;
auto ReleaseSlot(Admission& admission, const ClientAddress& client) -> void;
/// Takes a run that was aborted after `taken` into the service times.
auto ObserveAbortedRun(Admission& admission, const Parameters& parameters, base::Duration taken,
                       base::TimePoint now) -> void;
auto ObserveDecision(Admission& admission, bool refused) -> void;
auto ChallengesOf(const Admission& admission, const ClientAddress& client) -> std::uint32_t;
auto AddChallenge(Admission& admission, const ClientAddress& client) -> void;
auto EndChallenge(Admission& admission, const ClientAddress& client) -> void;

/// Draws a Max-Age in seconds for a refused client. The range grows with the share of refusals, so
/// that clients refused together do not return together.
auto DrawMaxAge(const Admission& admission, const Parameters& parameters, std::mt19937_64& random)
    -> std::uint32_t;

}  // namespace anvildrum::requests
