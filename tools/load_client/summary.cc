#include "tools/load_client/summary.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace anvildrum::load {
namespace {

using Json = nlohmann::ordered_json;
namespace acc = boost::accumulators;

constexpr auto kMedian = 0.5;
constexpr auto kP99 = 0.99;
constexpr auto kIndent = 2;

auto Milliseconds(base::Duration duration) -> double {
  return std::chrono::duration<double, std::milli>(duration).count();
}

auto Quantile(const Latencies& latencies, double probability) -> Json {
  if (acc::count(latencies) == 0) return nullptr;
  return acc::quantile(latencies, acc::quantile_probability = probability);
}

auto ByCode(const Tally& tally) -> Json {
  auto codes = Json::object();
  for (const auto& [code, count] : tally.by_code) codes[std::to_string(code)] = count;
  return codes;
}

auto AddRequests(Json& json, const Tally& tally) -> void {
  json["sent"] = tally.sent;
  json["answered"] = tally.answered;
  json["refused_not_run"] = tally.refused_not_run;
  json["unknown"] = tally.unknown;
  json["errors"] = tally.errors;
  json["timeouts"] = tally.timeouts;
  json["resets"] = tally.resets;
  json["late"] = tally.late;
  json["after_deadline"] = tally.after_deadline;
  json["wrong_answers"] = tally.wrong_answers;
  json["double_executions"] = tally.double_executions;
  json["reports"] = tally.reports;
  json["broken_reports"] = tally.broken_reports;
  json["p50_ms"] = Quantile(tally.latencies, kMedian);
  json["p99_ms"] = Quantile(tally.latencies, kP99);
  json["by_target"] = tally.by_target;
  json["by_code"] = ByCode(tally);
}

auto AddStreams(Json& json, const Summary& summary) -> void {
  json["streams"] = summary.streams;
  json["streams_alive"] = summary.streams_alive;
  json["streams_broken"] = summary.streams_broken;
  json["streams_cancelled"] = summary.streams_cancelled;
  json["notifications"] = summary.notifications;
  json["stale_notifications"] = summary.stale_notifications;
  json["longest_gap_ms"] = summary.longest_gap_ms;
}

auto Since(const Summary& summary, base::TimePoint moment) -> double {
  return Milliseconds(moment - summary.started);
}

auto ToJson(const Summary& summary, const Stream& stream) -> Json {
  static const auto faults = std::array<const char*, 3>{"", "silent", "cancelled"};
  auto json = Json::object();
  json["fault"] = faults.at(static_cast<std::size_t>(stream.fault));
  json["failed_ms"] = stream.failed ? Json(Since(summary, *stream.failed)) : Json(nullptr);
  auto& places = json["places"] = Json::array();
  for (const auto& place : stream.places) {
    places.push_back({{"target", place.target}, {"since_ms", Since(summary, place.since)}});
  }
  return json;
}

auto AddListed(Json& json, const Summary& summary) -> void {
  if (summary.listed.empty()) return;
  auto& list = json["stream_list"] = Json::array();
  for (const auto* stream : summary.listed) list.push_back(ToJson(summary, *stream));
}

auto Write(const Summary& summary) -> Json {
  auto json = Json::object();
  json["passed"] = Passed(summary);
  AddRequests(json, *summary.tally);
  AddStreams(json, summary);
  json["flows"] = summary.flows;
  json["flows_moved"] = summary.flows_moved;
  AddListed(json, summary);
  return json;
}

}  // namespace

auto AddStream(Summary& summary, const Stream& stream, base::Duration gap_limit,
               base::TimePoint now) -> void {
  ++summary.streams;
  if (IsAlive(stream, gap_limit, now)) ++summary.streams_alive;
  if (stream.fault != StreamFault::kNone) ++summary.streams_broken;
  if (stream.fault == StreamFault::kCancelled) ++summary.streams_cancelled;
  summary.notifications += stream.notifications;
  summary.stale_notifications += stream.stale;
  summary.longest_gap_ms = std::max(summary.longest_gap_ms, Milliseconds(stream.longest_gap));
}

auto Passed(const Summary& summary) -> bool {
  const auto& tally = *summary.tally;
  auto in_vain = tally.sent > 0 && tally.answered == 0;
  return tally.wrong_answers == 0 && tally.double_executions == 0 && tally.broken_reports == 0 &&
         summary.streams_broken == 0 && !in_vain;
}

auto ToJson(const Summary& summary) -> std::string { return Write(summary).dump(); }

auto ToText(const Summary& summary) -> std::string { return Write(summary).dump(kIndent); }

}  // namespace anvildrum::load
