#include "tools/common/report.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace anvildrum::tools {
namespace {

constexpr std::string_view kDigestLabel = "xxh3 ";
constexpr auto kDigestLineSize = kDigestLabel.size() + 16 + 1;

auto DigestLine(std::string_view text) -> std::string {
  auto digits = std::array<char, 17>{};
  std::snprintf(digits.data(), digits.size(), "%016llx",
                static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
  return std::string(kDigestLabel) + digits.data() + "\n";
}

}  // namespace

auto MakeReport(std::string_view target, std::size_t size) -> std::string {
  auto report = "report of " + std::string(target) + "\n";
  auto body_size = size - kDigestLineSize;
  for (auto station = 0; report.size() < body_size; ++station) {
    report +=
        "station " + std::to_string(station) + " flow " + std::to_string(station * 7919 % 997);
    report += '\n';
  }
  report.resize(body_size);
  report.back() = '\n';
  return report + DigestLine(report);
}

auto ReportIsWhole(std::string_view report) -> bool {
  if (report.size() <= kDigestLineSize) return false;
  auto body = report.substr(0, report.size() - kDigestLineSize);
  return report.substr(body.size()) == DigestLine(body);
}

}  // namespace anvildrum::tools
