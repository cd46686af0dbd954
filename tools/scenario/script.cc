#include "scenario/script.h"

#include <boost/spirit/home/x3.hpp>
#include <cstdint>

// The one file with Spirit: the grammar of a line.
namespace anvildrum::scenario {
namespace {

namespace x3 = boost::spirit::x3;

struct Range {
  std::string first;
  std::string last;
};

struct UnitSymbols : x3::symbols<std::int64_t> {
  UnitSymbols() {
    this->add("us", 1'000)("ms", 1'000'000)("s", 1'000'000'000)("m", 60'000'000'000)(
        "h", 3'600'000'000'000);
  }
};
const auto kUnit = UnitSymbols{};

auto Append(std::vector<Word>& words, Word word) -> void { words.push_back(std::move(word)); }

auto Expand(std::vector<Word>& words, const Range& range) -> bool {
  auto digits = std::string_view("0123456789");
  auto cut = range.first.find_last_not_of(digits) + 1;
  auto stem = range.first.substr(0, cut);
  if (cut == range.first.size() || range.last.size() <= cut) return false;
  if (range.last.substr(0, cut) != stem) return false;
  if (range.last.find_first_not_of(digits, cut) != std::string::npos) return false;
  auto first = std::stoul(range.first.substr(cut));
  auto last = std::stoul(range.last.substr(cut));
  for (auto i = first; i <= last; ++i) Append(words, {stem + std::to_string(i), {}, {}});
  return first <= last;
}

const auto kEnd = &(x3::space | x3::eoi);
const auto kText = x3::rule<struct TextTag, std::string>("text") = x3::lexeme[+x3::graph];
const auto kName = x3::rule<struct NameTag, std::string>("name") =
    x3::lexeme[+(x3::graph - x3::lit(".."))];
const auto kJson = x3::rule<struct JsonTag, std::string>("json") =
    x3::lexeme[x3::char_("[{") >> *x3::char_];

auto Multiply(std::int64_t count, std::int64_t unit) -> base::Duration {
  return std::chrono::duration_cast<base::Duration>(base::nanoseconds(count * unit));
}

using Iterator = std::string_view::const_iterator;

auto TakeDuration(Iterator& at, Iterator end) -> std::optional<base::Duration> {
  auto count = std::int64_t{0};
  auto unit = std::int64_t{0};
  auto copy = at;
  auto on_count = [&](auto& context) { count = x3::_attr(context); };
  auto on_unit = [&](auto& context) { unit = x3::_attr(context); };
  auto rule = x3::lexeme[x3::int64[on_count] >> kUnit[on_unit] >> kEnd];
  if (!x3::phrase_parse(copy, end, rule, x3::space)) return std::nullopt;
  at = copy;
  return Multiply(count, unit);
}

auto TakeWord(Iterator& at, Iterator end, std::vector<Word>& words) -> bool {
  auto is_good = true;
  if (auto duration = TakeDuration(at, end)) {
    Append(words, {{}, duration, {}});
    return true;
  }
  auto range = Range{};
  auto on_first = [&](auto& context) { range.first = x3::_attr(context); };
  auto on_last = [&](auto& context) { range.last = x3::_attr(context); };
  auto on_range = [&](auto&) { is_good = Expand(words, range); };
  auto on_per_cent = [&](auto& context) { Append(words, {{}, {}, x3::_attr(context) / 100}); };
  auto on_number = [&](auto& context) {
    auto value = x3::_attr(context);
    Append(words, {{}, {}, value});
  };
  auto on_text = [&](auto& context) { Append(words, {x3::_attr(context), {}, {}}); };
  auto per_cent = x3::lexeme[x3::double_ >> '%' >> kEnd];
  auto number = x3::lexeme[x3::double_ >> kEnd];
  auto pair = (kName[on_first] >> x3::lit("..") >> kName[on_last])[on_range];
  auto word = per_cent[on_per_cent] | number[on_number] | kJson[on_text] | pair | kText[on_text];
  return x3::phrase_parse(at, end, word, x3::space) && is_good;
}

auto WithoutComment(std::string_view text) -> std::string_view {
  auto hash = text.find('#');
  return text.substr(0, hash);
}

auto IsBlank(std::string_view text) -> bool {
  return text.find_first_not_of(" \t\r") == std::string_view::npos;
}

auto ParseLine(std::size_t number, std::string_view text) -> base::Result<Line> {
  auto line = Line{number, std::string(text), {}, {}};
  auto at = text.begin();
  auto failed = [&] { return boost::leaf::new_error(ScriptError{number, std::string(text)}); };
  if (x3::phrase_parse(at, text.end(), x3::lexeme["at" >> x3::space], x3::space)) {
    line.at = TakeDuration(at, text.end());
    if (!line.at) return failed();
  }
  while (!IsBlank({at, text.end()})) {
    if (!TakeWord(at, text.end(), line.words)) return failed();
  }
  return line;
}

}  // namespace

auto ParseScript(std::string_view text) -> base::Result<std::vector<Line>> {
  auto lines = std::vector<Line>{};
  auto number = std::size_t{0};
  while (!text.empty()) {
    auto end = text.find('\n');
    auto raw = WithoutComment(text.substr(0, end));
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    ++number;
    if (IsBlank(raw)) continue;
    BOOST_LEAF_AUTO(line, ParseLine(number, raw));
    lines.push_back(std::move(line));
  }
  return lines;
}

}  // namespace anvildrum::scenario
