#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/types/time.h"

/// The test language: one statement a line, `#` starts a comment.
///
///     [at TIME] VERB WORD...
///
/// A word is a name, a range of names (c1..c40), a duration (250ms, 3s, 30m), a number, a per cent
/// (5%), or JSON from `[` or `{` to the end of the line. tools/scenario/README.md has the verbs.
namespace anvildrum::scenario {

struct Word {
  std::string text;
  std::optional<base::Duration> duration;
  std::optional<double> number;  ///< of a number or a per cent, which is divided by 100
};

/// One statement. Ranges are written out.
struct Line {
  std::size_t number = 0;
  std::string text;
  std::optional<base::Duration> at;  ///< nothing: set up before the start
  std::vector<Word> words;
};

struct ScriptError {
  std::size_t line = 0;
  std::string text;
};

/// Errors: ScriptError.
auto ParseScript(std::string_view text) -> base::Result<std::vector<Line>>;

}  // namespace anvildrum::scenario
