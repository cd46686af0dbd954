#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "relay/store.h"
#include "relay/types/effect.h"
#include "relay/types/settings.h"

namespace anvildrum::relay {

/// Orders for maps. Spelled out because clang-tidy 14 takes the zero inside a defaulted <=> for a
/// null pointer wherever std::less meets one.
struct EndpointOrder {
  auto operator()(const base::Endpoint& left, const base::Endpoint& right) const -> bool {
    return std::tie(left.address, left.port) < std::tie(right.address, right.port);
  }
};

struct InstanceOrder {
  auto operator()(base::InstanceId left, base::InstanceId right) const -> bool {
    return left.value < right.value;
  }
};

/// Counted by kind; read by the operator port.
struct RelayCounters {
  std::uint64_t accepted = 0;
  std::uint64_t duplicates = 0;
  std::uint64_t refused_stale_revision = 0;
  std::uint64_t refused_stale_number = 0;
  std::uint64_t refused_config_deleted = 0;
  std::uint64_t refused_forgotten = 0;
  std::uint64_t bad_messages = 0;
  std::uint64_t bad_deltas = 0;  ///< without their base, or that did not unpack
  std::uint64_t gaps = 0;        ///< a parent was ahead of what arrived
  std::uint64_t repairs = 0;     ///< sets that differed at the same revision
  std::uint64_t parents_lost = 0;
  std::uint64_t subscribes_sent = 0;
  std::uint64_t updates_sent = 0;
  std::uint64_t heartbeats_sent = 0;
  std::uint64_t watches_started = 0;
  std::uint64_t watches_failed = 0;
  std::uint64_t watches_hung = 0;
  std::uint64_t polls_started = 0;
  std::uint64_t polls_failed = 0;
  std::uint64_t suspicions_sent = 0;
  std::uint64_t deletes_issued = 0;
  std::uint64_t deletes_conflicted = 0;
};

/// A peer that this instance hears from.
struct Parent {
  base::InstanceId instance;  ///< zero for a seed until it answers
  base::Endpoint endpoint;
  bool answered = false;
  std::uint32_t hops = 0;
  base::Duration period{};  ///< of its heartbeats, as it says; zero: none came yet
  base::TimePoint asked_at{};
  base::TimePoint heard_at{};
  base::TimePoint renewed_at{};
};

/// A peer that was lost. It is asked again now and then, beside the one that took its place, so
/// that asking costs no gap.
struct Silence {
  base::TimePoint until{};  ///< not asked before
  std::uint32_t losses = 0;
};

/// A peer that hears from this instance.
struct Child {
  base::ServiceId service;
  std::uint64_t sent_revision = 0;    ///< has everything up to here
  std::uint64_t config_revision = 0;  ///< the configuration it holds
  bool complete_sent = false;
  base::TimePoint renewed_at{};
};

struct WatchState {
  bool active = false;
  std::uint64_t after = 0;
  base::TimePoint started_at{};  ///< when the call begins, its delay included
  bool answer_begun = false;     ///< the rest of it is awaited for as long as it comes
  std::uint32_t failures = 0;
};

struct PollState {
  bool active = false;
  base::TimePoint started_at{};         ///< when the call begins, its delay included
  bool answer_begun = false;            ///< as of a watch
  std::optional<base::TimePoint> next;  ///< without a complete set or a parent
  base::TimePoint relist_at{};
  std::uint32_t failures = 0;
};

/// What this balancer itself suspects.
struct OwnSuspicion {
  std::uint64_t revision = 0;
  std::string failure_domain;
  base::TimePoint since{};
  base::TimePoint sent_at{};
};

/// What this balancer was told by others, as the one that clears.
struct Reports {
  std::uint64_t revision = 0;
  std::map<std::uint64_t, base::TimePoint> reporters{};
  std::optional<base::TimePoint> agreed{};      ///< since when a quorum reports it
  std::optional<base::TimePoint> deleted_at{};  ///< when a delete was last issued
};

/// The complete set that was last packed. Failure: a failure domain returns, its balancers all join
/// through the same seed, and packing takes it 0.1 s for each. Symptom: the seed's own children
/// lose it. They all ask for the same set.
struct PackedSet {
  base::ServiceId service;
  std::uint64_t horizon = 0;
  std::uint64_t digest = 0;
  SharedMessage message;
};

struct State {
  RelaySettings settings;
  std::mt19937_64 random;
  Store store;
  std::vector<RelayPeer> peers;                           ///< all balancers, this one included
  std::map<std::string, std::vector<RelayPeer>> domains;  ///< in rank order
  std::vector<RelayPeer> preferred;  ///< agents: balancers in the order they are asked
  std::map<base::Endpoint, Parent, EndpointOrder> parents;
  std::map<base::Endpoint, Silence, EndpointOrder> silent;  ///< lost and not heard since
  std::map<base::InstanceId, Child, InstanceOrder> children;
  PackedSet packed;
  WatchState watch;
  PollState poll;
  std::map<std::string, OwnSuspicion> own_suspicions;
  std::map<std::string, Reports> reports;
  base::TimePoint next_delete{};
  base::TimePoint started_at{};
  base::TimePoint ticked_at{};
  base::TimePoint next_heartbeat{};
  base::TimePoint forwarded_at{};  ///< last heartbeat passed on
  base::Duration told_period{};    ///< to the children, with that; zero: nothing yet
  base::TimePoint repaired_at{};
  std::uint32_t repairs_in_vain = 0;  ///< since the sets were last equal
  base::TimePoint rooted_at{};        ///< last sign of a root, or the start
  std::size_t seed_index = 0;         ///< seed that is asked now
  bool started = false;
  bool stopping = false;
  bool ready = false;
  bool root = false;
  RelayCounters counters;
};

}  // namespace anvildrum::relay
