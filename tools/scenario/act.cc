#include <functional>
#include <map>

#include "scenario/nodes.h"
#include "scenario/statement.h"

// Statements that do something.
namespace anvildrum::scenario {
namespace {

// Processes that a name means: a balancer, a target with its agent, one of the two, a failure
// domain.
auto ProcessesOf(World& world, const std::string& name) -> std::vector<Process*> {
  auto found = std::vector<Process*>{};
  for (auto& [key, process] : world.processes) {
    auto beside = key == "agent-" + name || key == "target-" + name;
    if (key == name || beside || process.domain == name) found.push_back(&process);
  }
  return found;
}

auto ForProcesses(Run& run, Words& words, const std::function<void(Process&)>& action) -> void {
  for (const auto& name : TakeNames(words)) {
    auto processes = ProcessesOf(run.world, name);
    if (processes.empty()) words.wrong = true;
    for (auto* process : processes) action(*process);
  }
}

auto StartByName(World& world, const std::string& process) -> void {
  if (world.balancers.contains(process)) return StartBalancer(world, process);
  if (process.starts_with("agent-")) return StartAgent(world, process.substr(6));
  if (process.starts_with("target-")) return StartTarget(world, process.substr(7));
}

auto StopByName(World& world, const std::string& process) -> void {
  if (world.balancers.contains(process)) return StopBalancer(world, process);
  if (process.starts_with("agent-")) return DrainAgent(world, process.substr(6));
}

// A target, or its agent, that may be lost to its streams: they may go on at another one.
auto NoteLost(World& world, const Process& process) -> void {
  for (const auto* prefix : {"agent-", "target-"}) {
    if (process.name.starts_with(prefix)) {
      world.lost.insert(process.name.substr(std::string_view(prefix).size()));
    }
  }
}

auto DoKill(Run& run, Words& words) -> void {
  ForProcesses(run, words, [&](Process& process) {
    NoteLost(run.world, process);
    EndProcess(process);
  });
}

// The machine is given another job: its process starts as a target of another service, on the same
// port.
auto StartAs(Run& run, Words& words, const std::string& name) -> void {
  auto service = TakeName(words);
  auto agent = run.world.agents.find(name);
  if (agent == run.world.agents.end() || !run.world.services.contains(service)) {
    words.wrong = true;
    return;
  }
  agent->second->record.service_name = service;
  agent->second->record.service = base::ServiceIdOf(service);
  run.world.targets.at(name)->service = service;
  StartTarget(run.world, name);
  StartAgent(run.world, name);
}

auto DoStart(Run& run, Words& words) -> void {
  auto as = words.next + 1;
  if (as < words.line.words.size() && words.line.words[as].text == "as") {
    auto name = TakeName(words);
    ++words.next;
    return StartAs(run, words, name);
  }
  ForProcesses(run, words, [&](Process& process) { StartByName(run.world, process.name); });
}

// A target leaves when its agent is told to.
auto NoteLeaving(World& world, const std::string& process) -> void {
  constexpr auto prefix = std::string_view("agent-");
  auto name = process.starts_with(prefix) ? process.substr(prefix.size()) : process;
  world.leaving.insert(name);
}

auto DoStop(Run& run, Words& words) -> void {
  ForProcesses(run, words, [&](Process& process) {
    NoteLeaving(run.world, process.name);
    StopByName(run.world, process.name);
  });
}

auto DoFreeze(Run& run, Words& words) -> void {
  auto frozen = std::vector<Process*>{};
  ForProcesses(run, words, [&](Process& process) { frozen.push_back(&process); });
  if (!Takes(words, "for")) words.wrong = true;
  auto time = TakeDuration(words);
  for (auto* process : frozen) {
    NoteLost(run.world, *process);
    Freeze(*process);
    After(run.world.clock, time, [process, life = process->life] {
      if (process->life == life) Wake(*process);
    });
  }
}

// `clock desk-3 back 2h`: the wall clock of a machine jumps; what runs there is not told.
auto DoClock(Run& run, Words& words) -> void {
  auto processes = std::vector<std::string>{};
  ForProcesses(run, words, [&](Process& process) { processes.push_back(process.name); });
  auto ahead = Takes(words, "ahead");
  if (!ahead && !Takes(words, "back")) words.wrong = true;
  auto jump = TakeDuration(words);
  for (const auto& process : processes) run.world.wall_clocks[process] += ahead ? jump : -jump;
}

// A target is reached through its agent.
auto EndOf(Run& run, Words& words) -> std::string {
  auto name = TakeName(words);
  if (run.world.agents.contains(name)) return "agent-" + name;
  if (ProcessesOf(run.world, name).empty()) words.wrong = true;
  return name;
}

auto DoCut(Run& run, Words& words) -> void {
  auto from = EndOf(run, words);
  auto to = EndOf(run, words);
  run.world.cuts.insert({from, to});
}

auto DoHeal(Run& run, Words& words) -> void {
  if (Takes(words, "all")) return run.world.cuts.clear();
  auto from = EndOf(run, words);
  auto to = EndOf(run, words);
  run.world.cuts.erase({from, to});
  run.world.cuts.erase({to, from});
}

auto DoPlatform(Run& run, Words& words) -> void {
  if (Takes(words, "down")) return SetPlatformUp(run.world, false);
  if (Takes(words, "up")) return SetPlatformUp(run.world, true);
  if (Takes(words, "holds-deletes")) {
    run.world.platform.delete_delay = TakeDuration(words);
    return;
  }
  if (!Takes(words, "loses")) words.wrong = true;
  run.world.platform.lost_answers = TakeNumber(words);
}

auto DoPatch(Run& run, Words& words) -> void { SubmitPatch(run, TakeName(words)); }

auto DoReplay(Run& run, Words& words) -> void {
  auto id = TakeName(words);
  if (!run.world.orders.contains(id)) {
    words.wrong = true;
    return;
  }
  Replay(run.world, id);
}

// The fabric sends packets to this balancer, or not, until it looks again.
auto DoFaults(Run& run, Words& words, const std::string& verb) -> void {
  auto& faults = run.world.faults;
  if (verb == "loss") faults.loss = TakeNumber(words);
  if (verb == "duplicate") faults.duplicate = TakeNumber(words);
  if (verb == "late") faults.late = TakeNumber(words);
  if (verb == "reorder") faults.reorder = TakeDuration(words);
}

constexpr auto kFloodStep = base::milliseconds(1);

auto Flood(Run& run, const Client& model, std::uint32_t rate, base::TimePoint until) -> void {
  for (auto i = 0U; i < rate / 1000; ++i) {
    auto client = model;
    client.endpoint = base::EndpointFromV4(static_cast<std::uint32_t>(run.world.random()),
                                           static_cast<std::uint16_t>(run.world.random()));
    auto draft = Draft{};
    draft.code = kGet;
    draft.message_id = static_cast<std::uint16_t>(run.world.random());
    draft.path = "route";
    draft.query = "id=flood&to=" + client.service;
    FromClient(run.world, client, Write(draft));
  }
  if (run.world.clock.now >= until) return;
  After(run.world.clock, kFloodStep,
        [&run, model, rate, until] { Flood(run, model, rate, until); });
}

// `flood desk 20000 for 5s`: packets a second, each from a source of its own.
auto DoFlood(Run& run, Words& words) -> void {
  auto model = Client{};
  model.service = TakeName(words);
  auto rate = static_cast<std::uint32_t>(TakeNumber(words));
  if (!Takes(words, "for")) words.wrong = true;
  auto until = run.world.clock.now + TakeDuration(words);
  auto service = run.world.services.find(model.service);
  if (words.wrong || service == run.world.services.end()) {
    words.wrong = true;
    return;
  }
  model.address = service->second;
  Flood(run, model, rate, until);
}

auto MethodOf(const std::string& verb) -> std::uint8_t {
  if (verb == "post") return kPost;
  return verb == "put" ? kPut : kGet;
}

auto Repeat(Run& run, Client& client, std::uint8_t method, const std::string& path,
            base::Duration every, base::TimePoint until) -> void {
  PlaceOrder(run.world, client, method, path, {});
  if (run.world.clock.now + every > until) return;
  After(run.world.clock, every, [&run, &client, method, path, every, until] {
    Repeat(run, client, method, path, every, until);
  });
}

// `c1..c40 post hold every 200ms for 5s`: the first of each client at a moment of its own.
auto DoRepeated(Run& run, Words& words, const std::vector<std::string>& names, std::uint8_t method,
                const std::string& path) -> void {
  auto every = TakeDuration(words);
  if (!Takes(words, "for")) words.wrong = true;
  auto until = run.world.clock.now + TakeDuration(words);
  if (words.wrong || every <= base::Duration{}) return;
  for (const auto& name : names) {
    auto& client = run.world.clients.at(name);
    After(run.world.clock, Draw(run.world, every), [&run, &client, method, path, every, until] {
      Repeat(run, client, method, path, every, until);
    });
  }
}

auto DoRequest(Run& run, Words& words, const std::vector<std::string>& names,
               const std::string& verb) -> void {
  const auto* after = IsAtEnd(words) ? nullptr : &words.line.words[words.next].text;
  auto plain = after == nullptr || *after == "every" || *after == "id";
  auto path = plain ? std::string("route") : TakeName(words);
  if (Takes(words, "every")) return DoRepeated(run, words, names, MethodOf(verb), path);
  auto id = Takes(words, "id") ? TakeName(words) : std::string{};
  if (!id.empty() && names.size() > 1) words.wrong = true;
  if (words.wrong) return;
  for (const auto& name : names) {
    PlaceOrder(run.world, run.world.clients.at(name), MethodOf(verb), path, id);
  }
}

auto ClientsOf(const Run& run, Words& words) -> std::vector<std::string> {
  auto names = std::vector<std::string>{};
  while (!IsAtEnd(words) && run.world.clients.contains(words.line.words[words.next].text)) {
    names.push_back(words.line.words[words.next++].text);
  }
  return names;
}

auto ActOfClients(Run& run, Words& words) -> void {
  auto names = ClientsOf(run, words);
  auto verb = TakeName(words);
  if (verb == "get" || verb == "post" || verb == "put") return DoRequest(run, words, names, verb);
  if (verb != "open" && verb != "cancel") words.wrong = true;
  auto span = Takes(words, "over") ? TakeDuration(words) : base::Duration{};
  auto step = names.empty() ? span : span / static_cast<int>(names.size());
  auto delay = base::Duration{};
  for (const auto& name : names) {
    auto& client = run.world.clients.at(name);
    After(run.world.clock, delay, [&run, &client, opens = verb == "open"] {
      if (opens) return OpenStream(run.world, client);
      CancelStream(run.world, client);
    });
    delay += step;
  }
}

using Verb = void (*)(Run&, Words&);
const auto kVerbs = std::map<std::string, Verb>{
    {"kill", DoKill},     {"start", DoStart},   {"stop", DoStop},         {"drain", DoStop},
    {"cut", DoCut},       {"heal", DoHeal},     {"platform", DoPlatform}, {"patch", DoPatch},
    {"freeze", DoFreeze}, {"replay", DoReplay}, {"flood", DoFlood},       {"clock", DoClock}};

auto IsFault(const std::string& verb) -> bool {
  return verb == "loss" || verb == "duplicate" || verb == "late" || verb == "reorder";
}

}  // namespace

auto Act(Run& run, const Line& line) -> bool {
  if (line.words.empty()) return false;
  auto words = Words{line};
  const auto& verb = line.words.front().text;
  auto known = kVerbs.find(verb);
  if (run.world.clients.contains(verb)) {
    ActOfClients(run, words);
  } else if (known != kVerbs.end()) {
    ++words.next;
    known->second(run, words);
  } else if (IsFault(verb)) {
    ++words.next;
    DoFaults(run, words, verb);
  } else {
    return false;
  }
  return !words.wrong && IsAtEnd(words);
}

}  // namespace anvildrum::scenario
