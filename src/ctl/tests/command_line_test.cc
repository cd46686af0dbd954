#include "ctl/command_line.h"

#include <boost/test/unit_test.hpp>

#include "ctl/exit_code.h"

namespace anvildrum::ctl {
namespace {

const auto kNothing = Environment{};
const auto kEnvironment = Environment{"127.0.0.1:9000,127.0.0.1:9001", "ana"};

auto Understood(const std::vector<std::string>& words, const Environment& environment)
    -> Invocation {
  auto parsed = ParseCommandLine(words, environment);
  BOOST_REQUIRE(std::holds_alternative<Invocation>(parsed));
  return std::get<Invocation>(parsed);
}

auto Stopped(const std::vector<std::string>& words, const Environment& environment) -> Stop {
  auto parsed = ParseCommandLine(words, environment);
  BOOST_REQUIRE(std::holds_alternative<Stop>(parsed));
  return std::get<Stop>(parsed);
}

BOOST_AUTO_TEST_CASE(apply_takes_its_options_in_any_order) {
  auto invocation = Understood({"apply", "--wait", "p.json", "--base", "7", "--platform",
                                "127.0.0.1:1", "--dry-run", "--id", "x"},
                               kEnvironment);
  const auto& command = std::get<ApplyCommand>(invocation.command);
  BOOST_TEST(command.base == 7U);
  BOOST_TEST(command.file == "p.json");
  BOOST_TEST(command.id == "x");
  BOOST_TEST(command.author == "ana");
  BOOST_TEST(command.dry_run);
  BOOST_TEST(command.wait);
  BOOST_REQUIRE(invocation.platform.size() == 1);
  BOOST_TEST(base::FormatEndpoint(invocation.platform[0]) == "127.0.0.1:1");
}

BOOST_AUTO_TEST_CASE(options_may_stand_before_the_command) {
  auto invocation = Understood({"--platform", "127.0.0.1:1", "drain", "desk-1"}, kNothing);
  BOOST_TEST(std::get<DrainCommand>(invocation.command).target == "desk-1");
  BOOST_TEST(invocation.platform.size() == 1U);
}

BOOST_AUTO_TEST_CASE(the_platform_comes_from_the_environment) {
  BOOST_TEST(Understood({"get"}, kEnvironment).platform.size() == 2U);
  BOOST_TEST(Stopped({"get"}, kNothing).exit_code == kUsage);
}

BOOST_AUTO_TEST_CASE(check_and_named_operators_need_no_platform) {
  BOOST_TEST(std::get<CheckCommand>(Understood({"check", "s.json"}, kNothing).command).file ==
             "s.json");
  auto status = Understood({"status", "--json", "--operator", "127.0.0.1:5"}, kNothing);
  BOOST_TEST(std::get<StatusCommand>(status.command).as_json);
  BOOST_TEST(status.operators.size() == 1U);
}

BOOST_AUTO_TEST_CASE(versions_need_a_file_and_no_platform) {
  const auto invocation = Understood({"versions", "balancers.txt", "--most", "3"}, kNothing);
  const auto& command = std::get<VersionsCommand>(invocation.command);
  BOOST_TEST(command.file == "balancers.txt");
  BOOST_TEST(command.most == 3U);
  BOOST_TEST(Stopped({"versions"}, kNothing).exit_code == kUsage);
}

BOOST_AUTO_TEST_CASE(wrong_command_lines_are_usage_errors) {
  using Words = std::vector<std::string>;
  for (const auto& words :
       {Words{}, Words{"fly"}, Words{"apply", "p.json"}, Words{"apply", "--base", "x", "p.json"},
        Words{"apply", "--base", "1"}, Words{"get", "--platform", "example:1"},
        Words{"get", "extra"}, Words{"drain"}, Words{"status", "--colour"},
        Words{"get", "--timeout", "999999"}}) {
    auto stop = Stopped(words, kEnvironment);
    BOOST_TEST(stop.exit_code == kUsage);
    BOOST_TEST(stop.text.starts_with("anvilctl: "));
  }
}

// The operator mistypes a command behind the kept prefix, or forgets it: the word at fault is
// named, not the prefix.
BOOST_AUTO_TEST_CASE(a_wrong_command_behind_options_is_named) {
  auto mistyped = Stopped({"--platform", "127.0.0.1:1", "stauts", "--json"}, kNothing);
  BOOST_TEST(mistyped.text.starts_with("anvilctl: no command 'stauts'\n"));
  auto joined = Stopped({"--platform=127.0.0.1:1", "stauts"}, kNothing);
  BOOST_TEST(joined.text.starts_with("anvilctl: no command 'stauts'\n"));
  auto forgotten = Stopped({"--platform", "127.0.0.1:1"}, kNothing);
  BOOST_TEST(forgotten.text.starts_with("anvilctl: a command is missing\n"));
  auto incomplete = Stopped({"apply"}, kEnvironment);
  BOOST_TEST(incomplete.text.starts_with("anvilctl: Required arguments missing: base, patch\n"));
}

BOOST_AUTO_TEST_CASE(help_and_version_end_well) {
  for (const auto* word : {"--help", "-h", "--version"}) {
    auto stop = Stopped({word}, kNothing);
    BOOST_TEST(stop.exit_code == kDone);
    BOOST_TEST(stop.text.find("anvilctl") != std::string::npos);
  }
  BOOST_TEST(Stopped({"apply", "--help"}, kNothing).exit_code == kDone);
}

}  // namespace
}  // namespace anvildrum::ctl
