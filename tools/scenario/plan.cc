#include "scenario/plan.h"

#include <nlohmann/json.hpp>
#include <ostream>

#include "scenario/run.h"
#include "scenario/statement.h"

namespace anvildrum::scenario {
namespace {

using Json = nlohmann::ordered_json;

auto Milliseconds(base::Duration duration) -> double {
  return std::chrono::duration<double, std::milli>(duration).count();
}

auto ToJson(const Word& word) -> Json {
  if (word.duration) return {{"ms", Milliseconds(*word.duration)}};
  if (word.number) return *word.number;
  return word.text;
}

auto WriteLine(const Line& line, bool is_set_up, std::ostream& out) -> void {
  auto json = Json::object();
  json["line"] = line.number;
  json["text"] = line.text;
  json["set_up"] = is_set_up;
  json["at_ms"] = Milliseconds(line.at.value_or(base::Duration{}));
  auto& words = json["words"] = Json::array();
  for (const auto& word : line.words) words.push_back(ToJson(word));
  out << json.dump() << '\n';
}

}  // namespace

auto WritePlan(const std::vector<Line>& lines, std::ostream& out) -> void {
  for (const auto& line : lines) {
    auto is_set_up = !line.words.empty() && IsSetUp(line.words.front().text);
    if (is_set_up) WriteLine(line, true, out);
  }
  for (const auto& line : InOrder(lines)) WriteLine(line, false, out);
}

}  // namespace anvildrum::scenario
