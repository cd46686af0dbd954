#pragma once

#include <optional>

#include "config/types/configuration.h"
#include "config/types/configuration_error.h"
#include "json/parse.h"

namespace anvildrum::config {

/// Fills `out` from a document and checks its form and the rules that need nothing else.
auto Read(const json::Json& document, Configuration& out) -> std::optional<ConfigurationError>;

/// Parses text; the error's place is kDocument.
auto ParseDocument(std::string_view text, json::Json& out) -> std::optional<ConfigurationError>;

}  // namespace anvildrum::config
