#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <optional>
#include <utility>

namespace anvildrum::base {

/// Value or error. Each module defines its own error struct (an enum code plus the place at fault)
/// and fails with `return boost::leaf::new_error(ModuleError{...})`.
template <typename T>
using Result = boost::leaf::result<T>;

/// Runs `attempt` (a callable returning Result<T>) and returns the error of type `Error` it failed
/// with, or nothing when it succeeded. For edges and tests that report the typed error.
template <typename Error, typename Attempt>
auto ErrorOf(Attempt&& attempt) -> std::optional<Error> {
  return boost::leaf::try_handle_all(
      [&]() -> Result<std::optional<Error>> {
        auto result = std::forward<Attempt>(attempt)();
        if (!result) return result.error();
        return std::optional<Error>{};
      },
      [](const Error& error) -> std::optional<Error> { return error; },
      []() -> std::optional<Error> { return Error{}; });
}

}  // namespace anvildrum::base
