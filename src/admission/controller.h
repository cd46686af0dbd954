#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "admission/policy.h"
#include "admission/service_time.h"
#include "admission/types/request_class.h"
#include "base/types/time.h"

/// Decides which openings a target admits while its service has less capacity than requests.
namespace anvildrum::admission {

/// Why an opening was not admitted.
enum class Limit : std::uint8_t {
  kNone,        ///< admitted
  kSlots,       ///< the limit that holds without shortage
  kPriority,    ///< the remaining capacity is left to more urgent requests
  kCompletion,  ///< it would be answered too late
  kCaller,      ///< its caller has used more than its share
};

/// Short name of the limit for logs and metrics.
auto NameOf(Limit limit) -> std::string_view;

/// An opening that asks to be admitted.
struct Candidate {
  RequestClass request;
  std::uint32_t copies = 0;  ///< copies that its client has sent before
  bool over_share = false;   ///< its caller has used more than its share
};

/// The target's present load.
struct TargetLoad {
  std::uint32_t in_flight = 0;  ///< requests in progress and unanswered openings
  std::uint32_t slots = 1;      ///< requests that the target runs at once; at least 1
};

/// Service time of the requests with the same priority, objective and kind.
struct ClassServiceTime {
  RequestClass request;
  ServiceTime estimate;
};

/// Maximum number of classes with a service time of their own. The requests of further classes use
/// that of the mix.
inline constexpr auto kMaxClasses = std::size_t{16};

/// State at one target.
struct Controller {
  Policy policy;
  /// Priority up to which openings are urgent, and the least urgent one, of recent openings at the
  /// target (RangeOf); equal while there is only one, or none is known.
  Priority most_urgent = 0;
  Priority least_urgent = 0;
  std::vector<ClassServiceTime> service_times;  ///< by class, at most kMaxClasses
  ServiceTime mix;                              ///< of all requests, whatever their class
  ServiceTime handshake;  ///< from the target's answer to an opening to the client's next packet
  base::TimePoint short_since{};  ///< start of the present or last shortage
  base::TimePoint short_until{};  ///< end of the shortage unless it is renewed
  double reserved = 0;            ///< less urgent openings that may be admitted beyond their limit
};

/// Whether the service is short of capacity at this target.
auto IsShort(const Controller& controller, base::TimePoint now) -> bool;

/// Decides on an opening and, if it finds the target at its ordinary limit, begins or renews a
/// shortage. Returns Limit::kNone if it is admitted.
auto Decide(Controller& controller, const Candidate& candidate, const TargetLoad& load,
            base::TimePoint now) -> Limit;

/// Requests that must end before a new one gets a slot: 0 while a slot is free.
auto AheadOf(const TargetLoad& load) -> std::uint32_t;

/// Records the time from a request's last packet to the first packet of its answer; `ahead`
/// requests had to end before a slot was free for it (AheadOf).
auto RecordAnswer(Controller& controller, const RequestClass& request, base::Duration taken,
                  std::uint32_t ahead, std::uint32_t slots, base::TimePoint now) -> void;

/// Records the time from the target's answer to an opening to the client's next packet.
auto RecordHandshake(Controller& controller, base::Duration taken, base::TimePoint now) -> void;

/// Predicted time from an opening's admission to the first packet of its answer.
auto PredictCompletion(const Controller& controller, const RequestClass& request,
                       const TargetLoad& load) -> base::Duration;

/// Whether an admitted opening belongs to the highest priority and finds the target so busy that
/// one of a lower priority would have been turned away.
auto GoesFirst(const Controller& controller, const Candidate& candidate, const TargetLoad& load,
               base::TimePoint now) -> bool;

/// Maximum number of agents that an opening may visit after the first one that has turned it away.
auto MaxHops(const Controller& controller, const Candidate& candidate, std::uint8_t ordinary,
             base::TimePoint now) -> std::uint8_t;

/// Whether an opening that cannot be admitted is left without an answer, so that its client's next
/// copy asks again, instead of being refused.
auto AwaitsCopy(const Controller& controller, const Candidate& candidate, base::TimePoint now)
    -> bool;

}  // namespace anvildrum::admission
