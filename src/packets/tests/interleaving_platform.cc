// The platform: the agents' records, what balancers read of them, and the history of routes.

#include <algorithm>
#include <utility>
#include <vector>

#include "interleaving_world.h"
#include "packets/route_history.h"

namespace anvildrum::packets::tests {
namespace {

using base::milliseconds;

constexpr auto kOutage = milliseconds{3000};  // of the platform, and the time between two

}  // namespace

auto World::IsPlatformAway() const -> bool {
  return this->options.kills && this->now.time_since_epoch() / kOutage % 2 != 0;
}

// The platform answers at once, or not at all.
auto World::RecordTarget(AgentSite& site) -> void {
  const auto heard = site.core.target.heard != base::TimePoint{};
  if (this->IsPlatformAway() || site.core.target.recorded || !heard) return;
  const auto& incarnation = site.core.target.last.incarnation;
  auto& recorded = this->recorded_targets[site.core.own];
  NoteRecorded(site.core, incarnation, recorded != incarnation);
  recorded = incarnation;
}

// The platform has a record at once, and each balancer some time later.
auto World::Record(Address agent, std::optional<base::ServiceId> service) -> void {
  if (service) {
    this->records[agent] = *service;
  } else {
    this->records.erase(agent);
  }
  for (auto i = std::size_t{0}; i < this->balancers.size(); ++i) {
    this->Later(milliseconds{10 + this->Draw(2000)}, [this, i, agent] {
      auto& view = this->balancers[i].core.view;
      const auto record = this->records.find(agent);
      if (record == this->records.end()) return RemoveRecord(view, agent);
      AddRecord(view, agent, record->second, this->now);
    });
  }
}

// The platform's answer comes a moment after its state was read.
auto World::ReadRecords(std::size_t index) -> void {
  if (this->IsPlatformAway()) return;
  auto records = std::vector<AgentRecord>{};
  for (const auto& [agent, service] : this->records) records.push_back({agent, service});
  this->Later(milliseconds{3}, [this, index, began = this->now, records = std::move(records)] {
    auto& site = this->balancers[index];
    this->WhenAwake(site.pause, [this, index, began, records] {
      TakeRecords(this->balancers[index].core, records, began, this->now);
    });
  });
}

// Each balancer records what it knows of the route, and reads the record if it has to.
auto World::KeepHistory(std::size_t index) -> void {
  auto& site = this->balancers[index];
  if (site.pause.until > this->now) return;
  const auto delayed = this->now - site.core.routes_at >= kRecordedWithin;
  if (site.core.history_wanted && delayed) this->ReadHistory(index);
  const auto route = KeyOf(kRoute);
  auto services = HistoryPart(site.core, HistoryPartOf(route), this->now).at(route);
  auto& recorded = this->history[route];
  recorded.insert(recorded.end(), services.begin(), services.end());
  std::sort(recorded.begin(), recorded.end());
  recorded.erase(std::unique(recorded.begin(), recorded.end()), recorded.end());
}

auto World::ReadHistory(std::size_t index) -> void {
  TakeHistory(this->balancers[index].core, this->history, this->now, this->now);
}

}  // namespace anvildrum::packets::tests
