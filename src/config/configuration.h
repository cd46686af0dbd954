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
/// No input or output. docs/design/configuration.md has the reasons for the design.
namespace anvildrum::config {

/// Maximum size of a value on the platform, less room for its own framing.
inline constexpr std::size_t kMaxDocument = 1'000'000;

/// Document before the first patch: number 0, no services.
inline constexpr std::string_view kEmptyDocument = R"({"number":0,"services":{},"history":[]})";

/// Parses and checks a document. Errors: ConfigurationError.
auto ParseConfiguration(std::string_view text) -> base::Result<Configuration>;

/// Returns the document with all defaults written out.
auto Serialize(const Configuration& configuration) -> std::string;

/// Returns the name of a rule, such as "address-taken". The names are stable for scripts.
auto RuleName(Rule rule) -> std::string_view;

/// Returns one line of text with rule, place, pointer and value.
auto Describe(const ConfigurationError& error) -> std::string;

}  // namespace anvildrum::config
