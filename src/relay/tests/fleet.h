#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "relay/relay.h"

/// Relay cores on a virtual clock with a fake platform and a fake network between them.
namespace anvildrum::relay::fleet {

struct FakeObject {
  std::uint64_t revision = 0;
  std::uint64_t number = 0;
  bool deleted = false;
  std::string value{};
};

struct WaitingWatch {
  std::uint64_t after = 0;
  std::uint64_t token = 0;
};

struct FakePlatform {
  std::map<std::string, FakeObject> objects;
  std::uint64_t revision = 100;
  std::uint64_t kept_from = 0;  ///< a watch after an older revision is answered 410
  bool down = false;
  bool hangs = false;  ///< watches that are started get no answer
  /// Of an answer with objects, over the link of its caller; answers that come at once add up.
  base::Duration answer_takes{};
  std::map<std::size_t, WaitingWatch> waiting;
  std::uint64_t calls = 0;
  std::map<std::int64_t, std::uint64_t> calls_by_second;
};

struct Node {
  State state;
  bool up = false;
  bool reaches_platform = true;
  bool is_ready = false;
  bool is_paused = false;
  std::vector<Event> held_events{};
  bool holds_deletes = false;  ///< paused between deciding to delete and writing
  std::vector<DeleteRecord> held_deletes{};
  std::uint64_t life = 0;  ///< counts starts; what was meant for an earlier one is dropped
  std::uint64_t timer_token = 0;
  std::uint64_t watch_token = 0;
  base::TimePoint timer_at{};
  std::map<std::string, RelayPeer> peers{};
  base::TimePoint link_free_at{};  ///< of answers of the platform
  std::uint64_t number = 0;        ///< in force, from RecordsChanged
  bool went_back = false;          ///< a number or a revision fell
  std::map<std::string, std::uint64_t> revisions{};
  base::TimePoint in_force_at{};
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
  std::uint64_t messages_out = 0;
};

struct Item {
  base::TimePoint at;
  std::uint64_t sequence = 0;
  std::function<void()> run;
};

struct Later {
  auto operator()(const Item& left, const Item& right) const -> bool {
    return std::tie(left.at, left.sequence) > std::tie(right.at, right.sequence);
  }
};

struct Fleet {
  base::TimePoint now{base::seconds(1000)};
  std::uint64_t sequence = 0;
  std::priority_queue<Item, std::vector<Item>, Later> queue;
  std::vector<Node> nodes;
  std::unordered_map<base::InstanceId, std::size_t> indices;
  FakePlatform platform;
  std::mt19937_64 random{1};
  base::Duration delay = base::milliseconds(2);  ///< one way, between any two
  base::Duration jitter{};                       ///< more than zero: messages overtake each other
  double loss = 0.0;
  std::set<std::pair<std::size_t, std::size_t>> cuts;  ///< (lower, higher) index
  std::uint64_t bytes = 0;
  std::uint64_t messages = 0;
};

/// Adds an instance that is not up yet. Its endpoint follows from its index.
auto AddNode(Fleet& fleet, RelaySettings settings) -> std::size_t;
auto Balancer(std::size_t index, const std::string& domain) -> RelaySettings;
auto Agent(std::size_t index, const std::string& domain, const std::string& service)
    -> RelaySettings;
auto EndpointOf(std::size_t index) -> base::Endpoint;

/// Balancers first, domain by domain, then agents of service "desk". Every one has the first
/// balancer of each domain as a seed.
auto MakeFleet(std::size_t domains, std::size_t balancers, std::size_t agents) -> Fleet;

/// Writes configuration 1, starts all, announces the balancers and lets them settle.
auto StartAll(Fleet& fleet) -> void;

/// Starts (or restarts with the next incarnation) an instance with an empty state.
auto StartNode(Fleet& fleet, std::size_t index) -> void;
auto KillNode(Fleet& fleet, std::size_t index) -> void;

/// Writes the instance's announcement.
auto Announce(Fleet& fleet, std::size_t index) -> void;

/// Platform writes; each raises the revision by one.
auto PutObject(Fleet& fleet, const std::string& key, std::string value, std::uint64_t number = 0)
    -> std::uint64_t;
auto DeleteObject(Fleet& fleet, const std::string& key, std::optional<std::uint64_t> if_revision)
    -> bool;
auto SetDown(Fleet& fleet, bool down) -> void;

auto Deliver(Fleet& fleet, std::size_t index, const Event& event) -> void;
/// SIGSTOP and SIGCONT: what arrives meanwhile is handled afterwards, in order.
auto Pause(Fleet& fleet, std::size_t index) -> void;
auto Resume(Fleet& fleet, std::size_t index) -> void;
auto ReleaseDeletes(Fleet& fleet, std::size_t index) -> void;
auto SetCut(Fleet& fleet, std::size_t left, std::size_t right, bool cut) -> void;

/// Runs something later, when the instance still lives the life that it lives now.
auto ScheduleFor(Fleet& fleet, std::size_t index, base::Duration delay, std::function<void()> run)
    -> void;

auto RunFor(Fleet& fleet, base::Duration duration) -> void;

/// Runs until `done` or the limit; the time it took, or nothing.
auto RunUntil(Fleet& fleet, base::Duration limit, const std::function<bool()>& done)
    -> std::optional<base::Duration>;

/// Whether every instance that is up has this configuration in force.
auto AllHold(const Fleet& fleet, std::uint64_t number) -> bool;

/// Whether every instance that is up holds the platform's records that it takes, and no others.
auto AllAgree(const Fleet& fleet) -> bool;

auto Watchers(const Fleet& fleet) -> std::size_t;

/// Most calls in one second since `from`.
auto PeakCalls(const Fleet& fleet, base::TimePoint from) -> std::uint64_t;

}  // namespace anvildrum::relay::fleet
