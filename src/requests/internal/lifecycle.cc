#include "requests/lifecycle.h"

#include <array>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <vector>

namespace anvildrum::requests {
namespace {

namespace msm = boost::msm;
using msm::front::Row;

template <Transition>
struct On {};

template <Stage stage>
struct In : msm::front::state<> {
  template <typename Event, typename Machine>
  auto on_entry(const Event& /*event*/, Machine& machine) -> void {
    machine.stage = stage;
  }
};

using New = In<Stage::kNew>;
using Challenged = In<Stage::kChallenged>;
using Queued = In<Stage::kQueued>;
using Running = In<Stage::kRunning>;
using Offered = In<Stage::kOffered>;
using Observing = In<Stage::kObserving>;
using Answered = In<Stage::kAnswered>;
using Refused = In<Stage::kRefused>;
using Unknown = In<Stage::kUnknown>;

struct LifecycleDefinition : msm::front::state_machine_def<LifecycleDefinition> {
  using initial_state = New;
  Stage stage = Stage::kNew;
  bool refused = false;

  // clang-format off
  struct transition_table : boost::mpl::vector<  // NOLINT(readability-identifier-naming): MSM's name
    Row<New,        On<Transition::kChallenge>,    Challenged>,
    Row<Challenged, On<Transition::kConfirm>,      New>,
    Row<New,        On<Transition::kEnqueue>,      Queued>,
    Row<New,        On<Transition::kSend>,         Running>,
    Row<Queued,     On<Transition::kSend>,         Running>,
    Row<New,        On<Transition::kOffer>,        Offered>,
    Row<Queued,     On<Transition::kOffer>,        Offered>,
    Row<Running,    On<Transition::kOffer>,        Offered>,
    Row<Running,    On<Transition::kOpenStream>,   Observing>,
    Row<Observing,  On<Transition::kCancelStream>, Running>,
    Row<Running,    On<Transition::kAnswer>,       Answered>,
    Row<Offered,    On<Transition::kAnswer>,       Answered>,
    Row<Observing,  On<Transition::kAnswer>,       Answered>,
    Row<New,        On<Transition::kRefuse>,       Refused>,
    Row<Queued,     On<Transition::kRefuse>,       Refused>,
    Row<Offered,    On<Transition::kRefuse>,       Refused>,
    Row<Observing,  On<Transition::kRefuse>,       Refused>,
    Row<Running,    On<Transition::kGiveUp>,       Unknown>,
    Row<Offered,    On<Transition::kGiveUp>,       Unknown>
  > {};
  // clang-format on

  template <typename Machine, typename Event>
  auto no_transition(const Event& /*event*/, Machine& machine, int /*state*/) -> void {
    machine.refused = true;
  }
};
using Lifecycle = msm::back::state_machine<LifecycleDefinition>;

auto Process(Lifecycle& machine, Transition transition) -> void {
  switch (transition) {
    case Transition::kChallenge:
      machine.process_event(On<Transition::kChallenge>{});
      break;
    case Transition::kConfirm:
      machine.process_event(On<Transition::kConfirm>{});
      break;
    case Transition::kEnqueue:
      machine.process_event(On<Transition::kEnqueue>{});
      break;
    case Transition::kSend:
      machine.process_event(On<Transition::kSend>{});
      break;
    case Transition::kOffer:
      machine.process_event(On<Transition::kOffer>{});
      break;
    case Transition::kOpenStream:
      machine.process_event(On<Transition::kOpenStream>{});
      break;
    case Transition::kCancelStream:
      machine.process_event(On<Transition::kCancelStream>{});
      break;
    case Transition::kAnswer:
      machine.process_event(On<Transition::kAnswer>{});
      break;
    case Transition::kRefuse:
      machine.process_event(On<Transition::kRefuse>{});
      break;
    case Transition::kGiveUp:
      machine.process_event(On<Transition::kGiveUp>{});
      break;
  }
}

using Path = std::vector<Transition>;
using Table = std::array<std::array<std::optional<Stage>, kTransitions>, kStages>;

auto Follow(const Path& path) -> std::optional<Stage> {
  auto machine = Lifecycle{};
  machine.start();
  for (auto transition : path) Process(machine, transition);
  if (machine.refused) return std::nullopt;
  return machine.stage;
}

// A state machine for each request would take several times the memory of its ledger entry. The
// machine is run once along every path instead, and the results are kept as a table.
auto MakeTable() -> Table {
  auto table = Table{};
  auto paths = std::array<std::optional<Path>, kStages>{};
  auto open = std::vector{Stage::kNew};
  paths[0] = Path{};
  while (!open.empty()) {
    auto from = static_cast<std::size_t>(open.back());
    open.pop_back();
    for (auto i = std::size_t{0}; i < kTransitions; ++i) {
      auto path = *paths[from];
      path.push_back(static_cast<Transition>(i));
      table[from][i] = Follow(path);
      if (!table[from][i]) continue;
      auto& reached = paths[static_cast<std::size_t>(*table[from][i])];
      if (reached) continue;
      reached = path;
      open.push_back(*table[from][i]);
    }
  }
  return table;
}

}  // namespace

auto Advance(Stage from, Transition transition) -> std::optional<Stage> {
  static const auto table = MakeTable();
  return table[static_cast<std::size_t>(from)][static_cast<std::size_t>(transition)];
}

}  // namespace anvildrum::requests
