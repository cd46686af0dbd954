#include "scenario/statement.h"

#include <algorithm>
#include <array>

#include "scenario/nodes.h"

namespace anvildrum::scenario {
namespace {

constexpr auto kKeywords = std::array<std::string_view, 13>{
    "in",  "of", "slots", "service-time", "notify", "domains", "stopped",
    "for", "id", "since", "except",       "ahead",  "back"};

auto IsKeyword(const std::string& text) -> bool {
  return std::find(kKeywords.begin(), kKeywords.end(), text) != kKeywords.end();
}

auto NextWord(Words& words) -> const Word* {
  if (IsAtEnd(words)) {
    words.wrong = true;
    return nullptr;
  }
  return &words.line.words[words.next++];
}

auto AddProcess(World& world, const std::string& name, const std::string& domain) -> void {
  world.processes[name].name = name;
  world.processes[name].domain = domain;
}

constexpr auto kTunnelPort = std::uint16_t{7000};
constexpr auto kControlPort = std::uint16_t{7001};
constexpr auto kBalancerNet = 0x0a010000U;
constexpr auto kAgentNet = 0x0a020000U;
constexpr auto kClientNet = 0x0a090000U;
constexpr auto kClientPort = std::uint16_t{40000};

auto SetUpBalancers(Run& run, Words& words) -> void {
  auto names = TakeNames(words);
  if (!Takes(words, "in")) words.wrong = true;
  auto domains = TakeNames(words);
  auto stopped = Takes(words, "stopped");
  if (domains.empty()) words.wrong = true;
  for (auto i = std::size_t{0}; i < names.size() && !words.wrong; ++i) {
    auto address = kBalancerNet + static_cast<std::uint32_t>(run.world.balancers.size()) + 1;
    auto node = std::make_unique<BalancerNode>();
    node->name = names[i];
    node->record.name = names[i];
    node->record.instance = base::InstanceIdOf(names[i]);
    node->record.tunnel = base::EndpointFromV4(address, kTunnelPort);
    node->record.control = base::EndpointFromV4(address, kControlPort);
    node->record.failure_domain = domains[i % domains.size()];
    AddProcess(run.world, names[i], node->record.failure_domain);
    run.world.balancers[names[i]] = std::move(node);
    if (stopped) continue;
    After(run.world.clock, {}, [&run, name = names[i]] { StartBalancer(run.world, name); });
  }
}

auto AddTarget(Run& run, const TargetNode& model) -> void {
  auto& world = run.world;
  auto address = kAgentNet + static_cast<std::uint32_t>(world.agents.size()) + 1;
  auto agent = std::make_unique<AgentNode>();
  agent->name = model.name;
  agent->process = "agent-" + model.name;
  auto& record = agent->record;
  record.name = model.name;
  record.id = base::TargetIdOf(model.name);
  record.service_name = model.service;
  record.service = base::ServiceIdOf(model.service);
  record.instance = base::InstanceIdOf(agent->process);
  record.tunnel = base::EndpointFromV4(address, kTunnelPort);
  record.failure_domain = model.domain;
  record.slots = model.slots;
  record.connections = 2000;
  AddProcess(world, agent->process, model.domain);
  AddProcess(world, model.process, model.domain);
  world.agents[model.name] = std::move(agent);
  world.targets[model.name] = std::make_unique<TargetNode>(model);
}

auto SetUpTargets(Run& run, Words& words) -> void {
  auto model = TargetNode{};
  model.world = &run.world;
  model.service = TakeName(words);
  auto names = TakeNames(words);
  if (Takes(words, "slots")) model.slots = static_cast<std::uint32_t>(TakeNumber(words));
  if (Takes(words, "service-time")) model.service_time = TakeDuration(words);
  if (Takes(words, "notify")) model.notify = TakeDuration(words);
  if (!Takes(words, "domains")) words.wrong = true;
  auto domains = TakeNames(words);
  auto stopped = Takes(words, "stopped");
  if (domains.empty()) words.wrong = true;
  for (auto i = std::size_t{0}; i < names.size() && !words.wrong; ++i) {
    model.name = names[i];
    model.process = "target-" + names[i];
    model.domain = domains[i % domains.size()];
    AddTarget(run, model);
    if (stopped) continue;
    After(run.world.clock, {}, [&run, name = names[i]] {
      StartTarget(run.world, name);
      StartAgent(run.world, name);
    });
  }
}

auto SetUpClients(Run& run, Words& words) -> void {
  auto names = TakeNames(words);
  if (!Takes(words, "of")) words.wrong = true;
  auto service = TakeName(words);
  auto answers_any_challenge = Takes(words, "answering-any-challenge");
  auto address = run.world.services.find(service);
  if (address == run.world.services.end()) words.wrong = true;
  for (const auto& name : names) {
    if (words.wrong) return;
    auto number = static_cast<std::uint32_t>(run.world.clients.size()) + 1;
    auto& client = run.world.clients[name];
    client.name = name;
    client.service = service;
    client.endpoint = base::EndpointFromV4(kClientNet + number, kClientPort);
    client.address = address->second;
    client.answers_any_challenge = answers_any_challenge;
    run.world.client_at[client.endpoint] = name;
  }
}

auto SetUpService(Run& run, Words& words) -> void {
  auto name = TakeName(words);
  auto address = base::ParseEndpoint(TakeName(words));
  if (!address) {
    words.wrong = true;
    return;
  }
  run.world.services[name] = *address;
}

// How tests/process plays the file; nothing here but its form matters to the cores.
auto ReadProcesses(Words& words) -> void {
  if (Takes(words, "wait-at-most")) {
    TakeDuration(words);
  } else if (!Takes(words, "leave-out") || TakeNames(words).empty()) {
    words.wrong = true;
  }
}

}  // namespace

auto IsAtEnd(const Words& words) -> bool { return words.next >= words.line.words.size(); }

auto Takes(Words& words, std::string_view text) -> bool {
  if (IsAtEnd(words) || words.line.words[words.next].text != text) return false;
  ++words.next;
  return true;
}

auto TakeName(Words& words) -> std::string {
  const auto* word = NextWord(words);
  if (word == nullptr) return {};
  if (word->text.empty()) words.wrong = true;
  return word->text;
}

auto TakeNumber(Words& words) -> double {
  const auto* word = NextWord(words);
  if (word == nullptr) return 0;
  if (!word->number) words.wrong = true;
  return word->number.value_or(0);
}

auto TakeDuration(Words& words) -> base::Duration {
  const auto* word = NextWord(words);
  if (word == nullptr) return {};
  if (!word->duration) words.wrong = true;
  return word->duration.value_or(base::Duration{});
}

auto TakeNames(Words& words) -> std::vector<std::string> {
  auto names = std::vector<std::string>{};
  while (!IsAtEnd(words)) {
    const auto& text = words.line.words[words.next].text;
    if (text.empty() || IsKeyword(text)) break;
    names.push_back(text);
    ++words.next;
  }
  return names;
}

auto IsSetUp(const std::string& verb) -> bool {
  return verb == "service" || verb == "balancers" || verb == "targets" || verb == "clients" ||
         verb == "processes";
}

auto SetUp(Run& run, const Line& line) -> bool {
  auto words = Words{line};
  auto verb = TakeName(words);
  if (verb == "service") SetUpService(run, words);
  if (verb == "balancers") SetUpBalancers(run, words);
  if (verb == "targets") SetUpTargets(run, words);
  if (verb == "clients") SetUpClients(run, words);
  if (verb == "processes") ReadProcesses(words);
  return !words.wrong && IsAtEnd(words);
}

}  // namespace anvildrum::scenario
