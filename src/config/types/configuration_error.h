#pragma once

#include <cstdint>
#include <string>

#include "json/types/read_error.h"

namespace anvildrum::config {

enum class Rule {
  kShape,              ///< a value of the wrong form; `shape` says which
  kAddressTaken,       ///< an address that a service has already
  kNoAddress,          ///< a service without an address
  kUnusableAddress,    ///< port 0, or the unspecified address
  kNowhereToPlace,     ///< no target of the service could take a new flow any more
  kServiceHasTargets,  ///< a service is removed while targets serve it
  kAddressMoved,       ///< an address changes its service and the patch doesn't allow that
  kNotWritable,        ///< only "/services" may be patched
  kPathMissing,        ///< an operation names a place that isn't there
  kTestFailed,         ///< a "test" operation doesn't hold
  kTooLarge,           ///< over the size that the platform or this module takes
  kStale,              ///< the base number isn't the number in force
  kBaseForgotten,      ///< stale, and too old to tell whether this patch was once accepted
  kIdReused,           ///< another patch was accepted under the same id
  kBadIdentity,        ///< id, author or time isn't 1 to 64 printable ASCII characters
};

/// What a pointer points into.
enum class Place {
  kDocument,  ///< the configuration as the patch would make it
  kCurrent,   ///< the configuration in force
  kPatch,     ///< the patch
};

/// A rule that a configuration or patch breaks.
struct ConfigurationError {
  Rule rule = Rule::kShape;
  Place place = Place::kDocument;
  std::string pointer;    ///< JSON pointer (RFC 6901)
  std::string found;      ///< the value or name at fault
  json::ReadError shape;  ///< for kShape
};

/// Why a patch was refused. Nothing of it was applied.
struct PatchRefusal {
  ConfigurationError fault;
  std::uint64_t number = 0;  ///< in force; for kStale the number that won
  std::string since;         ///< for kStale: RFC 6902 text of what changed since the base
};

}  // namespace anvildrum::config
