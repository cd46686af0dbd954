#include "ctl/command_line.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <functional>
#include <map>

#include "ctl/exit_code.h"
#include "ctl/internal/append_endpoint.h"
#include "ctl/internal/help.h"

namespace anvildrum::ctl {
namespace {

using TCLAP::CmdLine;
using TCLAP::MultiArg;
using TCLAP::SwitchArg;
using TCLAP::UnlabeledValueArg;
using TCLAP::ValueArg;

constexpr auto kDefaultWait = 10U;
constexpr auto kMostWait = 3600U;

using Outcome = std::variant<Invocation, Stop>;

// Help and errors are returned rather than printed by the library.
class SilentOutput : public TCLAP::CmdLineOutput {
 public:
  auto usage(TCLAP::CmdLineInterface&) -> void override {}
  auto version(TCLAP::CmdLineInterface&) -> void override {}
  auto failure(TCLAP::CmdLineInterface&, TCLAP::ArgException&) -> void override {}
};

struct UsageError {
  std::string text;
};

auto Usage(const std::string& text) -> Stop {
  return Stop{kUsage, "anvilctl: " + text + "\nanvilctl --help lists the commands\n"};
}

auto TakeEndpoint(const std::string& text, std::vector<base::Endpoint>& out) -> void {
  if (!AppendEndpoint(text, out)) throw UsageError{"'" + text + "' is not IP:PORT"};
}

auto TakeEndpoints(std::string_view list, std::vector<base::Endpoint>& out) -> void {
  while (!list.empty()) {
    auto comma = std::min(list.find(','), list.size());
    TakeEndpoint(std::string(list.substr(0, comma)), out);
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
}

// Arguments that every command takes, and the library's parser for one of them.
class Parser {
 public:
  explicit Parser(const Environment& environment) : environment(environment) {
    this->line.setOutput(&this->output);
    this->line.setExceptionHandling(false);
  }

  auto Parse(const std::string& name, std::span<const std::string> arguments) -> Invocation {
    auto words = std::vector<std::string>{"anvilctl " + name};
    words.insert(words.end(), arguments.begin(), arguments.end());
    this->line.parse(words);
    auto invocation = Invocation{};
    for (const auto& text : this->platform) TakeEndpoint(text, invocation.platform);
    if (invocation.platform.empty()) TakeEndpoints(environment.platform, invocation.platform);
    for (const auto& text : this->operators) TakeEndpoint(text, invocation.operators);
    if (this->wait_limit.getValue() > kMostWait) throw UsageError{"--timeout is over an hour"};
    invocation.wait_limit = base::seconds(this->wait_limit.getValue());
    return invocation;
  }

  const Environment& environment;
  SilentOutput output;
  CmdLine line{"", ' ', "", true};

 private:
  MultiArg<std::string> platform{"p", "platform", "", false, "IP:PORT", this->line};
  MultiArg<std::string> operators{"o", "operator", "", false, "IP:PORT", this->line};
  ValueArg<unsigned> wait_limit{"t", "timeout", "", false, kDefaultWait, "SECONDS", this->line};
};

using Arguments = std::span<const std::string>;

auto ParseStatus(Parser& parser, Arguments arguments) -> Invocation {
  auto as_json = SwitchArg("j", "json", "", parser.line);
  auto invocation = parser.Parse("status", arguments);
  invocation.command = StatusCommand{as_json.getValue()};
  return invocation;
}

auto ParseGet(Parser& parser, Arguments arguments) -> Invocation {
  auto invocation = parser.Parse("get", arguments);
  invocation.command = GetCommand{};
  return invocation;
}

auto ParseHistory(Parser& parser, Arguments arguments) -> Invocation {
  auto invocation = parser.Parse("history", arguments);
  invocation.command = HistoryCommand{};
  return invocation;
}

auto ParseApply(Parser& parser, Arguments arguments) -> Invocation {
  auto base = ValueArg<std::uint64_t>("b", "base", "", true, 0, "NUMBER", parser.line);
  auto id = ValueArg<std::string>("i", "id", "", false, "", "ID", parser.line);
  auto author =
      ValueArg<std::string>("a", "author", "", false, parser.environment.user, "NAME", parser.line);
  auto dry_run = SwitchArg("n", "dry-run", "", parser.line);
  auto wait = SwitchArg("w", "wait", "", parser.line);
  auto file =
      UnlabeledValueArg<std::string>("patch", "the patch", true, "", "PATCH.json", parser.line);
  auto invocation = parser.Parse("apply", arguments);
  invocation.command = ApplyCommand{base.getValue(),   file.getValue(),    id.getValue(),
                                    author.getValue(), dry_run.getValue(), wait.getValue()};
  return invocation;
}

auto ParseDrain(Parser& parser, Arguments arguments) -> Invocation {
  auto target =
      UnlabeledValueArg<std::string>("target", "the target", true, "", "TARGET", parser.line);
  auto invocation = parser.Parse("drain", arguments);
  invocation.command = DrainCommand{target.getValue()};
  return invocation;
}

auto ParseCheck(Parser& parser, Arguments arguments) -> Invocation {
  auto file =
      UnlabeledValueArg<std::string>("settings", "the file", true, "", "SETTINGS", parser.line);
  auto invocation = parser.Parse("check", arguments);
  invocation.command = CheckCommand{file.getValue()};
  return invocation;
}

auto ParseVersions(Parser& parser, Arguments arguments) -> Invocation {
  auto most =
      ValueArg<std::size_t>("m", "most", "", false, VersionsCommand{}.most, "N", parser.line);
  auto file =
      UnlabeledValueArg<std::string>("balancers", "the file", true, "", "BALANCERS", parser.line);
  auto invocation = parser.Parse("versions", arguments);
  invocation.command = VersionsCommand{file.getValue(), most.getValue()};
  return invocation;
}

using ParseCommand = std::function<Invocation(Parser&, Arguments)>;

auto Commands() -> const std::map<std::string, ParseCommand, std::less<>>& {
  static const auto commands = std::map<std::string, ParseCommand, std::less<>>{
      {"status", ParseStatus},    {"get", ParseGet},     {"history", ParseHistory},
      {"apply", ParseApply},      {"drain", ParseDrain}, {"check", ParseCheck},
      {"versions", ParseVersions}};
  return commands;
}

auto NeedsPlatform(const Invocation& invocation) -> bool {
  if (std::holds_alternative<CheckCommand>(invocation.command)) return false;
  if (std::holds_alternative<VersionsCommand>(invocation.command)) return false;
  auto asks_instances = std::holds_alternative<StatusCommand>(invocation.command) ||
                        std::holds_alternative<DrainCommand>(invocation.command);
  return !asks_instances || invocation.operators.empty();
}

// Options may stand before the command, so that "anvilctl --platform IP:PORT" can be kept as a
// prefix. The first word that names a command is the command: what a prefix would hold, addresses
// and seconds, names none.
auto CommandFirst(std::span<const std::string> arguments) -> std::vector<std::string> {
  auto words = std::vector<std::string>(arguments.begin(), arguments.end());
  if (words.empty() || !words.front().starts_with('-')) return words;
  auto is_command = [](const std::string& word) { return Commands().contains(word); };
  auto command = std::ranges::find_if(words, is_command);
  if (command != words.end()) std::rotate(words.begin(), command, command + 1);
  return words;
}

// What stands where the command should: the first word that is neither an option nor its value.
auto NameNoCommand(std::span<const std::string> words) -> Stop {
  for (auto i = std::size_t{0}; i < words.size(); ++i) {
    if (!words[i].starts_with('-')) return Usage("no command '" + words[i] + "'");
    if (words[i].find('=') == std::string::npos) ++i;
  }
  return Usage("a command is missing");
}

auto Describe(const TCLAP::ArgException& exception) -> std::string {
  auto argument = exception.argId();
  auto named = argument.find_first_not_of(' ') != std::string::npos;
  return named ? argument + " " + exception.error() : exception.error();
}

auto IsHelp(std::string_view word) -> bool { return word == "--help" || word == "-h"; }

}  // namespace

auto ParseCommandLine(std::span<const std::string> arguments, const Environment& environment)
    -> Outcome {
  if (arguments.empty()) return Usage("a command is missing");
  for (const auto& argument : arguments) {
    if (IsHelp(argument)) return Stop{kDone, std::string(kHelp)};
    if (argument == "--version") return Stop{kDone, "anvilctl " ANVILDRUM_VERSION "\n"};
  }
  auto words = CommandFirst(arguments);
  auto command = Commands().find(words.front());
  if (command == Commands().end()) return NameNoCommand(words);
  try {
    auto parser = Parser(environment);
    auto invocation = command->second(parser, std::span<const std::string>(words).subspan(1));
    if (!NeedsPlatform(invocation) || !invocation.platform.empty()) return invocation;
    return Usage("--platform IP:PORT or ANVILCTL_PLATFORM is missing");
  } catch (TCLAP::ArgException& exception) {
    return Usage(Describe(exception));
  } catch (const UsageError& error) {
    return Usage(error.text);
  }
}

}  // namespace anvildrum::ctl
