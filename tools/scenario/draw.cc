#include "scenario/draw.h"

#include <algorithm>
#include <array>
#include <ostream>
#include <random>

#include "scenario/run.h"

namespace anvildrum::scenario {
namespace {

constexpr auto kSetUp = std::array<std::string_view, 8>{
    "service desk 10.0.0.1:5683",
    "service mapper 10.0.0.2:5683",
    "balancers b1 b2 b3 in boston-1 boston-2 boston-3",
    "targets desk desk-1..desk-4 slots 2 service-time 20ms domains boston-1 boston-2 boston-3",
    "targets desk desk-5 slots 2 service-time 20ms domains boston-2 stopped",
    "targets mapper mapper-1..mapper-2 slots 2 service-time 20ms domains boston-1 boston-2",
    "clients c1..c12 of desk",
    "clients m1..m4 of mapper"};
constexpr auto kStatements = 14;
constexpr auto kFirstMs = 3000;
constexpr auto kLastMs = 40'000;
constexpr auto kSeedMix = 0x9e3779b97f4a7c15ULL;

struct Drawer {
  std::mt19937_64 random;

  auto Below(std::uint64_t most) -> std::uint64_t { return this->random() % most; }
  template <typename Choices>
  auto Of(const Choices& choices) -> std::string {
    return std::string(choices[this->Below(choices.size())]);
  }
};

using Choices = std::vector<std::string>;

auto DrawClient(Drawer& drawer) -> std::string {
  if (drawer.Below(5) == 0) return "m" + std::to_string(1 + drawer.Below(4));
  return "c" + std::to_string(1 + drawer.Below(12));
}

auto DrawTraffic(Drawer& drawer) -> std::string {
  static const auto kinds = Choices{" open", " post hold", " get", " post hold every 700ms for 8s",
                                    " get every 500ms for 8s"};
  return DrawClient(drawer) + drawer.Of(kinds);
}

// b3 stays, so that there is always a balancer; desk-1 and mapper-1 stay, so that there is a
// target.
auto DrawPlanned(Drawer& drawer) -> std::string {
  static const auto kinds =
      Choices{"stop b1",
              "stop b2",
              "start b1",
              "start b2",
              "drain desk-2",
              "drain desk-3",
              "drain mapper-2",
              "start desk-5",
              "start desk-2",
              R"(patch [{"op":"add","path":"/services/desk/weights/desk-2","value":2}])",
              R"(patch [{"op":"add","path":"/services/desk/weights/desk-4","value":0.5}])"};
  return drawer.Of(kinds);
}

auto DrawFault(Drawer& drawer) -> std::string {
  static const auto places = Choices{"b1",     "b2",       "desk-1",       "desk-2",       "desk-3",
                                     "desk-4", "mapper-1", "agent-desk-4", "target-desk-4"};
  static const auto ends = Choices{"b1", "b2", "b3", "desk-1", "desk-2", "desk-4", "platform"};
  static const auto durations = Choices{"300ms", "500ms", "1s", "3s", "12s"};
  static const auto others =
      Choices{"platform down", "platform up",  "heal all",           "duplicate 30%",
              "loss 5%",       "reorder 40ms", "platform loses 50%", "late 5%"};
  switch (drawer.Below(5)) {
    case 0:
      return "kill " + drawer.Of(places);
    case 1:
      return "start " + drawer.Of(places);
    case 2:
      return "freeze " + drawer.Of(places) + " for " + drawer.Of(durations);
    case 3:
      return "cut " + drawer.Of(ends) + " " + drawer.Of(ends);
    default:
      return drawer.Of(others);
  }
}

auto At(std::uint64_t milliseconds, const std::string& statement) -> std::string {
  return "at " + std::to_string(milliseconds) + "ms " + statement;
}

// Everything is mended, and what was stopped runs again.
auto AppendEnd(std::vector<std::string>& script, bool planned) -> void {
  for (const auto* statement : {"heal all", "platform up", "platform loses 0%", "loss 0%",
                                "duplicate 0%", "late 0%", "reorder 0ms", "start b1", "start b2"}) {
    script.push_back(At(kLastMs + 13'000, statement));
  }
  script.push_back(At(kLastMs + 40'000, "expect owners-per-flow <= 1"));
  script.emplace_back("expect crossings 0");
  if (planned) script.emplace_back("expect broken 0");
  script.push_back(At(kLastMs + 120'000, "expect outcomes pending 0"));
  if (planned) script.emplace_back("expect outcomes timeout 0");
}

auto Join(const std::vector<std::string>& script) -> std::string {
  auto text = std::string{};
  for (const auto& line : script) text += line + "\n";
  return text;
}

// Why the script fails; empty: it does not.
auto WhyFails(const std::vector<std::string>& script, std::uint64_t seed)
    -> std::vector<std::string> {
  auto failures = std::vector<std::string>{};
  auto error = base::ErrorOf<ScriptError>([&]() -> base::Result<void> {
    BOOST_LEAF_AUTO(lines, ParseScript(Join(script)));
    BOOST_LEAF_AUTO(report, RunScript(lines, seed, nullptr));
    failures = report.failures;
    return {};
  });
  if (error) failures.push_back("not understood: " + error->text);
  return failures;
}

auto IsFixed(const std::string& line) -> bool {
  auto set_up = std::find(kSetUp.begin(), kSetUp.end(), line) != kSetUp.end();
  return set_up || line.find("expect") != std::string::npos;
}

auto Shorten(std::vector<std::string> script, std::uint64_t seed) -> std::vector<std::string> {
  auto again = true;
  while (again) {
    again = false;
    for (auto i = script.size(); i-- > 0;) {
      if (IsFixed(script[i])) continue;
      auto shorter = script;
      shorter.erase(shorter.begin() + static_cast<std::ptrdiff_t>(i));
      if (WhyFails(shorter, seed).empty()) continue;
      script = std::move(shorter);
      again = true;
    }
  }
  return script;
}

}  // namespace

auto DrawScript(std::uint64_t seed) -> std::vector<std::string> {
  auto drawer = Drawer{std::mt19937_64(seed * kSeedMix)};
  auto planned = seed % 2 == 0;
  auto script = std::vector<std::string>(kSetUp.begin(), kSetUp.end());
  script.push_back(At(kFirstMs, "c1..c8 open"));
  script.push_back(At(kFirstMs, "m1..m2 open"));
  auto times = std::vector<std::uint64_t>{};
  for (auto i = 0; i < kStatements; ++i) {
    times.push_back(kFirstMs + 2000 + drawer.Below(kLastMs - kFirstMs - 2000));
  }
  std::sort(times.begin(), times.end());
  for (auto time : times) {
    // Some things happen at the same moment as what came before.
    auto kind = drawer.Below(3);
    auto statement = kind == 0 ? DrawTraffic(drawer) : DrawPlanned(drawer);
    if (kind == 2 && !planned) statement = DrawFault(drawer);
    script.push_back(At(time, statement));
  }
  AppendEnd(script, planned);
  return script;
}

auto RunDrawn(std::uint64_t first_seed, std::uint64_t count, std::ostream& out) -> std::uint64_t {
  auto failed = std::uint64_t{0};
  for (auto seed = first_seed; seed < first_seed + count; ++seed) {
    auto script = DrawScript(seed);
    if (WhyFails(script, seed).empty()) continue;
    ++failed;
    auto shortest = Shorten(script, seed);
    out << "# seed " << seed << " fails; the shortest script that does, with --seed " << seed
        << ":\n";
    for (const auto& why : WhyFails(shortest, seed)) out << "#   " << why << '\n';
    out << Join(shortest) << std::flush;
  }
  out << count - failed << " of " << count << " drawn scripts hold\n";
  return failed;
}

}  // namespace anvildrum::scenario
