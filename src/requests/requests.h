#pragma once

#include <cstdint>
#include <memory>

#include "base/types/ids.h"
#include "base/types/time.h"
#include "requests/echo.h"
#include "requests/effects.h"
#include "requests/events.h"
#include "requests/types/parameters.h"

/// The agent's request core, without input or output. It sees every datagram between the clients
/// and the target and decides for each: pass on, answer by itself, hold in the queue, or drop and
/// count. Three outcomes reach a client: answered; not run (5.03 with Max-Age: it did not and will
/// not run at any target); unknown (5.04: it may have run, and nobody will run it again).
namespace anvildrum::requests {

struct State;

/// Frees a State, which is incomplete here.
struct StateDeleter {
  auto operator()(State* state) const -> void;
};
using StatePtr = std::unique_ptr<State, StateDeleter>;

/// Builds the core's state: RequestsBuilder{}.WithParameters(..).WithIncarnation(..).Build().
class RequestsBuilder {
 public:
  auto WithParameters(const Parameters& parameters) -> RequestsBuilder&;
  /// The agent process's start number; an Echo value of another one is recognised by it.
  auto WithIncarnation(base::Incarnation incarnation) -> RequestsBuilder&;
  /// From a cryptographic generator, never kept beyond the process.
  auto WithEchoSecret(const EchoSecret& secret) -> RequestsBuilder&;
  /// Seed of message IDs, request ids and of the jitter in Max-Age.
  auto WithSeed(std::uint64_t seed) -> RequestsBuilder&;
  auto Build() const -> StatePtr;

 private:
  Parameters parameters;
  base::Incarnation incarnation = 1;
  EchoSecret secret{};
  std::uint64_t seed = 1;
};

/// The narrow door: one event in, what is to be done out. `now` never goes back.
auto Step(State& state, const Event& event, base::TimePoint now) -> Effects;

/// Replaces the parameters; requests in flight keep their deadlines.
auto SetParameters(State& state, const Parameters& parameters) -> void;

/// What the agent reports to homes, and waits for at a planned stop.
struct RequestLoad {
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint32_t offered = 0;      ///< handed on, not answered yet
  std::uint32_t streams = 0;      ///< observations
  std::uint32_t transfers = 0;    ///< flows in the middle of a block-wise transfer
  base::Duration service_time{};  ///< moving average, observed
  std::uint64_t admitted = 0;     ///< since the start
  std::uint64_t refused = 0;      ///< since the start
  std::size_t ledger_entries = 0;
  std::size_t ledger_bytes = 0;
};
auto RequestLoadOf(const State& state, base::TimePoint now) -> RequestLoad;

/// Whether nothing of the flow is in progress, so that its socket may be closed (then feed
/// FlowClosed). For flows of other agents, which a hand-on opened here, that is at once.
auto IsIdle(const State& state, const base::FlowKey& flow, base::TimePoint now) -> bool;

}  // namespace anvildrum::requests
