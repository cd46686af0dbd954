#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "agent/internal/parts.h"

namespace anvildrum::agent {
namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct Announced {};
struct DrainBegun {};
struct Emptied {};

struct LifeCycleDef : msm::front::state_machine_def<LifeCycleDef> {
  struct Starting : msm::front::state<> {};
  struct Serving : msm::front::state<> {};
  struct Draining : msm::front::state<> {};
  struct Ended : msm::front::state<> {};
  using initial_state = Starting;

  // A drain cannot be reversed: balancers and homes were told to remove the target, and accept it
  // again only with a new incarnation.
  // NOLINTNEXTLINE(readability-identifier-naming): the name that MSM looks for
  struct transition_table : boost::mpl::vector<Row<Starting, Announced, Serving, none, none>,
                                               Row<Starting, DrainBegun, Draining, none, none>,
                                               Row<Serving, DrainBegun, Draining, none, none>,
                                               Row<Draining, Emptied, Ended, none, none>> {};

  template <typename Machine, typename AnyEvent>
  auto no_transition(const AnyEvent&, Machine&, int) -> void {}
};
using LifeCycle = msm::back::state_machine<LifeCycleDef>;

// Replays the events that lead from the start to the phase, so that a plain enum can store the
// machine's state.
auto Replay(LifeCycle& machine, Phase phase) -> void {
  machine.start();
  if (phase == Phase::kServing) machine.process_event(Announced{});
  if (phase == Phase::kDraining || phase == Phase::kDrained) machine.process_event(DrainBegun{});
  if (phase == Phase::kDrained) machine.process_event(Emptied{});
}

auto PhaseOf(const LifeCycle& machine) -> Phase {
  constexpr auto phases =
      std::array{Phase::kStarting, Phase::kServing, Phase::kDraining, Phase::kDrained};
  return phases.at(static_cast<std::size_t>(machine.current_state()[0]));
}

}  // namespace

auto Advance(Phase phase, LifeEvent event) -> Phase {
  auto machine = LifeCycle{};
  Replay(machine, phase);
  if (event == LifeEvent::kAnnounced) machine.process_event(Announced{});
  if (event == LifeEvent::kDrainRequested) machine.process_event(DrainBegun{});
  if (event == LifeEvent::kEmpty) machine.process_event(Emptied{});
  return PhaseOf(machine);
}

}  // namespace anvildrum::agent
