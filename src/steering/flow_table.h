#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "base/types/flow_key.h"

namespace anvildrum::steering {

/// 128-bit XXH3 hash of client and service. Two flows of a table collide with a probability of
/// about flows^2 / 2^129. In that case the owner's answer corrects the hint.
struct Fingerprint {
  std::uint64_t low = 0;
  std::uint64_t high = 0;
  auto operator==(const Fingerprint&) const -> bool = default;
};

auto FingerprintOf(const base::FlowKey& flow) -> Fingerprint;

/// A hint: packets of the flow go to this incarnation of the target.
struct FlowHint {
  base::TargetId target;
  base::Incarnation incarnation = 0;
};

/// A table entry of 40 bytes.
struct FlowSlot {
  Fingerprint fingerprint;
  FlowHint hint;
  std::uint32_t last_used = 0;  ///< epoch; 0: the slot is free
};
static_assert(sizeof(FlowSlot) <= 64);

/// A balancer's bounded cache of flows whose owner is not their home. The cache is set-associative:
/// a flow is stored in one of the eight slots of its set, where it replaces the least recently used
/// entry. MakeFlowTable allocates all memory. A lost entry costs a hop, never a flow.
struct FlowTable {
  std::vector<FlowSlot> slots;
  std::uint64_t set_mask = 0;
  std::uint32_t epoch = 1;  ///< advanced by Tick, about once per second
  std::uint64_t size = 0;
  std::uint64_t evictions = 0;
};

inline constexpr std::size_t kSlotsPerSet = 8;

/// Returns a table of at least `capacity` slots, rounded up to a power of two.
auto MakeFlowTable(std::size_t capacity) -> FlowTable;

/// Returns null if the flow is unknown. The pointer is valid until the next call that changes the
/// table.
auto Find(FlowTable& table, const Fingerprint& fingerprint) -> const FlowHint*;

auto Insert(FlowTable& table, const Fingerprint& fingerprint, const FlowHint& hint) -> void;

auto Erase(FlowTable& table, const Fingerprint& fingerprint) -> void;

/// Advances the epoch by which entries age.
auto Tick(FlowTable& table) -> void;

/// Returns the size of the table's memory in bytes.
auto MemoryOf(const FlowTable& table) -> std::size_t;

}  // namespace anvildrum::steering
