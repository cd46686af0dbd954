#include "config/configuration.h"
#include "json/parse.h"

namespace anvildrum::config {
namespace {

auto PlaceName(Place place) -> std::string {
  switch (place) {
    case Place::kDocument:
      return "configuration";
    case Place::kCurrent:
      return "configuration in force";
    case Place::kPatch:
      return "patch";
  }
  return "configuration";
}

}  // namespace

auto RuleName(Rule rule) -> std::string_view {
  switch (rule) {
    case Rule::kShape:
      return "shape";
    case Rule::kAddressTaken:
      return "address-taken";
    case Rule::kNoAddress:
      return "no-address";
    case Rule::kUnusableAddress:
      return "unusable-address";
    case Rule::kNowhereToPlace:
      return "nowhere-to-place";
    case Rule::kServiceHasTargets:
      return "service-has-targets";
    case Rule::kAddressMoved:
      return "address-moved";
    case Rule::kNotWritable:
      return "not-writable";
    case Rule::kPathMissing:
      return "path-missing";
    case Rule::kTestFailed:
      return "test-failed";
    case Rule::kTooLarge:
      return "too-large";
    case Rule::kStale:
      return "stale";
    case Rule::kBaseForgotten:
      return "base-forgotten";
    case Rule::kIdReused:
      return "id-reused";
    case Rule::kBadIdentity:
      return "bad-identity";
  }
  return "unknown";
}

auto Describe(const ConfigurationError& error) -> std::string {
  auto text = std::string(RuleName(error.rule)) + ": " + PlaceName(error.place);
  if (error.rule == Rule::kShape) return text + ": " + json::Describe(error.shape);
  if (!error.pointer.empty()) text += " " + error.pointer;
  if (!error.found.empty()) text += " (" + error.found + ")";
  return text;
}

}  // namespace anvildrum::config
