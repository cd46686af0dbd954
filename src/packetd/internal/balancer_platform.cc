#include <algorithm>
#include <string>
#include <utility>

#include "base/clock.h"
#include "packetd/addresses.h"
#include "packetd/balancer_node.h"
#include "packetd/internal/common.h"
#include "packetd/record.h"
#include "telemetry/log.h"

// What a balancer follows at the platform: the configuration, drained failure domains, and the
// records of agents.
namespace anvildrum::packetd {
namespace {

using telemetry::Log;
using telemetry::LogLevel;

// Changes in quick succession end one watch in this time.
constexpr auto kSeedPause = base::milliseconds{250};

// Seeds wait this long at the platform for a change; a watch only tells early what the next read
// would find.
constexpr auto kSeedHold = base::seconds{25};

// Between two questions for a configuration that another balancer has in force, as a part of the
// time in which it has to be in force: three questions are answered within half of it.
constexpr auto kAskForNewerParts = 8;

// Between failed calls: a configuration has to be read soon after the platform is back, and an
// instance's budget bounds the calls of a long outage.
constexpr auto kWatchBackoff =
    platform::BackoffPolicy{.first = base::milliseconds{200}, .cap = base::milliseconds{1000}};

// Records tell a balancer whom to say hello to; what changes quickly it hears from agents and other
// balancers. A fleet's start is read by a few calls instead of one for each agent.
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
                if (!std::exchange(this->records_read, true)) this->Greet(now);
              }});
}

auto BalancerNode::IsSeed() const -> bool {
  const auto& seeds = this->settings.seeds;
  return std::any_of(seeds.begin(), seeds.end(),
                     [&](const base::Endpoint& seed) { return AddressOf(seed) == this->core.own; });
}

// Changes reach the fleet within milliseconds by the few balancers that are seeds: they wait for
// them at the platform and tell the others. That they do is not relied on.
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

auto BalancerNode::MakeReadPorts() -> OperatorReadPorts {
  return {.on_configuration =
              [this](const platform::Object& object) { this->OnConfiguration(object, "platform"); },
          .on_drains = [this](const platform::Listing& drains) { this->OnDrains(drains); },
          .on_answer = [this](const platform::PlatformError* error) { this->OnAnswer(error); },
          .on_confirmed = [this] { this->TellAtOnce(base::Now()); }};
}

// An agent keeps a configuration, and this balancer has found none for a while, or one that nobody
// has confirmed. What agents keep is what was in force when they last heard of a balancer; a newer
// one replaces it as soon as the platform answers.
auto BalancerNode::AskAgent(const packets::TargetReport& report, base::TimePoint now) -> void {
  if (this->reads.Age(now)) return;
  const auto ask = packets::TakeKept(this->kept, report.revision, now - this->started_at);
  if (this->core.routes) {
    packets::NoteNewer(this->newer, report.agent, report.revision, this->peers.Revision());
  } else if (ask && !this->IsConfigurationComing()) {
    this->peers.AskFor(report.agent);
  }
}

// Whether the other balancer's read confirms what this one has. Seeds tell it on, where it is news:
// others know no balancers but seeds. A hello without an echo may have been on its way for long.
auto BalancerNode::TakeConfirmation(const packets::Hello& hello, base::TimePoint now) -> bool {
  const auto same = hello.revision == this->peers.Revision() &&
                    hello.drained.domains == this->core.view.drained.domains;
  if (!hello.confirmed_ago || !hello.echo || !same) return false;
  const auto sent = base::SentNotBefore(this->marks, *hello.echo, now);
  return sent && this->reads.Confirm(*sent - *hello.confirmed_ago, now);
}

auto BalancerNode::ConfigurationAge(base::TimePoint now) const -> base::Duration {
  return this->reads.Age(now).value_or(now - this->started_at);
}

// It has answered neither this balancer nor, since then, another one.
auto BalancerNode::IsPlatformSilent(base::TimePoint now) const -> bool {
  return this->platform_lost_at && this->ConfigurationAge(now) > now - *this->platform_lost_at;
}

// One line when what is in force may be older than it has to be, one when it is known not to be.
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
  if (packets::NoteNewer(this->newer, holder, hello.revision, this->peers.Revision())) {
    this->AskForNewer(now);
  }
}

// From wherever. Another one would share the link with it, and both would come later.
auto BalancerNode::IsConfigurationComing() const -> bool {
  return this->reads.IsConfigurationComing() || this->peers.IsConfigurationComing();
}

// The other balancer may have gone since, and the platform may not answer this one.
auto BalancerNode::AskForNewer(base::TimePoint now) -> void {
  const auto basis =
      packets::AskBasis{.revision = this->peers.Revision(),
                        .is_seed = this->IsSeed(),
                        .turned_away = this->platform_lost_at.has_value(),
                        .answer_coming = this->IsConfigurationComing(),
                        .every = this->settings.configuration_within / kAskForNewerParts};
  const auto source = packets::NextAsk(this->newer, basis, now);
  if (!source) return;
  switch (*source) {
    case packets::ConfigurationSource::kCopy:
      return this->reads.FetchConfiguration(Freshness::kMayBeOld);
    case packets::ConfigurationSource::kPlatform:
      return this->reads.FetchConfiguration(Freshness::kNewest);
    case packets::ConfigurationSource::kBalancer:
      return this->peers.AskFor(this->newer->holder);
  }
}

// What this balancer asks in an outage falls with the number of balancers, and it asks soon after
// another one was answered.
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

// Reads of the configuration tell of the platform: one line when it is lost, one when it is back.
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
  if (object.revision == this->peers.Revision()) return;  // in force already
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

auto BalancerNode::OnRecord(const platform::Object& object) -> void {
  const auto agent = AgentOfKey(object.key);
  const auto record = DecodeRecord(object.value);
  if (!agent || (!object.deleted && (!record || record->agent != *agent))) {
    ++this->unreadable;
    this->operators.LogOdd("record_unreadable", object.key);
    if (agent) packets::RemoveRecord(this->core.view, *agent);
    return;
  }
  this->operators.LogRecord(object.key, object.deleted, object.revision);
  if (object.deleted) return packets::RemoveRecord(this->core.view, *agent);
  packets::AddRecord(this->core.view, *agent, base::ServiceIdOf(record->service), base::Now());
}

}  // namespace anvildrum::packetd
