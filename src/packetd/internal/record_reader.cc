#include "packetd/record_reader.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "packetd/record.h"
#include "telemetry/log.h"

namespace anvildrum::packetd {
namespace {

using telemetry::Log;
using telemetry::LogLevel;

// Shortest time between two reads of a balancer, and the same for each balancer of the fleet, which
// bounds the reads of all of them to a hundred a second.
constexpr auto kReadInterval = base::milliseconds{250};
constexpr auto kReadSpacing = base::milliseconds{10};

// The platform answers at once with the changes that it has.
constexpr auto kNoHold = base::Duration{};

// Returns the records of a listing; nullopt if that of an agent cannot be read, since its service
// is unknown then.
auto RecordsOf(const platform::Listing& listing)
    -> std::optional<std::vector<packets::AgentRecord>> {
  auto records = std::vector<packets::AgentRecord>{};
  for (const auto& item : listing.items) {
    const auto agent = AgentOfKey(item.key);
    if (!agent || item.deleted) continue;
    const auto record = DecodeRecord(item.value);
    if (!record || record->agent != *agent) return std::nullopt;
    records.push_back({*agent, base::ServiceIdOf(record->service)});
  }
  return records;
}

}  // namespace

RecordReader::RecordReader(platform::Client& client, const Adapter& adapter,
                           packets::Balancer& core)
    : client(client), adapter(adapter), core(core) {}

auto RecordReader::Step(const RecordReaderContext& context, base::TimePoint now) -> void {
  const auto interval = std::max<base::Duration>(
      kReadInterval, static_cast<std::int64_t>(context.balancers) * kReadSpacing);
  this->retry_after = context.platform_answers ? interval : std::max(interval, context.outage_turn);
  if (this->pending || !this->core.records_wanted || now < this->next_at) return;
  this->next_at = now + interval;
  this->Read(this->history_gone ? 0 : context.copy_revision, now);
}

auto RecordReader::Read(std::uint64_t after, base::TimePoint now) -> void {
  this->pending = true;
  ++this->counters.reads;
  auto take = [this, now](const platform::Outcome<platform::Listing>& outcome) {
    this->OnAnswer(outcome, now);
  };
  if (after == 0) return this->client.List(this->adapter.members_prefix, std::move(take));
  this->client.Watch(this->adapter.members_prefix, after, kNoHold, std::move(take));
}

auto RecordReader::OnAnswer(const platform::Outcome<platform::Listing>& outcome,
                            base::TimePoint began) -> void {
  this->pending = false;
  const auto now = base::Now();
  if (const auto* error = std::get_if<platform::PlatformError>(&outcome)) {
    ++this->counters.failed;
    this->history_gone = error->code == platform::PlatformErrorCode::kTooOld;
    if (!this->history_gone) this->next_at = now + this->retry_after;
    return;
  }
  this->history_gone = false;
  const auto& listing = std::get<platform::Listing>(outcome);
  const auto records = RecordsOf(listing);
  if (!records) {
    Log(LogLevel::kWarning, "records_unreadable", {{"revision", listing.revision}});
    return;
  }
  packets::TakeRecords(this->core, *records, began, now);
  Log(LogLevel::kInfo, "records_read",
      {{"changed", records->size()}, {"revision", listing.revision}});
}

}  // namespace anvildrum::packetd
