#include "ctl/apply.h"

#include <iomanip>
#include <sstream>

#include "base/types/ids.h"
#include "config/configuration.h"
#include "config/patch.h"
#include "ctl/fleet.h"

namespace anvildrum::ctl {
namespace {

constexpr auto kFirstPause = base::milliseconds(200);
constexpr auto kIdDigits = 16;

// The platform as last read.
struct Reading {
  std::string document = std::string(config::kEmptyDocument);
  std::optional<std::uint64_t> revision;
  std::vector<config::KnownTarget> targets;
};

// What a run has learnt so far.
struct Run {
  bool in_doubt = false;  // a write of ours may have taken effect or may yet do so
  CtlError error;
};

auto Read(const ObjectStore& store, Run& run) -> std::optional<Reading> {
  auto reading = Reading{};
  auto failure = base::ErrorOf<CtlError>([&]() -> base::Result<void> {
    BOOST_LEAF_AUTO(object, store.get(kConfigKey));
    if (object) reading = {object->value, object->revision, {}};
    BOOST_LEAF_ASSIGN(reading.targets, ListTargets(store));
    return {};
  });
  if (!failure) return reading;
  run.error = *failure;
  return std::nullopt;
}

// True when the platform said that the write took effect.
auto Write(const ObjectStore& store, const Reading& reading, const std::string& document, Run& run)
    -> bool {
  auto outcome = PutOutcome::kConflict;
  auto failure = base::ErrorOf<CtlError>([&]() -> base::Result<void> {
    BOOST_LEAF_ASSIGN(outcome, store.put(kConfigKey, document, reading.revision));
    return {};
  });
  if (failure) run.error = *failure;
  // Even a conflict may be our own write, sent once and delivered twice.
  auto was_sent = !failure || failure->code != CtlErrorCode::kUnreachable;
  run.in_doubt = run.in_doubt || was_sent;
  return !failure && outcome == PutOutcome::kWritten;
}

// A number that has moved on fences every earlier write of ours: it can't take effect any more, and
// had it done so its id would stand in the history.
auto IsFinal(const config::PatchRefusal& refusal) -> bool {
  return refusal.fault.rule == config::Rule::kStale ||
         refusal.fault.rule == config::Rule::kIdReused;
}

auto Refused(config::PatchRefusal refusal, const Run& run) -> ApplyOutcome {
  if (refusal.fault.rule == config::Rule::kBaseForgotten) {
    return Unsettled{CtlError{CtlErrorCode::kForgotten, "base " + refusal.fault.found, 0}};
  }
  if (!run.in_doubt || IsFinal(refusal)) return refusal;
  return Unsettled{run.error};
}

// One round; nothing when another one is needed.
auto Round(const ObjectStore& store, const config::PatchRequest& request,
           const ApplyOptions& options, Run& run) -> std::optional<ApplyOutcome> {
  auto reading = Read(store, run);
  if (!reading) return std::nullopt;
  auto accepted = config::AcceptedPatch{};
  auto refusal = base::ErrorOf<config::PatchRefusal>([&]() -> base::Result<void> {
    BOOST_LEAF_ASSIGN(accepted, config::ApplyPatch(reading->document, request, reading->targets));
    return {};
  });
  if (refusal) return Refused(*refusal, run);
  if (accepted.already_accepted || options.dry_run) return accepted;
  if (Write(store, *reading, accepted.document, run)) return accepted;
  return std::nullopt;
}

}  // namespace

auto Apply(const ObjectStore& store, const config::PatchRequest& request,
           const ApplyOptions& options) -> ApplyOutcome {
  auto run = Run{};
  auto pause = base::Duration(kFirstPause);
  for (auto attempt = 0; attempt < options.attempts; ++attempt) {
    if (attempt > 0) options.sleep(pause);
    if (attempt > 0) pause *= 2;
    auto outcome = Round(store, request, options, run);
    if (outcome) return *outcome;
  }
  if (run.in_doubt) return Unsettled{run.error};
  return NotApplied{run.error};
}

auto DerivePatchId(const config::PatchRequest& request) -> std::string {
  auto text = std::to_string(request.base) + '\n' + request.author + '\n' + request.patch;
  auto out = std::ostringstream{};
  out << "p-" << std::hex << std::setw(kIdDigits) << std::setfill('0') << base::HashName(text);
  return out.str();
}

}  // namespace anvildrum::ctl
