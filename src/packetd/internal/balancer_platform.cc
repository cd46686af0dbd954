#include <algorithm>
#include <string>
#include <utility>

#include "base/clock.h"
#include "packetd/addresses.h"
#include "packetd/balancer_node.h"
#include "packetd/internal/common.h"
#include "packetd/record.h"
#include "telemetry/log.h"

// The part of BalancerNode that reads the platform's state: the configuration, the drained failure
// domains and the agents' records.
namespace anvildrum::packetd {
namespace {

using telemetry::Log;
using telemetry::LogLevel;

// Pause between two watches of a seed. It prevents a rapid series of changes from ending more than
// one watch in this time.
constexpr auto kSeedPause = base::milliseconds{250};

// Longest duration of a seed's watch call. A watch only reports earlier what the next read
// would find.
constexpr auto kSeedHold = base::seconds{25};

// The interval between requests for a configuration that another balancer already has is the time
// within which it has to take effect, divided by this. Three requests are answered within half of
// that time.
constexpr auto kAskForNewerDivisor = 8;

// Backoff between failed calls. It is short so that a configuration is read soon after the platform
// is back; the instance's call budget limits the calls during a long outage.
constexpr auto kWatchBackoff =
    platform::BackoffPolicy{.first = base::milliseconds{200}, .cap = base::milliseconds{1000}};

// Records tell a balancer which agents to send hellos to; agents and other balancers report what
// changes quickly. The pause lets a few calls read the records of a starting fleet, instead of one
// call for each agent.
constexpr auto kRecordHold = base::seconds{8};
constexpr auto kRecordPause = base::seconds{2};

auto WatchPolicyOf(base::Duration hold, base::Duration pause) -> platform::WatchPolicy {
  auto policy = platform::WatchPolicy{};
  policy.hold = hold;
  policy.pause = pause;
  policy.backoff = kWatchBackoff;
  return policy;
}

}  // namespace

auto BalancerNode::Watch() -> void {
  const auto seed = StartSeed(this->settings);
  this->reads.Begin(base::Now());
  this->WatchAsSeed();
  this->record_watcher = std::make_unique<platform::PrefixWatcher>(
      this->io, this->stale_client,
      platform::PrefixWatcherSettings{.prefix = std::string(this->adapter.members_prefix),
                                      .policy = WatchPolicyOf(kRecordHold, kRecordPause),
                                      .seed = seed + 1},
      platform::PrefixWatcherCallbacks{
          .on_change = [this](const platform::Object& object) { this->OnRecord(object); },
          .on_synced =
              [this](std::uint64_t /*revision*/) {
                const auto now = base::Now();
                this->core.records_at = now;
                if (!std::exchange(this->records_read, true)) this->SendDueHellos(now);
              }});
}

auto BalancerNode::IsSeed() const -> bool {
  const auto& seeds = this->settings.seeds;
  return std::any_of(seeds.begin(), seeds.end(),
                     [&](const base::Endpoint& seed) { return AddressOf(seed) == this->core.own; });
}

// The few balancers that are seeds watch the platform and tell the others of changes, so that these
// reach the fleet within milliseconds. Correctness does not depend on it, because every balancer
// also takes part in the regular reads.
auto BalancerNode::WatchAsSeed() -> void {
  this->configuration_watcher.reset();
  this->drains_watcher.reset();
  if (!this->IsSeed()) return;
  const auto watch = [this](std::string_view prefix, std::uint64_t seed) {
    return std::make_unique<platform::PrefixWatcher>(
        this->io, this->client,
        platform::PrefixWatcherSettings{.prefix = std::string(prefix),
                                        .policy = WatchPolicyOf(kSeedHold, kSeedPause),
                                        .seed = seed},
        platform::PrefixWatcherCallbacks{.on_change = [this](const platform::Object& /*object*/) {
          this->reads.Hasten(base::Now());
        }});
  };
  const auto seed = StartSeed(this->settings);
  this->configuration_watcher = watch(this->adapter.configuration_prefix, seed + 2);
  if (this->settings.drains_within) {
    this->drains_watcher = watch(this->adapter.drains_prefix, seed + 3);
  }
}

auto BalancerNode::MakeReadCallbacks() -> OperatorReadCallbacks {
  return {.on_configuration =
              [this](const platform::Object& object) { this->OnConfiguration(object, "platform"); },
          .on_drains = [this](const platform::Listing& drains) { this->OnDrains(drains); },
          .on_answer = [this](const platform::PlatformError* error) { this->OnAnswer(error); },
          .on_confirmed = [this] { this->SendBriefHello(base::Now()); }};
}

// Asks an agent for its stored configuration if this balancer has found none for a while, or has an
// unconfirmed older one. The agent's copy is the configuration in force when it last heard from a
// balancer; a newer one replaces it as soon as the platform answers.
auto BalancerNode::AskAgent(const packets::TargetReport& report, base::TimePoint now) -> void {
  if (this->reads.Age(now)) return;
  const auto ask = packets::NoteKeptConfiguration(this->kept_configurations, report.revision,
                                                  now - this->started_at);
  if (this->core.routes) {
    packets::NoteNewer(this->newer_configuration, report.agent, report.revision,
                       this->peers.Revision());
  } else if (ask && !this->IsConfigurationComing()) {
    this->peers.AskFor(report.agent);
  }
}

// Takes the other balancer's last read as a confirmation if both have the same state. Returns true
// if a seed should pass it on, because other balancers may know no balancers but seeds. A hello
// without an echo is ignored, because it may have been delayed for long.
auto BalancerNode::TakeConfirmation(const packets::Hello& hello, base::TimePoint now) -> bool {
  const auto same = hello.revision == this->peers.Revision() &&
                    hello.drained.domains == this->core.view.drained.domains;
  if (!hello.confirmed_ago || !hello.echo || !same) return false;
  const auto sent = base::SentNotBefore(this->mark_clock, *hello.echo, now);
  return sent && this->reads.Confirm(*sent - *hello.confirmed_ago, now);
}

auto BalancerNode::ConfigurationAge(base::TimePoint now) const -> base::Duration {
  return this->reads.Age(now).value_or(now - this->started_at);
}

// Whether the platform has not answered this balancer and, since then, no other one either.
auto BalancerNode::IsPlatformSilent(base::TimePoint now) const -> bool {
  return this->platform_lost_at && this->ConfigurationAge(now) > now - *this->platform_lost_at;
}

// Logs one line when the configuration in force may be older than allowed, and one when it has been
// confirmed again.
auto BalancerNode::LogFreshness(base::TimePoint now) -> void {
  const auto age = this->ConfigurationAge(now);
  const auto late = this->core.routes && age > this->settings.configuration_within;
  if (std::exchange(this->unconfirmed, late) == late) return;
  Log(late ? LogLevel::kWarning : LogLevel::kInfo,
      late ? "configuration_unconfirmed" : "configuration_confirmed",
      {{"age_ms", age / base::milliseconds{1}},
       {"revision", this->peers.Revision()},
       {"reads", this->reads.counters.reads},
       {"reads_failed", this->reads.counters.failed},
       {"confirmations", this->reads.counters.confirmations}});
}

auto BalancerNode::NoteNewer(packets::Address from, const packets::Hello& hello,
                             base::TimePoint now) -> void {
  const auto holder = hello.holder != 0 && hello.holder != this->core.own ? hello.holder : from;
  if (packets::NoteNewer(this->newer_configuration, holder, hello.revision,
                         this->peers.Revision())) {
    this->AskForNewer(now);
  }
}

// Whether a configuration is being received from the platform or a peer. A second transfer would
// share the link with it and delay both.
auto BalancerNode::IsConfigurationComing() const -> bool {
  return this->reads.IsConfigurationComing() || this->peers.IsConfigurationComing();
}

// The source varies, because the other balancer may no longer exist and the platform may not answer
// this balancer.
auto BalancerNode::AskForNewer(base::TimePoint now) -> void {
  const auto basis = packets::ConfigurationRequestContext{
      .revision = this->peers.Revision(),
      .is_seed = this->IsSeed(),
      .turned_away = this->platform_lost_at.has_value(),
      .answer_coming = this->IsConfigurationComing(),
      .every = this->settings.configuration_within / kAskForNewerDivisor};
  const auto source = packets::NextConfigurationSource(this->newer_configuration, basis, now);
  if (!source) return;
  switch (*source) {
    case packets::ConfigurationSource::kCopy:
      return this->reads.FetchConfiguration(Freshness::kMayBeStale);
    case packets::ConfigurationSource::kPlatform:
      return this->reads.FetchConfiguration(Freshness::kNewest);
    case packets::ConfigurationSource::kBalancer:
      return this->peers.AskFor(this->newer_configuration->holder);
  }
}

// Reduces this balancer's call rate in an outage as the number of balancers grows, and makes it
// retry soon after another balancer was answered.
auto BalancerNode::PaceCalls(base::TimePoint now) -> void {
  this->reads.SetBalancers(this->BalancerCount(now), now);
  const auto age = this->ConfigurationAge(now);
  const auto answered = age < this->settings.configuration_within;
  const auto turn = std::max<base::Duration>(kWatchBackoff.cap, 2 * this->reads.TurnInOutage());
  this->record_watcher->SetRetryWithin(answered ? std::min<base::Duration>(turn, kRecordHold)
                                                : turn);
  if (std::exchange(this->platform_answers, answered) || !answered) return;
  this->record_watcher->Hasten(kRecordPause);
}

auto BalancerNode::KeepRouteHistory(base::TimePoint now) -> void {
  const auto& newer = this->newer_configuration;
  this->core.outdated = newer && newer->revision > this->peers.Revision();
  this->route_history_store.Step({.is_writer = this->RecordsRoutes(now),
                                  .platform_answers = this->platform_answers,
                                  .outage_turn = this->reads.TurnInOutage(),
                                  .balancers = this->BalancerCount(now)},
                                 now);
}

auto BalancerNode::ReadRecords(base::TimePoint now) -> void {
  this->record_reader.Step({.copy_revision = this->record_watcher->Revision(),
                            .balancers = this->BalancerCount(now),
                            .platform_answers = this->platform_answers,
                            .outage_turn = this->reads.TurnInOutage()},
                           now);
}

// Logs one line when reads of the configuration begin to fail and one when they succeed again.
auto BalancerNode::OnAnswer(const platform::PlatformError* error) -> void {
  const auto now = base::Now();
  if (error == nullptr) {
    if (!this->platform_lost_at) return;
    const auto away = std::chrono::duration_cast<base::milliseconds>(now - *this->platform_lost_at);
    Log(LogLevel::kInfo, "platform_regained", {{"after_ms", away.count()}});
    this->platform_lost_at.reset();
    return;
  }
  if (this->platform_lost_at) return;
  this->platform_lost_at = now;
  Log(LogLevel::kWarning, "platform_lost",
      {{"code", static_cast<int>(error->code)},
       {"status", error->http_status},
       {"prefix", error->key}});
}

auto BalancerNode::OnConfiguration(const platform::Object& object, std::string_view from) -> void {
  if (object.deleted || object.key != this->adapter.configuration_key) return;
  if (object.revision == this->peers.Revision()) return;  // already in force
  auto routes = this->adapter.decode_configuration(object.value);
  if (!routes) {
    ++this->unreadable;
    Log(LogLevel::kError, "configuration_unreadable",
        {{"key", object.key}, {"revision", object.revision}, {"from", from}});
    return;
  }
  const auto version = routes->version;
  const auto count = routes->shares.size();
  const auto taken = packets::ApplyRoutes(this->core, std::move(*routes), base::Now());
  if (taken) this->peers.Keep(object);
  Log(LogLevel::kInfo, taken ? "configuration_in_force" : "configuration_older",
      {{"version", version}, {"routes", count}, {"revision", object.revision}, {"from", from}});
}

auto BalancerNode::OnDrains(const platform::Listing& drains) -> void {
  this->unreadable += drains.unreadable;
  auto domains = std::vector<packets::DomainTag>{};
  auto names = std::string{};
  for (const auto& drain : drains.items) {
    const auto name = std::string_view{drain.key}.substr(this->adapter.drains_prefix.size() + 1);
    domains.push_back(packets::DomainTagOf(name));
    names += (names.empty() ? "" : " ") + std::string(name);
  }
  this->TakeDrained(packets::DrainedOf(drains.revision, std::move(domains)), names);
}

auto BalancerNode::TakeDrained(const packets::DrainedDomains& told, std::string_view from) -> void {
  if (!packets::TakeDrained(this->core.view, told)) return;
  Log(LogLevel::kInfo, "domains_drained",
      {{"count", told.domains.size()},
       {"own", packets::IsDrained(told, this->core.domain)},
       {"revision", told.revision},
       {"from", from}});
}

auto BalancerNode::ReviewDrains(base::TimePoint now) -> void {
  const auto status = packets::ReviewDrains(this->core, !this->platform_lost_at, now);
  if (status != packets::DrainsStatus::kGivenUp) return;
  Log(LogLevel::kWarning, "drains_not_known",
      {{"after_ms", (now - this->started_at) / base::milliseconds{1}},
       {"platform_answers", !this->platform_lost_at}});
}

auto BalancerNode::OnRecord(const platform::Object& object) -> void {
  const auto agent = AgentOfKey(object.key);
  const auto record = DecodeRecord(object.value);
  if (!agent || (!object.deleted && (!record || record->agent != *agent))) {
    ++this->unreadable;
    this->operators.LogInvalidInput("record_unreadable", object.key);
    if (agent) packets::RemoveRecord(this->core.view, *agent);
    return;
  }
  this->operators.LogRecord(object.key, object.deleted, object.revision);
  if (object.deleted) return packets::RemoveRecord(this->core.view, *agent);
  packets::AddRecord(this->core.view, *agent, base::ServiceIdOf(record->service), base::Now());
}

}  // namespace anvildrum::packetd
