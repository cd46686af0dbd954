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

/// The configuration in parts that each fit a value of the platform: groups of services, the
/// history, and a head that names them. No input or output; docs/design/configuration.md, "Groups
/// and a head", weighs it. Not wired yet: anvilctl and the relay still use one object.
///
/// A writer puts the new groups first and the head last, by conditional update on the revision that
/// it read; so the head accepts a patch as a whole. A group is never written over: its key holds
/// the number and the patch that it was made for. Failure: of two writers at one number the loser's
/// group would stand under the winner's head. Symptom: a configuration that nobody accepted.
namespace anvildrum::config {

inline constexpr std::string_view kGroupPrefix = "config-groups/";

struct Head {
  std::uint64_t number = 0;
  std::vector<std::string> keys;  ///< of the groups; the last one is the history's
};

struct Group {
  std::string key;
  std::string text;
};

/// What a reader holds. It may hold groups that its head does not name.
struct StoredGroups {
  Head head;
  std::map<std::string, std::string, std::less<>> groups;  ///< key -> text
};

/// What a patch has to write, in this order.
struct GroupWrites {
  std::vector<Group> groups;
  std::string head;
};

/// Errors: ConfigurationError kShape.
auto ParseHead(std::string_view text) -> base::Result<Head>;

/// Splits the document that a patch made. Groups whose text is as before keep their key. Errors:
/// ConfigurationError kShape.
auto SplitDocument(std::string_view document, const StoredGroups& before, std::string_view patch_id)
    -> base::Result<GroupWrites>;

/// The document under the head's number, or nothing while a group that the head names isn't held:
/// then the number in force stays. Errors: ConfigurationError kShape.
auto JoinDocument(const StoredGroups& stored) -> base::Result<std::optional<std::string>>;

/// Those of the keys that neither this head nor a later one can name: made for this number or an
/// earlier one, and not named. They may be deleted at any later time.
auto ObsoleteGroups(const Head& head, std::span<const std::string> keys)
    -> std::vector<std::string>;

}  // namespace anvildrum::config
