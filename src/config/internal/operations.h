#pragma once

#include <optional>

#include "config/types/configuration_error.h"
#include "json/parse.h"

namespace anvildrum::config {

/// A parsed patch.
struct PatchDocument {
  json::Json operations = json::Json::array();
  bool allow_address_move = false;
};

/// Parses either form of a patch. Errors have the place kPatch.
auto ParsePatch(std::string_view text, PatchDocument& out) -> std::optional<ConfigurationError>;

/// Applies RFC 6902 operations in order. After an error `document` is incomplete and must be
/// discarded.
auto Apply(const json::Json& operations, json::Json& document) -> std::optional<ConfigurationError>;

}  // namespace anvildrum::config
