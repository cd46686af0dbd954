#pragma once

#include <optional>

#include "config/types/configuration.h"
#include "config/types/configuration_error.h"
#include "json/parse.h"

namespace anvildrum::config {

/// Fills `out` from a document. Checks its shape and the rules that need no other input.
auto Read(const json::Json& document, Configuration& out) -> std::optional<ConfigurationError>;

/// Parses text. Errors have the place kDocument.
auto ParseDocument(std::string_view text, json::Json& out) -> std::optional<ConfigurationError>;

}  // namespace anvildrum::config
