#pragma once

#include <span>
#include <string_view>

#include "base/result.h"
#include "config/types/configuration_error.h"
#include "config/types/patch.h"

namespace anvildrum::config {

inline constexpr std::size_t kMaxPatch = 65'536;  ///< bytes of a patch
inline constexpr std::size_t kMaxHistory = 64;    ///< maximum number of patches in the history
inline constexpr std::size_t kMaxHistoryBytes = 262'144;  ///< of their differences together

/// Applies a patch to the document in force, completely or not at all. The caller writes the result
/// by conditional update on the revision at which `current` was read. That update, and not this
/// function, decides between two operators. Errors: PatchRefusal.
auto ApplyPatch(std::string_view current, const PatchRequest& request,
                std::span<const KnownTarget> targets) -> base::Result<AcceptedPatch>;

}  // namespace anvildrum::config
