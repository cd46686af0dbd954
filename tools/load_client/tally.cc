#include "tools/load_client/tally.h"

#include <nlohmann/json.hpp>

#include "tools/common/report.h"

namespace anvildrum::load {
namespace {

using Json = nlohmann::json;

constexpr auto kNotRunCode = 503U;
constexpr auto kUnknownCode = 504U;

auto IsSuccess(unsigned code) -> bool { return code / 100 == 2; }

auto ParseObject(std::string_view payload) -> Json {
  auto json = Json::parse(payload, nullptr, false);
  return json.is_object() ? json : Json::object();
}

auto StringIn(const Json& object, const char* key) -> std::string {
  auto found = object.find(key);
  if (found == object.end() || !found->is_string()) return {};
  return found->get<std::string>();
}

auto NamesAnother(const Request& request, const Json& body) -> bool {
  auto id = StringIn(body, "id");
  return !id.empty() && id != request.id;
}

auto RanTwice(const Json& body) -> bool {
  auto found = body.find("executions");
  return found != body.end() && found->is_number_integer() && found->get<std::int64_t>() > 1;
}

auto OutcomeOfBody(const Request& request, const Answer& answer) -> Outcome {
  if (request.kind == RequestKind::kReport) {
    return tools::ReportIsWhole(answer.payload) ? Outcome::kAnswered : Outcome::kBrokenReport;
  }
  auto body = ParseObject(answer.payload);
  if (NamesAnother(request, body)) return Outcome::kWrongAnswer;
  // A POST's success that doesn't name the request proves nothing about it.
  if (request.kind == RequestKind::kPost && StringIn(body, "id").empty()) {
    return Outcome::kWrongAnswer;
  }
  return RanTwice(body) ? Outcome::kDoubleExecution : Outcome::kAnswered;
}

auto CountOutcome(Tally& tally, Outcome outcome) -> void {
  switch (outcome) {
    case Outcome::kAnswered:
      ++tally.answered;
      return;
    case Outcome::kNotRun:
      ++tally.refused_not_run;
      return;
    case Outcome::kUnknown:
      ++tally.unknown;
      return;
    case Outcome::kError:
      ++tally.errors;
      return;
    case Outcome::kWrongAnswer:
      ++tally.wrong_answers;
      return;
    case Outcome::kDoubleExecution:
      ++tally.answered;
      ++tally.double_executions;
      return;
    case Outcome::kBrokenReport:
      ++tally.broken_reports;
      return;
  }
}

auto CountAnswered(Tally& tally, const Request& request, const Answer& answer, base::TimePoint now)
    -> void {
  if (now > request.deadline) ++tally.after_deadline;
  auto target = request.kind == RequestKind::kReport ? std::string{} : TargetOf(answer.payload);
  if (!target.empty()) ++tally.by_target[target];
  if (request.kind == RequestKind::kReport) {
    ++tally.reports;
    return;
  }
  tally.latencies(std::chrono::duration<double, std::milli>(now - request.sent).count());
}

}  // namespace

auto OutcomeOf(const Request& request, const Answer& answer) -> Outcome {
  if (IsSuccess(answer.code)) return OutcomeOfBody(request, answer);
  if (NamesAnother(request, ParseObject(answer.payload))) return Outcome::kWrongAnswer;
  if (answer.code == kNotRunCode) return Outcome::kNotRun;
  if (answer.code == kUnknownCode) return Outcome::kUnknown;
  return Outcome::kError;
}

auto TargetOf(std::string_view payload) -> std::string {
  return StringIn(ParseObject(payload), "target");
}

auto Count(Tally& tally, const Request& request, const Answer& answer, base::TimePoint now)
    -> void {
  auto outcome = OutcomeOf(request, answer);
  ++tally.by_code[answer.code];
  CountOutcome(tally, outcome);
  if (outcome == Outcome::kAnswered) CountAnswered(tally, request, answer, now);
}

}  // namespace anvildrum::load
