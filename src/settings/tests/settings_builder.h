#pragma once

#include <string>
#include <string_view>

#include "json/parse.h"

namespace anvildrum::settings {

/// Text of a settings file that is accepted until a test changes it.
class SettingsBuilder {
 public:
  static auto Balancer() -> SettingsBuilder;
  static auto Agent() -> SettingsBuilder;

  /// Sets the value at a JSON pointer; `value` is JSON.
  auto With(std::string_view pointer, std::string_view value) -> SettingsBuilder&;
  auto Without(std::string_view pointer) -> SettingsBuilder&;
  auto Build() const -> std::string;

 private:
  json::Json document;
};

}  // namespace anvildrum::settings
