#include "scenario/run.h"

#include <algorithm>

#include "config/configuration.h"
#include "config/patch.h"
#include "membership/codec.h"
#include "relay/store.h"
#include "scenario/nodes.h"
#include "scenario/statement.h"

namespace anvildrum::scenario {
namespace {

constexpr auto kOperator = "operator";
constexpr auto kFabric = "fabric";

auto FirstDocument(const World& world) -> std::string {
  auto configuration = config::Configuration{};
  configuration.number = 1;
  for (const auto& [name, address] : world.services) {
    auto service = config::Service{};
    service.name = name;
    service.id = base::ServiceIdOf(name);
    service.addresses = {address};
    configuration.services.push_back(service);
  }
  return config::Serialize(configuration);
}

auto Prepare(Run& run) -> void {
  run.world.processes["platform"].name = "platform";
  run.world.processes["platform"].domain = "platform";
  StartProcess(run.world.processes["platform"]);
  run.world.processes[kFabric].name = kFabric;
  run.world.processes[kFabric].domain = kFabric;
  StartProcess(run.world.processes[kFabric]);
  run.world.processes[kOperator].name = kOperator;
  run.world.processes[kOperator].domain = kOperator;
  StartProcess(run.world.processes[kOperator]);
}

auto Fail(const Line& line) { return boost::leaf::new_error(ScriptError{line.number, line.text}); }

auto Perform(Run& run, const Line& line) -> bool {
  if (line.words.front().text == "expect") return Expect(run, line);
  return Act(run, line);
}

auto KnownTargets(const platform::Listing& listing) -> std::vector<config::KnownTarget> {
  auto targets = std::vector<config::KnownTarget>{};
  for (const auto& item : listing.items) {
    if (!item.key.starts_with(membership::kTargetPrefix)) continue;
    auto record = membership::ParseTargetRecord(item.key, item.revision, item.value);
    if (record) targets.push_back({record->service_name, record->name, record->draining});
  }
  return targets;
}

auto WritePatch(Run& run, const config::PatchRequest& request, const platform::Listing& listing)
    -> void {
  auto is_config = [](const auto& item) { return item.key == relay::kConfigKey; };
  auto current = std::find_if(listing.items.begin(), listing.items.end(), is_config);
  if (current == listing.items.end()) return;
  auto targets = KnownTargets(listing);
  auto numbered = request;
  auto configuration = config::ParseConfiguration(current->value);
  numbered.base = configuration ? configuration->number : 0;
  auto accepted = config::ApplyPatch(current->value, numbered, targets);
  if (!accepted) {
    ++run.patch_outcomes["refused"];
    return Trace(run.world, "patch " + request.id + " refused");
  }
  auto done = [&run, request](const platform::Outcome<std::uint64_t>& outcome) {
    auto took = std::holds_alternative<std::uint64_t>(outcome);
    ++run.patch_outcomes[took ? "accepted" : "lost"];
    Trace(run.world, "patch " + request.id + (took ? " accepted" : " lost"));
  };
  Put(run.world, kOperator, std::string(relay::kConfigKey), accepted->document,
      platform::IfMatch{current->revision}, done);
}

}  // namespace

auto InOrder(const std::vector<Line>& lines) -> std::vector<Line> {
  auto ordered = std::vector<Line>{};
  auto at = base::Duration{};
  for (const auto& line : lines) {
    if (line.words.empty() || IsSetUp(line.words.front().text)) continue;
    ordered.push_back(line);
    at = line.at.value_or(at);
    ordered.back().at = at;
  }
  std::stable_sort(ordered.begin(), ordered.end(),
                   [](const Line& left, const Line& right) { return *left.at < *right.at; });
  return ordered;
}

auto SubmitPatch(Run& run, const std::string& patch) -> void {
  auto request = config::PatchRequest{};
  request.id = "patch-" + std::to_string(++run.patches);
  request.author = kOperator;
  request.submitted_at = "2026-01-01T00:00:00Z";
  request.patch = patch;
  List(run.world, kOperator, "", [&run, request](const auto& outcome) {
    const auto* listing = std::get_if<platform::Listing>(&outcome);
    if (listing != nullptr) return WritePatch(run, request, *listing);
    ++run.patch_outcomes["unreachable"];
  });
}

auto RunScript(const std::vector<Line>& lines, std::uint64_t seed, std::ostream* trace)
    -> base::Result<Report> {
  auto run = std::make_unique<Run>();
  run->world.random.seed(seed);
  run->world.trace = trace;
  Prepare(*run);
  for (const auto& line : lines) {
    if (line.words.empty() || !IsSetUp(line.words.front().text)) continue;
    if (!SetUp(*run, line)) return Fail(line);
  }
  platform_standin::Put(run->world.platform.store, relay::kConfigKey, FirstDocument(run->world),
                        platform_standin::IfAbsent{});
  StartFabric(run->world);
  for (const auto& line : InOrder(lines)) {
    RunUntil(run->world.clock, kStart + *line.at);
    Trace(run->world, "-- " + line.text);
    if (!Perform(*run, line)) return Fail(line);
  }
  CheckAlways(*run);
  return run->report;
}

}  // namespace anvildrum::scenario
