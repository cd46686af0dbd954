#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace anvildrum::tools {

/// Size of the stand-in's report in bytes.
inline constexpr std::size_t kReportSize = 1 << 20;

/// A report of exactly `size` bytes: lines of station flows, then a line with the XXH3 digest of
/// all that goes before it. `size` is at least 64.
auto MakeReport(std::string_view target, std::size_t size) -> std::string;

/// Whether the digest of the last line is that of the lines before it.
auto ReportIsWhole(std::string_view report) -> bool;

}  // namespace anvildrum::tools
