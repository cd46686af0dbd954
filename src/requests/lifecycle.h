#pragma once

#include <cstdint>
#include <optional>

namespace anvildrum::requests {

/// Stage in the life cycle of a request.
enum class Stage : std::uint8_t {
  kNew,         ///< not decided yet
  kChallenged,  ///< 4.01 sent; its Echo value has not been returned
  kQueued,
  kRunning,    ///< sent to the target
  kOffered,    ///< handed on to another agent
  kObserving,  ///< answered, and notifications follow (RFC 7641)
  kAnswered,
  kRefused,  ///< not run
  kUnknown,  ///< may have run
};
inline constexpr auto kStages = std::size_t{9};

enum class Transition : std::uint8_t {
  kChallenge,
  kConfirm,  ///< the Echo value of the challenge was returned
  kEnqueue,
  kSend,
  kOffer,
  kOpenStream,
  kCancelStream,  ///< the client cancels its observation
  kAnswer,        ///< also the end of a stream
  kRefuse,
  kGiveUp,
};
inline constexpr auto kTransitions = std::size_t{10};

/// Returns the stage that follows in a request's life cycle, or nothing if the transition does not
/// exist. No transition leaves kAnswered, kRefused or kUnknown, so that a client is told only one
/// outcome.
auto Advance(Stage from, Transition transition) -> std::optional<Stage>;

}  // namespace anvildrum::requests
