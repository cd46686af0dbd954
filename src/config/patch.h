#pragma once

#include <span>
#include <string_view>

#include "base/result.h"
#include "config/types/configuration_error.h"
#include "config/types/patch.h"

namespace anvildrum::config {

inline constexpr std::size_t kMaxPatch = 65'536;          ///< bytes of a patch
inline constexpr std::size_t kMaxHistory = 64;            ///< patches that are remembered
inline constexpr std::size_t kMaxHistoryBytes = 262'144;  ///< of their differences together

/// Applies a patch to the document in force, as a whole or not at all. The caller writes the result
/// by conditional update on the revision that `current` was read at; that, and not this function,
/// decides between two operators. Errors: PatchRefusal.
auto ApplyPatch(std::string_view current, const PatchRequest& request,
                std::span<const KnownTarget> targets) -> base::Result<AcceptedPatch>;

}  // namespace anvildrum::config
