#include "settings/settings.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <random>

#include "settings/tests/settings_builder.h"

namespace anvildrum::settings {
namespace {

constexpr auto kSeed = 20'261'202;
constexpr auto kRuns = 5'000;

using Code = SettingsErrorCode;

auto Accepted(const SettingsBuilder& builder) -> Settings {
  auto result = ParseSettings(builder.Build());
  BOOST_REQUIRE(std::holds_alternative<Settings>(result));
  return std::get<Settings>(result);
}

auto Errors(std::string_view text) -> std::vector<SettingsError> {
  auto result = ParseSettings(text);
  BOOST_REQUIRE(std::holds_alternative<std::vector<SettingsError>>(result));
  return std::get<std::vector<SettingsError>>(result);
}

auto CheckOnlyError(const SettingsBuilder& builder, Code code, std::string_view pointer) -> void {
  auto errors = Errors(builder.Build());
  BOOST_REQUIRE(errors.size() == 1);
  BOOST_CHECK(errors.front().code == code);
  BOOST_TEST(errors.front().pointer == pointer);
}

BOOST_AUTO_TEST_CASE(a_balancer_reads_whole) {
  auto builder = SettingsBuilder::Balancer();
  builder.With("/balancer/bind", R"([{"address": "10.0.0.1:5683", "bind": "127.0.0.1:0"}])")
      .With("/log", R"({"level": "debug", "file": "b1.log"})")
      .With("/trace", R"({"file": "b1.trace", "sample_permille": 5})")
      .With("/relay_peers", R"(["127.0.0.1:7100"])");
  auto settings = Accepted(builder);
  BOOST_CHECK(settings.role == Role::kBalancer);
  BOOST_TEST(settings.failure_domain == "boston-1");
  BOOST_TEST(base::FormatEndpoint(settings.balancer.bind.at(0).address) == "10.0.0.1:5683");
  BOOST_CHECK(settings.log.level == LogLevel::kDebug);
  BOOST_TEST(settings.trace.sample_permille == 5U);
  BOOST_TEST(settings.tunnel_keys.keys.at(0).at(15) == 15);
  BOOST_TEST(settings.relay_peers.size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_agent_reads_whole) {
  auto settings = Accepted(SettingsBuilder::Agent());
  BOOST_CHECK(settings.role == Role::kAgent);
  BOOST_TEST(settings.agent.target.service == "desk");
  BOOST_TEST(settings.agent.target.slots == 4U);
}

BOOST_AUTO_TEST_CASE(comments_are_allowed) {
  auto text = "// the first balancer\n" + SettingsBuilder::Balancer().Build() + "/* end */";
  BOOST_CHECK(std::holds_alternative<Settings>(ParseSettings(text)));
}

BOOST_AUTO_TEST_CASE(each_fault_has_its_code_and_names_its_key) {
  auto balancer = [] { return SettingsBuilder::Balancer(); };
  auto agent = [] { return SettingsBuilder::Agent(); };
  CheckOnlyError(balancer().Without("/failure_domain"), Code::kMissingKey, "/failure_domain");
  CheckOnlyError(balancer().With("/colour", "1"), Code::kUnknownKey, "/colour");
  CheckOnlyError(balancer().With("/agent", "{}"), Code::kUnknownKey, "/agent");
  CheckOnlyError(balancer().With("/name", "5"), Code::kWrongType, "/name");
  CheckOnlyError(balancer().With("/name", R"("a/b")"), Code::kNotAName, "/name");
  CheckOnlyError(balancer().With("/role", R"("king")"), Code::kNotAChoice, "/role");
  CheckOnlyError(balancer().With("/tunnel", R"("localhost:1")"), Code::kNotAnEndpoint, "/tunnel");
  CheckOnlyError(balancer().With("/platform", "[]"), Code::kOutOfRange, "/platform");
  CheckOnlyError(balancer().With("/platform", R"(["x:1"])"), Code::kNotAnEndpoint, "/platform/0");
  CheckOnlyError(balancer().With("/balancer/flow_table_entries", "1"), Code::kOutOfRange,
                 "/balancer/flow_table_entries");
  CheckOnlyError(agent().With("/agent/target/slots", "0"), Code::kOutOfRange,
                 "/agent/target/slots");
  CheckOnlyError(agent().Without("/agent/target"), Code::kMissingKey, "/agent/target");
  CheckOnlyError(balancer().With("/log", R"({"level": "loud"})"), Code::kNotAChoice, "/log/level");
}

BOOST_AUTO_TEST_CASE(all_faults_are_told_at_once) {
  auto builder = SettingsBuilder::Balancer();
  builder.Without("/tunnel").With("/colour", "1").With("/log", "7");
  BOOST_TEST(Errors(builder.Build()).size() == 3U);
}

// Relay without keys: whoever reaches its port could hand an instance a configuration. It takes an
// explicit word from the operator, and a key that doesn't parse is never taken for no key.
BOOST_AUTO_TEST_CASE(the_relay_is_open_only_when_asked) {
  auto open = SettingsBuilder::Balancer();
  open.Without("/relay_keys");
  CheckOnlyError(open, Code::kMissingKey, "/relay_keys");
  Accepted(open.With("/insecure_relay", "true"));
  auto empty = SettingsBuilder::Balancer();
  CheckOnlyError(empty.With("/relay_keys", "[]"), Code::kOutOfRange, "/relay_keys");
}

BOOST_AUTO_TEST_CASE(keys_are_checked_and_never_shown) {
  auto builder = SettingsBuilder::Balancer();
  builder.With("/tunnel_keys", R"(["00010203zz"])").With("/relay_keys/0/secret", R"("tooshort")");
  auto errors = Errors(builder.Build());
  BOOST_REQUIRE(errors.size() == 2);
  BOOST_CHECK(errors[0].code == Code::kNotAKey);
  BOOST_TEST(errors[0].pointer == "/tunnel_keys/0");
  BOOST_TEST(errors[1].pointer == "/relay_keys/0/secret");
  BOOST_TEST(DescribeError(errors[0]).find("zz") == std::string::npos);
  BOOST_TEST(DescribeError(errors[1]).find("tooshort") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_file_that_cannot_be_read_has_its_own_error) {
  for (const auto* path : {"no-such-file.json", "."}) {
    auto result = LoadSettings(path);
    BOOST_REQUIRE(std::holds_alternative<std::vector<SettingsError>>(result));
    BOOST_CHECK(std::get<1>(result).at(0).code == Code::kNotReadable);
  }
}

// Whatever bytes a settings file holds, the daemon ends with typed errors: no crash, no settings
// that were half read.
BOOST_AUTO_TEST_CASE(altered_text_never_throws) {
  auto random = std::mt19937(kSeed);
  auto original = SettingsBuilder::Agent().Build();
  auto refused = 0;
  for (auto run = 0; run < kRuns; ++run) {
    auto text = original;
    for (auto change = 0U; change <= random() % 3; ++change) {
      text[random() % text.size()] = static_cast<char>(random());
    }
    auto result = ParseSettings(text);
    const auto* errors = std::get_if<std::vector<SettingsError>>(&result);
    if (errors == nullptr) continue;
    ++refused;
    BOOST_REQUIRE(!errors->empty());
    for (const auto& error : *errors) BOOST_REQUIRE(!DescribeError(error).empty());
  }
  BOOST_TEST(refused > kRuns / 2);
}

}  // namespace
}  // namespace anvildrum::settings
