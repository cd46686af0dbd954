#include "daemon/internal/announcer.h"

#include "telemetry/log.h"

namespace anvildrum::daemon {
namespace {

using platform::Object;
using platform::WriteIntent;
using platform::WriteProposal;
using platform::WriteResult;
using platform::WriteVerdict;
using telemetry::Log;
using telemetry::LogLevel;

// Patient: an announcement waits out a platform's outage, with rare calls.
auto AnnouncePolicy() -> platform::WritePolicy {
  auto policy = platform::WritePolicy{};
  policy.backoff = {base::milliseconds(100), base::seconds(10)};
  policy.max_calls = 64;
  policy.deadline = base::minutes(5);
  return policy;
}

}  // namespace

Announcer::Announcer(Runtime& runtime, Parts parts)
    : parts(std::move(parts)),
      writer(runtime.io, *runtime.platform, AnnouncePolicy(), runtime.seed),
      incarnation(runtime.incarnation) {}

auto Announcer::Propose(const std::optional<Object>& current) -> WriteProposal {
  auto recorded = current ? this->parts.incarnation_of(current->value) : base::Incarnation{0};
  if (current && current->value == this->written) return {WriteIntent::kDone, {}};
  auto ours = recorded == this->incarnation;
  if (!this->settled && !ours && recorded != 0) this->predecessor_lost = true;
  if (!ours && recorded >= this->incarnation) this->incarnation = recorded + 1;
  if (!ours && this->provisional && !(current && this->StandsOn(*current))) {
    ++this->incarnation;
    this->predecessor_lost = true;
    this->provisional.reset();
  }
  this->written = this->parts.compose(this->incarnation);
  return {WriteIntent::kPut, this->written};
}

auto Announcer::StandsOn(const Object& current) const -> bool {
  return this->provisional == current.revision;
}

auto Announcer::ServesUnder(base::Incarnation number, std::uint64_t revision) -> void {
  this->incarnation = number;
  this->provisional = revision;
}

auto Announcer::Incarnation() const -> base::Incarnation { return this->incarnation; }

auto Announcer::Announce() -> void {
  if (this->withdrawn) return;
  if (this->writing) {
    this->again = true;
    return;
  }
  this->writing = true;
  this->written.clear();
  this->writer.Write(
      this->parts.key, [this](const auto& current) { return this->Propose(current); },
      [this](const WriteResult& result) { this->Finish(result); });
}

auto Announcer::Finish(const WriteResult& result) -> void {
  this->writing = false;
  if (result.verdict != WriteVerdict::kTook) {
    Log(LogLevel::kWarning, "announcement_pending", {{"key", this->parts.key}});
    return this->Announce();
  }
  this->settled = true;
  this->provisional.reset();
  Log(LogLevel::kInfo, "announced",
      {{"key", this->parts.key},
       {"revision", result.revision},
       {"incarnation", this->incarnation}});
  this->parts.on_announced({this->incarnation, result.revision, this->predecessor_lost});
  if (!this->again) return;
  this->again = false;
  this->Announce();
}

auto Announcer::Recorded(const std::string* text) -> void {
  if (!this->settled || this->writing || this->withdrawn) return;
  auto recorded = text == nullptr ? 0 : this->parts.incarnation_of(*text);
  if (recorded >= this->incarnation) return;
  if (text != nullptr) return;
  Log(LogLevel::kWarning, "announcement_missing", {{"key", this->parts.key}});
  ++this->incarnation;
  this->predecessor_lost = true;
  this->Announce();
}

auto Announcer::ProposeDelete(const std::optional<Object>& current) -> WriteProposal {
  if (!current) return {WriteIntent::kDone, {}};
  auto ours =
      this->parts.incarnation_of(current->value) == this->incarnation || this->StandsOn(*current);
  return {ours ? WriteIntent::kDelete : WriteIntent::kAbandon, {}};
}

auto Announcer::Withdraw(std::function<void()> done) -> void {
  this->withdrawn = true;
  this->writer.Write(
      this->parts.key, [this](const auto& current) { return this->ProposeDelete(current); },
      [done = std::move(done)](const WriteResult&) { done(); });
}

}  // namespace anvildrum::daemon
