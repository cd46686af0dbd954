#include "packetd/operator_reads.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "base/clock.h"
#include "packetd/internal/common.h"
#include "telemetry/log.h"

namespace anvildrum::packetd {
namespace {

// The time within which a change has to take effect is divided into this many parts. The next read
// of any balancer is due after one part at the earliest and two at the latest; the remaining parts
// leave time for a call that hangs and its retry.
constexpr auto kBoundDivisor = 4;

// Longer than an answer usually takes while the platform is slow.
constexpr auto kSlowReadThreshold = base::milliseconds{400};

auto PolicyFor(const Settings& settings) -> platform::SharedReadsPolicy {
  const auto bound = std::min(settings.configuration_within,
                              settings.drains_within.value_or(base::Duration::max()));
  return {.fresh_for = bound / kBoundDivisor, .spread = bound / kBoundDivisor};
}

template <typename T>
auto ErrorOf(const platform::Outcome<T>& outcome) -> const platform::PlatformError* {
  return std::get_if<platform::PlatformError>(&outcome);
}

// Whether the platform has answered that the object does not exist.
auto IsAbsence(const platform::PlatformError* error) -> bool {
  return error != nullptr && error->code == platform::PlatformErrorCode::kNotFound;
}

// These lines show a link that is too narrow for the size of the configuration before a deadline is
// missed.
auto LogSlowRead(base::Duration took, const platform::Outcome<platform::Object>& got) -> void {
  if (took < kSlowReadThreshold) return;
  const auto* error = ErrorOf(got);
  telemetry::Log(telemetry::LogLevel::kInfo, "configuration_read_slowly",
                 {{"took_ms", took / base::milliseconds{1}},
                  {"bytes", error == nullptr ? std::get<platform::Object>(got).value.size() : 0},
                  {"code", error == nullptr ? -1 : static_cast<int>(error->code)}});
}

}  // namespace

OperatorReads::OperatorReads(const PlatformClients& clients, const Adapter& adapter,
                             const Settings& settings, OperatorReadCallbacks callbacks)
    : clients(clients),
      adapter(adapter),
      callbacks(std::move(callbacks)),
      reads_drains(settings.drains_within.has_value()),
      reads(platform::MakeSharedReads(PolicyFor(settings), StartSeed(settings))) {}

auto OperatorReads::Begin(base::TimePoint now) -> void {
  platform::Begin(this->reads, now);
  this->FetchConfiguration(Freshness::kMayBeStale);
}

// A configuration that is being received from another process does not delay a read, because the
// link of that process may be saturated.
auto OperatorReads::Check(base::TimePoint now) -> void {
  if (!platform::IsReadDue(this->reads, now) || this->IsConfigurationComing()) return;
  platform::BeginRead(this->reads, now);
  ++this->counters.reads;
  this->failed = false;
  this->pending_answers = this->reads_drains ? 2 : 1;
  if (this->reads_drains) {
    this->clients.newest.List(this->adapter.drains_prefix,
                              [this](const platform::Outcome<platform::Listing>& outcome) {
                                const auto* error = ErrorOf(outcome);
                                if (error == nullptr) {
                                  this->callbacks.on_drains(std::get<platform::Listing>(outcome));
                                }
                                this->OnPartialAnswer(error);
                              });
  }
  this->GetConfiguration(this->clients.newest, [this](const platform::PlatformError* error) {
    this->OnPartialAnswer(error);
  });
}

auto OperatorReads::FetchConfiguration(Freshness freshness) -> void {
  auto& client =
      freshness == Freshness::kNewest ? this->clients.newest : this->clients.may_be_stale;
  this->GetConfiguration(client, [this](const platform::PlatformError* error) {
    this->callbacks.on_answer(IsAbsence(error) ? nullptr : error);
    if (error == nullptr) return;
    telemetry::Log(telemetry::LogLevel::kDebug, "configuration_not_fetched",
                   {{"code", static_cast<int>(error->code)}, {"status", error->http_status}});
  });
}

auto OperatorReads::IsConfigurationComing() const -> bool {
  return this->clients.newest.IsReceivingObject() || this->clients.may_be_stale.IsReceivingObject();
}

auto OperatorReads::GetConfiguration(platform::Client& client,
                                     std::function<void(const platform::PlatformError*)> then)
    -> void {
  const auto begun = base::Now();
  client.Get(this->adapter.configuration_key,
             [this, begun, then = std::move(then)](const platform::Outcome<platform::Object>& got) {
               const auto* error = ErrorOf(got);
               LogSlowRead(base::Now() - begun, got);
               if (error == nullptr) {
                 this->callbacks.on_configuration(std::get<platform::Object>(got));
               }
               then(error);
             });
}

auto OperatorReads::OnPartialAnswer(const platform::PlatformError* error) -> void {
  // Before the first configuration is written, the object is absent. That answer is a confirmation
  // too.
  if (IsAbsence(error)) error = nullptr;
  this->callbacks.on_answer(error);
  if (error != nullptr) this->failed = true;
  if (--this->pending_answers != 0) return;
  const auto now = base::Now();
  if (this->failed) {
    ++this->counters.failed;
    return platform::FailRead(this->reads, now);
  }
  platform::EndRead(this->reads, now);
  this->callbacks.on_confirmed();
}

auto OperatorReads::SetBalancers(std::size_t count, base::TimePoint now) -> void {
  platform::SetInstances(this->reads, count, now);
}

auto OperatorReads::TurnInOutage() const -> base::Duration {
  return platform::TurnInOutage(this->reads);
}

auto OperatorReads::Hasten(base::TimePoint now) -> void { platform::HastenRead(this->reads, now); }

auto OperatorReads::Confirm(base::TimePoint as_of, base::TimePoint now) -> bool {
  const auto before = this->Age(now);
  platform::TakeConfirmation(this->reads, as_of, now);
  const auto after = this->Age(now);
  if (after != before) ++this->counters.confirmations;
  return before && after && *before - *after > this->reads.policy.fresh_for / 2;
}

auto OperatorReads::Age(base::TimePoint now) const -> std::optional<base::Duration> {
  return platform::AgeOf(this->reads, now);
}

}  // namespace anvildrum::packetd
