#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "config/types/configuration_error.h"

/// The configuration in parts that each fit into a value of the platform: groups of services, the
/// history, and a head that lists them. No input or output. See docs/design/configuration.md,
/// "Groups and a head". Not in use yet: anvilctl and the relay still use one object.
///
/// A writer stores the new groups first and the head last, by conditional update on the revision
/// that it read, so the head accepts a patch as a whole. A group is never overwritten: its key has
/// the number and the patch that it was made for. Failure: two writers use the same number, and the
/// loser's group replaces one of the winner's head. Symptom: a configuration that was never
/// accepted.
namespace anvildrum::config {

inline constexpr std::string_view kGroupPrefix = "config-groups/";

struct Head {
  std::uint64_t number = 0;
  std::vector<std::string> keys;  ///< of the groups; the last one is that of the history
};

struct Group {
  std::string key;
  std::string text;
};

/// The head and groups that a reader has received, possibly with groups that the head does not
/// list.
struct StoredGroups {
  Head head;
  std::map<std::string, std::string, std::less<>> groups;  ///< key -> text
};

/// The groups and the head that a patch has to write, in this order.
struct GroupWrites {
  std::vector<Group> groups;
  std::string head;
};

/// Errors: ConfigurationError kShape.
auto ParseHead(std::string_view text) -> base::Result<Head>;

/// Splits the document of a patch into groups. Groups with unchanged text keep their key. Errors:
/// ConfigurationError kShape.
auto SplitDocument(std::string_view document, const StoredGroups& before, std::string_view patch_id)
    -> base::Result<GroupWrites>;

/// Returns the document under the head's number, or nothing while a group listed in the head is
/// missing. The number in force then stays. Errors: ConfigurationError kShape.
auto JoinDocument(const StoredGroups& stored) -> base::Result<std::optional<std::string>>;

/// Returns the keys that neither this head nor a later one can list: those of this number or an
/// earlier one that are not listed. They may be deleted at any later time.
auto ObsoleteGroups(const Head& head, std::span<const std::string> keys)
    -> std::vector<std::string>;

}  // namespace anvildrum::config
