#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "config/types/configuration.h"
#include "config/types/configuration_error.h"

/// The configuration: one JSON document with a number.
///
///     {"number": 7, "services": {"desk": {"addresses": ["10.0.0.1:5683"], "spread": {...},
///      "limits": {...}, "weights": {"desk-1": 2}}}, "history": [...]}
///
/// No input or output. docs/design/configuration.md says what was weighed.
namespace anvildrum::config {

/// What the platform takes as one value, less room for its own framing.
inline constexpr std::size_t kMaxDocument = 1'000'000;

/// What stands before the first patch: number 0, no services.
inline constexpr std::string_view kEmptyDocument = R"({"number":0,"services":{},"history":[]})";

/// Reads and checks a document. Errors: ConfigurationError.
auto ParseConfiguration(std::string_view text) -> base::Result<Configuration>;

/// The document, with every default written out.
auto Serialize(const Configuration& configuration) -> std::string;

/// The name of a rule, stable for scripts: "address-taken".
auto RuleName(Rule rule) -> std::string_view;

/// One line of English: rule, place, pointer, value.
auto Describe(const ConfigurationError& error) -> std::string;

}  // namespace anvildrum::config
