#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "membership/types/membership_error.h"
#include "membership/types/records.h"

/// Records as objects of the platform. The key has the names, and the value has the rest as JSON.
/// Unknown keys of a value are ignored, so that a fleet can be upgraded one instance at a time.
namespace anvildrum::membership {

inline constexpr std::string_view kTargetPrefix = "targets/";
inline constexpr std::string_view kBalancerPrefix = "balancers/";

auto KeyOf(const TargetRecord& record) -> std::string;
auto KeyOf(const BalancerRecord& record) -> std::string;

/// Returns the value for KeyOf(record). The revision and the ids that are derived from names are
/// not part of it.
auto Serialize(const TargetRecord& record) -> std::string;
auto Serialize(const BalancerRecord& record) -> std::string;

/// Parses an object of the platform. Errors: MembershipError.
auto ParseTargetRecord(std::string_view key, std::uint64_t revision, std::string_view text)
    -> base::Result<TargetRecord>;
auto ParseBalancerRecord(std::string_view key, std::uint64_t revision, std::string_view text)
    -> base::Result<BalancerRecord>;

}  // namespace anvildrum::membership
