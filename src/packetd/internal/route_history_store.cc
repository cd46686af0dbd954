#include "packetd/route_history_store.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "base/clock.h"
#include "packetd/route_history_codec.h"
#include "telemetry/log.h"

namespace anvildrum::packetd {
namespace {

using telemetry::Log;
using telemetry::LogLevel;

// Shortest time between two reads, and after a failed call.
constexpr auto kCallInterval = base::milliseconds{1000};

// When the first balancer but the writer checks that its changes are recorded, and the time between
// two of them. With up to 400 balancers all have done so within packets::kRecordedWithin.
constexpr auto kCheckDelay = base::milliseconds{300};
constexpr auto kCheckSpacing = base::milliseconds{1};
constexpr auto kMinCheckPlaces = std::size_t{400};

// Interval at which expired former services are looked for.
constexpr auto kCompareInterval = base::seconds{10};

}  // namespace

RouteHistoryStore::RouteHistoryStore(platform::Client& client, const Adapter& adapter,
                                     packets::Balancer& core)
    : client(client), adapter(adapter), core(core) {}

auto RouteHistoryStore::Step(const RouteHistoryContext& context, base::TimePoint now) -> void {
  this->retry_after = context.platform_answers
                          ? base::Duration{kCallInterval}
                          : std::max<base::Duration>(kCallInterval, context.outage_turn);
  if (this->pending || !this->core.routes || now < this->next_call_at) return;
  this->writes = context.is_writer;
  if (this->IsReadDue(now)) return this->Read(now);
  this->Compare(context.is_writer, context.balancers, now);
}

// A balancer that is not the writer waits before it checks the record, so that it usually finds its
// changes there and balancers do not all read at once.
auto RouteHistoryStore::Compare(bool is_writer, std::size_t balancers, base::TimePoint now)
    -> void {
  const auto changed =
      std::exchange(this->compared_changes, this->core.route_changes) != this->core.route_changes;
  if (is_writer) {
    if (!changed && now - this->compared_at < kCompareInterval) return;
    this->compared_at = now;
    return this->WriteNext();
  }
  this->compared_at = {};  // if it becomes the writer, it compares at once
  if (changed && !this->core.former.empty()) {
    const auto places = std::max<std::size_t>(balancers, kMinCheckPlaces);
    const auto place = static_cast<std::int64_t>(this->core.own % places);
    this->check_at = now + kCheckDelay + place * kCheckSpacing;
  }
  if (!this->check_at || now < *this->check_at) return;
  this->check_at.reset();
  this->writes = true;
  this->Read(now);
}

auto RouteHistoryStore::IsReadDue(base::TimePoint now) const -> bool {
  if (!this->known) return true;
  const auto recorded = now - this->core.routes_at >= packets::kRecordedWithin;
  return this->core.history_wanted && recorded && now - this->begun_at >= kCallInterval;
}

auto RouteHistoryStore::Read(base::TimePoint now) -> void {
  this->pending = true;
  this->begun_at = now;
  ++this->counters.reads;
  this->client.List(this->adapter.route_history_prefix,
                    [this, now](const platform::Outcome<platform::Listing>& outcome) {
                      this->pending = false;
                      if (const auto* error = std::get_if<platform::PlatformError>(&outcome)) {
                        return this->OnFailed(*error);
                      }
                      this->Take(std::get<platform::Listing>(outcome), now);
                    });
}

// A part that cannot be read leaves the history unknown. The writer replaces it once it knows all
// former services by itself.
auto RouteHistoryStore::Take(const platform::Listing& listing, base::TimePoint read_at) -> void {
  auto all = packets::RouteServices{};
  auto unreadable = listing.unreadable;
  this->parts = {};
  for (const auto& item : listing.items) {
    const auto part = HistoryPartOfKey(item.key);
    if (!part) continue;
    auto services = DecodeHistoryPart(item.value);
    if (!services) ++unreadable;
    this->parts.at(*part) = {item.revision, services.value_or(packets::RouteServices{})};
    if (services) all.merge(*services);
  }
  this->known = true;
  this->compared_at = read_at;
  this->counters.unreadable += unreadable;
  const auto routes = all.size();
  if (unreadable == 0) packets::TakeHistory(this->core, std::move(all), read_at, base::Now());
  Log(unreadable == 0 ? LogLevel::kInfo : LogLevel::kWarning, "route_history_read",
      {{"routes", routes}, {"unreadable", unreadable}, {"revision", listing.revision}});
  this->compared_changes = this->core.route_changes;
  if (this->writes) this->WriteNext();
}

auto RouteHistoryStore::WriteNext() -> void {
  const auto now = base::Now();
  const auto has_read = this->core.history_at != base::TimePoint{};
  const auto runs_for = now - this->core.configured_at;
  if (!has_read && runs_for < this->core.policy.former_service_ttl) return;
  for (auto part = std::size_t{0}; part < this->parts.size(); ++part) {
    auto services = packets::HistoryPart(this->core, part, now);
    const auto& known = this->parts.at(part);
    if (services == known.services) continue;
    this->pending = true;
    ++this->counters.writes;
    const auto key = std::string(this->adapter.route_history_prefix) + "/" + HistoryPartName(part);
    auto precondition = platform::Precondition{platform::IfAbsent{}};
    if (known.revision != 0) precondition = platform::IfMatch{known.revision};
    const auto value = EncodeHistoryPart(services);
    return this->client.Put(key, value, precondition,
                            [this, part, services = std::move(services)](
                                const platform::Outcome<std::uint64_t>& outcome) {
                              this->OnWritten(part, services, outcome);
                            });
  }
}

auto RouteHistoryStore::OnWritten(std::size_t part, const packets::RouteServices& services,
                                  const platform::Outcome<std::uint64_t>& outcome) -> void {
  this->pending = false;
  if (const auto* error = std::get_if<platform::PlatformError>(&outcome)) {
    // The write may have taken effect, or another balancer may have written.
    this->known = false;
    return this->OnFailed(*error);
  }
  const auto revision = std::get<std::uint64_t>(outcome);
  this->parts.at(part) = {revision, services};
  Log(LogLevel::kInfo, "route_history_written",
      {{"part", part}, {"routes", services.size()}, {"revision", revision}});
  this->WriteNext();
}

auto RouteHistoryStore::OnFailed(const platform::PlatformError& error) -> void {
  ++this->counters.failed;
  this->next_call_at = base::Now() + this->retry_after;
  Log(LogLevel::kDebug, "route_history_failed",
      {{"key", error.key}, {"code", static_cast<int>(error.code)}, {"status", error.http_status}});
}

}  // namespace anvildrum::packetd
