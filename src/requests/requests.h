#pragma once

#include <cstdint>
#include <memory>

#include "base/types/ids.h"
#include "base/types/time.h"
#include "requests/echo.h"
#include "requests/effects.h"
#include "requests/events.h"
#include "requests/types/parameters.h"

/// The agent's request core, without input or output. It processes every datagram between the
/// clients and the target: it forwards, answers, queues, or drops and counts it. A client gets one
/// of three outcomes: answered; not run (5.03 with Max-Age: the request did not run and will not
/// run at any target); unknown (5.04: the request may have run and will not run again).
namespace anvildrum::requests {

struct State;

/// Deletes a State, which is an incomplete type here.
struct StateDeleter {
  auto operator()(State* state) const -> void;
};
using StatePtr = std::unique_ptr<State, StateDeleter>;

/// Builds the core's state: RequestsBuilder{}.WithParameters(..).WithIncarnation(..).Build().
class RequestsBuilder {
 public:
  auto WithParameters(const Parameters& parameters) -> RequestsBuilder&;
  /// Start number of the agent process. Echo values of other incarnations are recognised by it.
  auto WithIncarnation(base::Incarnation incarnation) -> RequestsBuilder&;
  /// From a cryptographic generator. Must not be stored beyond the process.
  auto WithEchoSecret(const EchoSecret& secret) -> RequestsBuilder&;
  /// Seed of message IDs, request ids and the jitter of Max-Age.
  auto WithSeed(std::uint64_t seed) -> RequestsBuilder&;
  auto Build() const -> StatePtr;

 private:
  Parameters parameters;
  base::Incarnation incarnation = 1;
  EchoSecret secret{};
  std::uint64_t seed = 1;
};

/// Processes one event and returns the effects to carry out. `now` must never decrease.
auto Step(State& state, const Event& event, base::TimePoint now) -> Effects;

/// Replaces the parameters. Requests in progress keep their deadlines.
auto SetParameters(State& state, const Parameters& parameters) -> void;

/// Load that the agent reports to homes, and that has to end before a planned stop.
struct RequestLoad {
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint32_t offered = 0;      ///< handed on, not answered yet
  std::uint32_t streams = 0;      ///< observations
  std::uint32_t transfers = 0;    ///< flows with a block-wise transfer in progress
  base::Duration service_time{};  ///< moving average of observed runs
  std::uint64_t admitted = 0;     ///< since the start
  std::uint64_t refused = 0;      ///< since the start
  std::size_t ledger_entries = 0;
  std::size_t ledger_bytes = 0;
};
auto RequestLoadOf(const State& state, base::TimePoint now) -> RequestLoad;

/// Whether nothing of the flow is in progress, so that its socket may be closed (then feed
/// FlowClosed). A flow of another agent that a hand-on opened here is idle after the answer.
auto IsIdle(const State& state, const base::FlowKey& flow, base::TimePoint now) -> bool;

}  // namespace anvildrum::requests
