#include <algorithm>
#include <functional>
#include <sstream>

#include "requests/types/parameters.h"
#include "scenario/nodes.h"
#include "scenario/statement.h"

// Statements that look at the world.
namespace anvildrum::scenario {
namespace {

auto Check(Run& run, const Line& line, bool holds, const std::string& seen) -> void {
  ++run.report.expectations;
  if (holds) return;
  run.report.failures.push_back("line " + std::to_string(line.number) + ": " + line.text +
                                "  (seen: " + seen + ")");
  Trace(run.world, "FAILED " + run.report.failures.back());
}

auto CheckCount(Run& run, Words& words, std::uint64_t seen, const std::string& detail = {})
    -> void {
  auto most = Takes(words, "<=");
  auto least = !most && Takes(words, ">=");
  auto wanted = static_cast<std::uint64_t>(TakeNumber(words));
  auto holds = seen == wanted;
  if (most) holds = seen <= wanted;
  if (least) holds = seen >= wanted;
  Check(run, words.line, holds, std::to_string(seen) + detail);
}

auto TargetOf(const Client& client) -> std::string {
  if (!client.stream) return {};
  return client.stream->target.substr(0, client.stream->target.find('/'));
}

// Streams whose target is named, or is not named.
auto ExpectBroken(Run& run, Words& words) -> void {
  auto start = words.next;
  auto wanted = TakeNumber(words);
  auto except = Takes(words, "except") ? TakeNames(words) : std::vector<std::string>{};
  auto broken = std::uint64_t{0};
  auto detail = std::ostringstream{};
  for (const auto& [name, client] : run.world.clients) {
    auto why = WhyBroken(run.world, client);
    auto where = WhereBroken(run.world, client);
    auto excused = std::find(except.begin(), except.end(), where) != except.end();
    if (why.empty() || excused) continue;
    if (++broken <= 5) detail << "; " << name << " at " << where << " " << why;
  }
  words.next = start + (words.line.words.size() - start);
  Check(run, words.line, broken == static_cast<std::uint64_t>(wanted),
        std::to_string(broken) + detail.str());
}

auto ExpectStreams(Run& run, Words& words) -> void {
  auto alive = std::uint64_t{0};
  auto missing = std::string{};
  for (const auto& [name, client] : run.world.clients) {
    auto established = client.stream && client.stream->notifications > 0;
    if (established && WhyBroken(run.world, client).empty()) {
      ++alive;
    } else {
      missing += " " + name;
    }
  }
  CheckCount(run, words, alive, missing.empty() ? "" : "; not" + missing);
}

// Streams of a target that ended without a word to their clients.
auto ExpectUntold(Run& run, Words& words) -> void {
  auto names = std::vector<std::string>{TakeName(words)};
  auto untold = std::uint64_t{0};
  for (const auto& [name, client] : run.world.clients) {
    if (TargetOf(client) != names[0]) continue;
    untold += client.stream->broken.starts_with("told") ? 0 : 1;
  }
  CheckCount(run, words, untold);
}

// Notifications of a target that a stream had left for another one a second before.
auto ExpectTwoSources(Run& run, Words& words) -> void {
  auto seen = std::uint64_t{0};
  auto detail = std::string{};
  for (const auto& [name, client] : run.world.clients) {
    if (!client.stream || client.stream->two_sources == 0) continue;
    seen += client.stream->two_sources;
    detail += " " + name;
  }
  CheckCount(run, words, seen, detail);
}

// Streams that have gone on at another target.
auto ExpectMoved(Run& run, Words& words) -> void {
  auto moved = std::uint64_t{0};
  for (const auto& [name, client] : run.world.clients) {
    moved += client.stream && client.stream->moved != base::TimePoint{} ? 1 : 0;
  }
  CheckCount(run, words, moved);
}

auto ExpectLongestGap(Run& run, Words& words) -> void {
  auto limit = TakeDuration(words);
  auto longest = base::Duration{};
  for (const auto& [name, client] : run.world.clients) {
    if (client.stream) longest = std::max(longest, client.stream->longest_gap);
  }
  auto seen = std::chrono::duration_cast<base::milliseconds>(longest).count();
  Check(run, words.line, longest <= limit, std::to_string(seen) + " ms");
}

auto ExpectExecutions(Run& run, Words& words) -> void {
  auto id = TakeName(words);
  auto order = run.world.orders.find(id);
  CheckCount(run, words, order == run.world.orders.end() ? 0 : order->second.executions);
}

auto ExpectOutcome(Run& run, Words& words) -> void {
  auto id = TakeName(words);
  auto wanted = "|" + TakeName(words) + "|";
  auto order = run.world.orders.find(id);
  auto seen = order == run.world.orders.end() ? std::string("none") : NameOf(order->second.outcome);
  Check(run, words.line, wanted.find("|" + seen + "|") != std::string::npos, seen);
}

auto ExpectOutcomes(Run& run, Words& words) -> void {
  auto wanted = TakeName(words);
  auto count = std::uint64_t{0};
  for (const auto& [id, order] : run.world.orders) count += NameOf(order.outcome) == wanted ? 1 : 0;
  CheckCount(run, words, count);
}

// Requests that took longer than this until their client was told.
auto ExpectSlower(Run& run, Words& words) -> void {
  auto limit = TakeDuration(words);
  auto slow = std::uint64_t{0};
  auto detail = std::string{};
  for (const auto& [id, order] : run.world.orders) {
    auto told = order.outcome == Outcome::kPending ? run.world.clock.now : order.told;
    if (told - order.sent <= limit) continue;
    if (++slow <= 3) detail += " " + id;
  }
  CheckCount(run, words, slow, detail);
}

auto OwnersOf(const World& world, const base::FlowKey& flow) -> std::vector<std::string> {
  auto owners = std::vector<std::string>{};
  for (const auto& [name, node] : world.agents) {
    if (!node->agent || !world.processes.at(node->process).up) continue;
    auto owned = node->agent->directory.owned.find(flow);
    if (owned != node->agent->directory.owned.end() && !owned->second.closing) {
      owners.push_back(name);
    }
  }
  return owners;
}

auto ExpectOwners(Run& run, Words& words) -> void {
  auto most = std::size_t{0};
  auto detail = std::string{};
  for (const auto& [name, client] : run.world.clients) {
    auto owners = OwnersOf(run.world, {client.endpoint, base::ServiceIdOf(client.service)});
    most = std::max(most, owners.size());
    if (owners.size() > 1) detail += "; " + name + " at " + owners[0] + " and " + owners[1];
  }
  CheckCount(run, words, most, detail);
}

auto ExpectCrossings(Run& run, Words& words) -> void {
  CheckCount(run, words, run.world.violations.crossings);
}

auto ExpectConfig(Run& run, Words& words) -> void {
  auto wanted = static_cast<std::uint64_t>(TakeNumber(words));
  if (!Takes(words, "everywhere")) words.wrong = true;
  auto others = std::string{};
  for (const auto& [name, node] : run.world.balancers) {
    if (!run.world.processes.at(name).up || node->balancer.config_number == wanted) continue;
    others += " " + name + "=" + std::to_string(node->balancer.config_number);
  }
  for (const auto& [name, node] : run.world.agents) {
    if (!run.world.processes.at(node->process).up) continue;
    auto number = node->agent ? node->agent->config_number : 0;
    if (number != wanted) others += " " + name + "=" + std::to_string(number);
  }
  Check(run, words.line, others.empty(), others);
}

auto ExpectPatches(Run& run, Words& words) -> void {
  auto kind = TakeName(words);
  CheckCount(run, words, run.patch_outcomes[kind]);
}

auto ExpectImbalance(Run& run, Words& words) -> void {
  auto service = TakeName(words);
  if (!Takes(words, "<=")) words.wrong = true;
  auto most = TakeNumber(words);
  auto sum = 0.0;
  auto largest = 0.0;
  auto targets = 0.0;
  for (const auto& [name, node] : run.world.agents) {
    auto up = run.world.processes.at(node->process).up && node->agent && !node->stopping;
    if (!up || node->record.service_name != service) continue;
    auto flows = static_cast<double>(node->agent->directory.owned.size());
    sum += flows;
    largest = std::max(largest, flows);
    ++targets;
  }
  auto ratio = sum > 0 ? largest / (sum / targets) : 0;
  Check(run, words.line, sum > 0 && ratio <= most, std::to_string(ratio));
}

// Flows that a target opened in the last so many seconds.
auto ExpectNewFlows(Run& run, Words& words) -> void {
  auto name = TakeName(words);
  auto wanted = static_cast<std::uint64_t>(TakeNumber(words));
  if (!Takes(words, "since")) words.wrong = true;
  auto since = kStart + TakeDuration(words);
  auto found = run.world.agents.find(name);
  if (found == run.world.agents.end()) {
    words.wrong = true;
    return;
  }
  auto opened = std::uint64_t{0};
  if (found->second->agent) {
    for (const auto& [flow, owned] : found->second->agent->directory.owned) {
      opened += owned.opened >= since ? 1 : 0;
    }
  }
  Check(run, words.line, opened == wanted, std::to_string(opened));
}

auto ExpectFlows(Run& run, Words& words) -> void {
  auto name = TakeName(words);
  auto found = run.world.agents.find(name);
  auto flows = std::uint64_t{0};
  if (found != run.world.agents.end() && found->second->agent) {
    flows = found->second->agent->directory.owned.size();
  }
  CheckCount(run, words, flows);
}

auto ExpectPlatformCalls(Run& run, Words& words) -> void {
  if (!Takes(words, "<=")) words.wrong = true;
  auto most = static_cast<std::uint64_t>(TakeNumber(words));
  if (!Takes(words, "per") || !Takes(words, "second")) words.wrong = true;
  auto since = Takes(words, "since") ? TakeDuration(words) : base::Duration{};
  auto first = std::chrono::duration_cast<base::seconds>(since).count();
  auto largest = std::uint64_t{0};
  for (const auto& [second, calls] : run.world.platform.calls) {
    if (second >= first) largest = std::max(largest, calls);
  }
  Check(run, words.line, largest <= most, std::to_string(largest));
}

auto ExpectRecord(Run& run, Words& words) -> void {
  auto key = TakeName(words);
  auto present = !ValueOf(run.world.platform, key).empty();
  auto wanted = Takes(words, "present");
  if (!wanted && !Takes(words, "absent")) words.wrong = true;
  Check(run, words.line, present == wanted, present ? "present" : "absent");
}

auto ExpectRunning(Run& run, Words& words, bool wanted) -> void {
  auto name = TakeName(words);
  auto process = run.world.agents.contains(name) ? "agent-" + name : name;
  auto found = run.world.processes.find(process);
  if (found == run.world.processes.end()) {
    words.wrong = true;
    return;
  }
  Check(run, words.line, found->second.up == wanted, found->second.up ? "up" : "ended");
}

using Verb = void (*)(Run&, Words&);
const auto kExpectations = std::map<std::string, Verb>{
    {"broken", ExpectBroken},
    {"streams", ExpectStreams},
    {"slower-than", ExpectSlower},
    {"untold", ExpectUntold},
    {"two-sources", ExpectTwoSources},
    {"moved", ExpectMoved},
    {"longest-gap", ExpectLongestGap},
    {"executions", ExpectExecutions},
    {"outcome", ExpectOutcome},
    {"outcomes", ExpectOutcomes},
    {"owners-per-flow", ExpectOwners},
    {"crossings", ExpectCrossings},
    {"config", ExpectConfig},
    {"patches", ExpectPatches},
    {"imbalance", ExpectImbalance},
    {"new-flows", ExpectNewFlows},
    {"flows", ExpectFlows},
    {"platform-calls", ExpectPlatformCalls},
    {"record", ExpectRecord},
    {"ended", [](Run& run, Words& words) { ExpectRunning(run, words, false); }},
    {"running", [](Run& run, Words& words) { ExpectRunning(run, words, true); }}};

}  // namespace

auto Expect(Run& run, const Line& line) -> bool {
  auto words = Words{line, 1};
  auto known = kExpectations.find(TakeName(words));
  if (known == kExpectations.end()) return false;
  known->second(run, words);
  return !words.wrong && IsAtEnd(words);
}

auto CheckAlways(Run& run) -> void {
  auto& failures = run.report.failures;
  for (const auto& note : run.world.violations.notes) failures.push_back("always: " + note);
  for (const auto& [id, order] : run.world.orders) {
    ++run.report.requests;
    auto twice = order.method == kPost && order.executions > 1;
    if (twice) failures.push_back("always: " + id + " ran " + std::to_string(order.executions));
    auto lie = order.outcome == Outcome::kNotRun && order.executions > 0;
    if (lie) failures.push_back("always: " + id + " was told not-run and ran");
    auto void_answer = order.outcome == Outcome::kAnswered && order.executions == 0;
    if (void_answer) failures.push_back("always: " + id + " was answered and did not run");
    auto late = order.outcome == Outcome::kPending &&
                run.world.clock.now - order.sent > requests::kMaxTransmitWait;
    if (late && order.id.find(".feed.") == std::string::npos) {
      failures.push_back("always: " + id + " has no outcome");
    }
  }
  for (const auto& [name, client] : run.world.clients) {
    run.report.streams += client.stream && client.stream->notifications > 0 ? 1 : 0;
  }
}

}  // namespace anvildrum::scenario
