#include "steering/flow_table.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cstring>
#include <span>

namespace anvildrum::steering {
namespace {

constexpr auto kKeySize = std::size_t{16 + 2 + 8};

auto SetOf(FlowTable& table, const Fingerprint& fingerprint) -> std::span<FlowSlot> {
  auto set = fingerprint.low & table.set_mask;
  return std::span(table.slots).subspan(set * kSlotsPerSet, kSlotsPerSet);
}

auto FindSlot(FlowTable& table, const Fingerprint& fingerprint) -> FlowSlot* {
  for (auto& slot : SetOf(table, fingerprint)) {
    if (slot.last_used != 0 && slot.fingerprint == fingerprint) return &slot;
  }
  return nullptr;
}

}  // namespace

auto FingerprintOf(const base::FlowKey& flow) -> Fingerprint {
  auto key = std::array<std::uint8_t, kKeySize>{};
  std::memcpy(key.data(), flow.client.address.data(), 16);
  std::memcpy(key.data() + 16, &flow.client.port, 2);
  std::memcpy(key.data() + 18, &flow.service.value, 8);
  auto hash = XXH3_128bits(key.data(), key.size());
  return {hash.low64, hash.high64};
}

auto MakeFlowTable(std::size_t capacity) -> FlowTable {
  auto sets = std::bit_ceil(std::max<std::size_t>(1, (capacity + kSlotsPerSet - 1) / kSlotsPerSet));
  auto table = FlowTable{};
  table.slots.resize(sets * kSlotsPerSet);
  table.set_mask = sets - 1;
  return table;
}

auto Find(FlowTable& table, const Fingerprint& fingerprint) -> const FlowHint* {
  auto* slot = FindSlot(table, fingerprint);
  if (slot == nullptr) return nullptr;
  slot->last_used = table.epoch;
  return &slot->hint;
}

auto Insert(FlowTable& table, const Fingerprint& fingerprint, const FlowHint& hint) -> void {
  auto* slot = FindSlot(table, fingerprint);
  if (slot == nullptr) {
    auto set = SetOf(table, fingerprint);
    slot = &*std::ranges::min_element(set, {}, &FlowSlot::last_used);
    if (slot->last_used == 0) {
      ++table.size;
    } else {
      ++table.evictions;
    }
  }
  slot->fingerprint = fingerprint;
  slot->hint = hint;
  slot->last_used = table.epoch;
}

auto Erase(FlowTable& table, const Fingerprint& fingerprint) -> void {
  auto* slot = FindSlot(table, fingerprint);
  if (slot == nullptr) return;
  *slot = FlowSlot{};
  --table.size;
}

auto Tick(FlowTable& table) -> void { ++table.epoch; }

auto MemoryOf(const FlowTable& table) -> std::size_t {
  return table.slots.capacity() * sizeof(FlowSlot);
}

}  // namespace anvildrum::steering
