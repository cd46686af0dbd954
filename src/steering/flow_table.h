#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "base/types/flow_key.h"

namespace anvildrum::steering {

/// 128 bits of XXH3 over client and service. Two flows of one table share one with a probability
/// of about flows^2 / 2^129; the owner's answer corrects the hint even then.
struct Fingerprint {
  std::uint64_t low = 0;
  std::uint64_t high = 0;
  auto operator==(const Fingerprint&) const -> bool = default;
};

auto FingerprintOf(const base::FlowKey& flow) -> Fingerprint;

/// A hint: packets of the flow go to this incarnation of this target.
struct FlowHint {
  base::TargetId target;
  base::Incarnation incarnation = 0;
};

/// One place of the table: 40 bytes.
struct FlowSlot {
  Fingerprint fingerprint;
  FlowHint hint;
  std::uint32_t last_used = 0;  ///< epoch; 0: the slot is free
};
static_assert(sizeof(FlowSlot) <= 64);

/// A balancer's bounded cache of flows whose owner is not their home. Set-associative: a flow lives
/// in one of the eight places of its set, and the place that was used longest ago makes room. All
/// memory is taken by MakeFlowTable. A cache, not the truth: a lost entry costs a hop.
struct FlowTable {
  std::vector<FlowSlot> slots;
  std::uint64_t set_mask = 0;
  std::uint32_t epoch = 1;  ///< advanced by Tick, once a second or so
  std::uint64_t size = 0;
  std::uint64_t evictions = 0;
};

inline constexpr std::size_t kSlotsPerSet = 8;

/// A table of at least `capacity` places (rounded up to a power of two).
auto MakeFlowTable(std::size_t capacity) -> FlowTable;

/// Null when the flow isn't known. The pointer holds until the next call that changes the table.
auto Find(FlowTable& table, const Fingerprint& fingerprint) -> const FlowHint*;

auto Insert(FlowTable& table, const Fingerprint& fingerprint, const FlowHint& hint) -> void;

auto Erase(FlowTable& table, const Fingerprint& fingerprint) -> void;

/// Advances the clock by which entries age.
auto Tick(FlowTable& table) -> void;

/// Bytes of memory that the table holds.
auto MemoryOf(const FlowTable& table) -> std::size_t;

}  // namespace anvildrum::steering
