#pragma once

#include <cstdint>
#include <optional>

namespace anvildrum::requests {

/// Where a request stands.
enum class Stage : std::uint8_t {
  kNew,         ///< known, and nothing decided
  kChallenged,  ///< 4.01 sent; its Echo value has not come back
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
  kConfirm,  ///< the Echo value of the challenge came back
  kEnqueue,
  kSend,
  kOffer,
  kOpenStream,
  kCancelStream,  ///< the client asks for the end of its observation
  kAnswer,        ///< also the end of a stream
  kRefuse,
  kGiveUp,
};
inline constexpr auto kTransitions = std::size_t{10};

/// The life cycle of a request: the stage that follows, or nothing where the transition does not
/// exist. No transition leaves kAnswered, kRefused or kUnknown: a client is told one outcome.
auto Advance(Stage from, Transition transition) -> std::optional<Stage>;

}  // namespace anvildrum::requests
