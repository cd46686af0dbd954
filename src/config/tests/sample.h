#pragma once

#include <string>
#include <string_view>

#include "config/patch.h"

namespace anvildrum::config {

/// A small site, formatted as if written by hand.
inline constexpr auto kSample = std::string_view{R"({
  "number": 7,
  "services": {
    "desk": {"addresses": ["10.0.0.1:5683"], "weights": {"desk-1": 2}},
    "mapper": {"addresses": ["10.0.0.2:5683", "10.0.0.3:5683"],
               "spread": {"load_margin": 0.1, "local_failure_domain_first": true}}
  },
  "history": []
})"};

inline auto Request(std::string_view id, std::uint64_t base, std::string_view patch)
    -> PatchRequest {
  return {std::string(id), "ana", "2026-12-02T10:00:00Z", base, std::string(patch)};
}

}  // namespace anvildrum::config
