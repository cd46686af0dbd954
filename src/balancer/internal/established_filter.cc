#include "balancer/internal/established_filter.h"

#include <algorithm>
#include <bit>

namespace anvildrum::balancer {
namespace {

constexpr auto kHashCount = std::uint64_t{4};
constexpr auto kWordBits = std::uint64_t{64};

// Derives any number of hashes from two (Kirsch and Mitzenmacher, 2006).
auto BitOf(const steering::Fingerprint& fingerprint, std::uint64_t i, std::size_t words)
    -> std::uint64_t {
  return (fingerprint.low + i * fingerprint.high) & (words * kWordBits - 1);
}

auto HasAll(const std::vector<std::uint64_t>& bits, const steering::Fingerprint& fingerprint)
    -> bool {
  for (auto i = std::uint64_t{0}; i < kHashCount; ++i) {
    auto bit = BitOf(fingerprint, i, bits.size());
    if ((bits[bit / kWordBits] >> (bit % kWordBits) & 1U) == 0) return false;
  }
  return true;
}

}  // namespace

auto MakeEstablishedFilter(std::size_t bits) -> EstablishedFilter {
  auto words = std::bit_ceil(std::max<std::size_t>(1, bits / kWordBits));
  auto filter = EstablishedFilter{};
  filter.current.resize(words);
  filter.previous.resize(words);
  return filter;
}

auto AddEstablished(EstablishedFilter& filter, const steering::Fingerprint& fingerprint) -> void {
  for (auto i = std::uint64_t{0}; i < kHashCount; ++i) {
    auto bit = BitOf(fingerprint, i, filter.current.size());
    filter.current[bit / kWordBits] |= std::uint64_t{1} << (bit % kWordBits);
  }
}

auto IsEstablished(const EstablishedFilter& filter, const steering::Fingerprint& fingerprint)
    -> bool {
  return HasAll(filter.current, fingerprint) || HasAll(filter.previous, fingerprint);
}

auto RotateFilter(EstablishedFilter& filter, base::Duration period, base::TimePoint now) -> void {
  if (now - filter.rotated_at < period) return;
  filter.rotated_at = now;
  std::swap(filter.current, filter.previous);
  std::ranges::fill(filter.current, 0);
}

}  // namespace anvildrum::balancer
