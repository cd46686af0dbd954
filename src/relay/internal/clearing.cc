#include "relay/internal/clearing.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include "relay/internal/children.h"
#include "relay/internal/clearers.h"

namespace anvildrum::relay {
namespace {

/// A delete whose outcome never came back is issued again after this; its condition makes it safe.
constexpr base::Duration kDeleteRetry = base::seconds(30);

/// Balancers that are told of one suspicion at most.
constexpr std::size_t kMostClearers = 4;

auto HoldsRevision(const Store& store, const std::string& key, std::uint64_t revision) -> bool {
  const auto found = store.records.find(key);
  return found != store.records.end() && !found->second.deleted &&
         found->second.revision == revision;
}

auto NoteReport(State& state, std::uint64_t reporter, const std::string& key,
                std::uint64_t revision, base::TimePoint now) -> void {
  if (!HoldsRevision(state.store, key, revision)) return;
  Reports& reports = state.reports[key];
  if (reports.revision != revision) reports = {.revision = revision};
  reports.reporters[reporter] = now;
}

auto WithdrawReport(State& state, std::uint64_t reporter, const std::string& key) -> void {
  const auto found = state.reports.find(key);
  if (found == state.reports.end()) return;
  found->second.reporters.erase(reporter);
  if (found->second.reporters.empty()) state.reports.erase(found);
}

auto AttemptOf(const State& state, const OwnSuspicion& suspicion, base::TimePoint now)
    -> std::size_t {
  return static_cast<std::size_t>((now - suspicion.since) /
                                  state.settings.policy.suspicion_escalate);
}

auto ReportTo(State& state, const Link& clearer, const std::string& key,
              const OwnSuspicion& suspicion, bool is_alive, base::TimePoint now, Effects& effects)
    -> void {
  const base::InstanceId self = state.settings.self.instance;
  if (clearer.instance == self) {
    if (is_alive) return WithdrawReport(state, self.value, key);
    return NoteReport(state, self.value, key, suspicion.revision, now);
  }
  auto message = NewMessage(state);
  wire::pb::Suspicion& body = *message.mutable_suspicion();
  body.set_key(key);
  body.set_revision(suspicion.revision);
  body.set_alive(is_alive);
  ++state.counters.suspicions_sent;
  effects.emplace_back(
      SendPeer{.to = clearer.instance,
               .endpoint = clearer.endpoint,
               .message = std::make_shared<const wire::pb::RelayMessage>(std::move(message))});
}

/// To the balancer that clears for the domain, or into the own book when that is this one; after a
/// while without effect also to the next ones.
///
/// Failure: the clearer is dead too, or the platform is away. Were each reporter to go over to the
/// next clearer after its own waiting time, reporters that began at different moments would name
/// different clearers and no clearer would ever have a quorum; the first ones are told as well.
auto Report(State& state, const std::string& key, const OwnSuspicion& suspicion, bool is_alive,
            base::TimePoint now, Effects& effects) -> void {
  auto told = std::vector<base::InstanceId>{};
  const std::size_t attempts = std::min(AttemptOf(state, suspicion, now), kMostClearers - 1);
  for (std::size_t attempt = 0; attempt <= attempts; ++attempt) {
    const Link clearer = ClearerFor(state, {key, suspicion.failure_domain}, attempt);
    if (clearer.instance.value == 0) continue;
    if (std::ranges::find(told, clearer.instance) != told.end()) continue;
    told.push_back(clearer.instance);
    ReportTo(state, clearer, key, suspicion, is_alive, now, effects);
  }
}

auto RepeatReports(State& state, base::TimePoint now, Effects& effects) -> void {
  std::erase_if(state.own_suspicions, [&](const auto& entry) {
    return !HoldsRevision(state.store, entry.first, entry.second.revision);
  });
  for (auto& [key, suspicion] : state.own_suspicions) {
    if (now - suspicion.sent_at < state.settings.policy.suspicion_repeat) continue;
    suspicion.sent_at = now;
    Report(state, key, suspicion, false, now, effects);
  }
}

/// One balancer's view may be a cut between it and the target, so one report never clears; with few
/// balancers all but one must agree, since that one may be what died.
auto Quorum(const State& state) -> std::size_t {
  const std::size_t others = state.peers.size() > 1 ? state.peers.size() - 1 : 1;
  return std::min(state.settings.policy.suspicion_quorum, others);
}

auto ForgetOldReports(State& state, base::TimePoint now) -> void {
  for (auto& [key, reports] : state.reports) {
    std::erase_if(reports.reporters, [&](const auto& entry) {
      return now - entry.second > state.settings.policy.suspicion_expiry;
    });
  }
  std::erase_if(state.reports, [&](const auto& entry) {
    return entry.second.reporters.empty() ||
           !HoldsRevision(state.store, entry.first, entry.second.revision);
  });
}

/// The time runs from the agreement. Failure: one balancer is cut off from the target for long; a
/// stop of a second makes the others agree for an instant. Symptom with the first report's time: a
/// live target is given up at once, and its feeds end.
auto NoteAgreement(const State& state, Reports& reports, base::TimePoint now) -> void {
  if (reports.reporters.size() < Quorum(state)) return reports.agreed.reset();
  if (!reports.agreed.has_value()) reports.agreed = now;
}

auto IsDue(const State& state, const Reports& reports, base::TimePoint now) -> bool {
  if (!reports.agreed.has_value()) return false;
  const bool is_held = now - *reports.agreed >= state.settings.policy.suspicion_hold;
  const bool is_new = !reports.deleted_at.has_value() || now - *reports.deleted_at > kDeleteRetry;
  return is_held && is_new;
}

/// No lease: the delete names the revision that was suspected. Failure: this balancer is paused
/// between deciding and writing, another clears, the target announces itself again. Symptom without
/// the condition: a live target disappears. With it the late write meets a newer revision and
/// fails, whoever else believes to be the clearer.
auto ClearReported(State& state, base::TimePoint now, Effects& effects) -> void {
  for (auto& [key, reports] : state.reports) NoteAgreement(state, reports, now);
  if (now < state.next_delete) return;
  for (auto& [key, reports] : state.reports) {
    if (!IsDue(state, reports, now)) continue;
    reports.deleted_at = now;
    state.next_delete = now + state.settings.policy.delete_interval;
    ++state.counters.deletes_issued;
    effects.emplace_back(DeleteRecord{.key = key, .if_revision = reports.revision});
    return;
  }
}

}  // namespace

auto OnSuspected(State& state, const RecordSuspected& event, base::TimePoint now, Effects& effects)
    -> void {
  if (!HoldsRevision(state.store, event.key, event.revision)) return;
  OwnSuspicion& suspicion = state.own_suspicions[event.key];
  const bool is_new = suspicion.revision != event.revision;
  if (!is_new) return;
  suspicion = {.revision = event.revision,
               .failure_domain = event.failure_domain,
               .since = now,
               .sent_at = now};
  Report(state, event.key, suspicion, false, now, effects);
}

auto OnAlive(State& state, const RecordAlive& event, base::TimePoint now, Effects& effects)
    -> void {
  const auto found = state.own_suspicions.find(event.key);
  if (found == state.own_suspicions.end()) return;
  Report(state, event.key, found->second, true, now, effects);
  state.own_suspicions.erase(found);
}

auto OnSuspicion(State& state, base::InstanceId sender, const wire::pb::Suspicion& suspicion,
                 base::TimePoint now) -> void {
  if (suspicion.alive()) return WithdrawReport(state, sender.value, suspicion.key());
  NoteReport(state, sender.value, suspicion.key(), suspicion.revision(), now);
}

auto OnDeleteFinished(State& state, const DeleteFinished& event) -> void {
  if (!event.conflict) return;
  ++state.counters.deletes_conflicted;
  const auto found = state.reports.find(event.key);
  if (found != state.reports.end() && found->second.revision == event.revision) {
    state.reports.erase(found);
  }
}

auto TickClearing(State& state, base::TimePoint now, Effects& effects) -> void {
  RepeatReports(state, now, effects);
  ForgetOldReports(state, now);
  ClearReported(state, now, effects);
}

}  // namespace anvildrum::relay
