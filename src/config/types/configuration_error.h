#pragma once

#include <cstdint>
#include <string>

#include "json/types/read_error.h"

namespace anvildrum::config {

enum class Rule {
  kShape,              ///< a value with a wrong shape; `shape` has the reason
  kAddressTaken,       ///< an address that already belongs to a service
  kNoAddress,          ///< a service without an address
  kUnusableAddress,    ///< port 0, or the unspecified address
  kNowhereToPlace,     ///< no target of the service could take a new flow
  kServiceHasTargets,  ///< a service is removed while targets serve it
  kAddressMoved,       ///< an address moves to another service and the patch does not allow that
  kNotWritable,        ///< only "/services" may be patched
  kPathMissing,        ///< an operation refers to a place that does not exist
  kTestFailed,         ///< a "test" operation failed
  kTooLarge,           ///< larger than the platform or this module accepts
  kStale,              ///< the base number is not the number in force
  kBaseForgotten,      ///< stale, and too old to tell whether this patch was accepted before
  kIdReused,           ///< another patch was accepted under the same id
  kBadIdentity,        ///< id, author or time is not 1 to 64 printable ASCII characters
};

/// Document that a pointer refers to.
enum class Place {
  kDocument,  ///< the configuration as the patch would make it
  kCurrent,   ///< the configuration in force
  kPatch,     ///< the patch
};

/// Violation of a rule by a configuration or patch.
struct ConfigurationError {
  Rule rule = Rule::kShape;
  Place place = Place::kDocument;
  std::string pointer;    ///< JSON pointer (RFC 6901)
  std::string found;      ///< the invalid value or name
  json::ReadError shape;  ///< for kShape
};

/// Reason for refusing a patch. Nothing of the patch was applied.
struct PatchRefusal {
  ConfigurationError fault;
  std::uint64_t number = 0;  ///< in force; for kStale, that of the other patch
  std::string since;         ///< for kStale: RFC 6902 text of the changes since the base
};

}  // namespace anvildrum::config
