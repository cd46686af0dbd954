#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "membership/types/membership_error.h"
#include "membership/types/records.h"

/// Records as objects of the platform: the key carries the names, the value the rest, as JSON. Keys
/// of a value that this version doesn't know are passed over, so that a fleet can be upgraded one
/// instance at a time.
namespace anvildrum::membership {

inline constexpr std::string_view kTargetPrefix = "targets/";
inline constexpr std::string_view kBalancerPrefix = "balancers/";

auto KeyOf(const TargetRecord& record) -> std::string;
auto KeyOf(const BalancerRecord& record) -> std::string;

/// The value under KeyOf(record). Ids that follow from names and the revision aren't in it.
auto Serialize(const TargetRecord& record) -> std::string;
auto Serialize(const BalancerRecord& record) -> std::string;

/// Reads an object of the platform. Errors: MembershipError.
auto ParseTargetRecord(std::string_view key, std::uint64_t revision, std::string_view text)
    -> base::Result<TargetRecord>;
auto ParseBalancerRecord(std::string_view key, std::uint64_t revision, std::string_view text)
    -> base::Result<BalancerRecord>;

}  // namespace anvildrum::membership
