#include "packetd/settings.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace anvildrum::packetd {
namespace {

const auto kCommon = std::string{R"(
  "name": "edge-1",
  "failure_domain": "bos-a",  // where it runs
  "packets": "10.1.0.10:8172",
  "readiness": "10.1.0.10:8167",
  "heartbeats": "10.1.0.10:8166",
  "control_port": 7720,
  "seeds": ["10.1.0.10:8166", "10.2.0.40:8166"],
  "platform": "10.200.1.7:8169",
  "grace_seconds": 5, "configuration_within_seconds": 5000e-3)"};

auto Faults(const std::string& text) -> std::vector<json::ReadError> {
  const auto parsed = ParseSettings(text);
  const auto* errors = std::get_if<std::vector<json::ReadError>>(&parsed);
  return errors == nullptr ? std::vector<json::ReadError>{} : *errors;
}

BOOST_AUTO_TEST_CASE(a_balancers_settings_are_read) {
  const auto parsed = ParseSettings("{\"role\": \"balancer\"," + kCommon + "}");
  const auto* settings = std::get_if<Settings>(&parsed);
  BOOST_REQUIRE(settings != nullptr);
  BOOST_TEST((settings->role == Role::kBalancer));
  BOOST_TEST(settings->control_port == 7720);
  BOOST_TEST(settings->seeds.size() == 2U);
  BOOST_TEST((settings->grace == base::seconds{5}));
  BOOST_TEST((settings->configuration_within == base::seconds{5}));
  BOOST_TEST(!settings->drains_within.has_value());
  BOOST_TEST(!settings->agent);
}

// Without this setting, balancers do not read drained failure domains.
BOOST_AUTO_TEST_CASE(the_time_to_drain_a_domain_is_read_where_it_is_told) {
  const auto parsed =
      ParseSettings(R"({"role": "balancer", "drains_within_seconds": 5000e-3,)" + kCommon + "}");
  const auto* settings = std::get_if<Settings>(&parsed);
  BOOST_REQUIRE(settings != nullptr);
  BOOST_TEST((settings->drains_within == base::Duration{base::seconds{5}}));
  BOOST_TEST(
      !Faults(R"({"role": "balancer", "drains_within_seconds": 0.5,)" + kCommon + "}").empty());
}

// Guards against taking an absent switch for one that is off: a contract must be able to switch it
// on.
BOOST_AUTO_TEST_CASE(a_switch_that_is_not_stated_differs_from_one_that_is_off) {
  const auto parsed = ParseSettings(R"({"role": "balancer",
      "shortage": {"order_by_priority": true, "fair_callers": false, "reserved_share": 0.1},
      "platform_contracts": ["other", "pressure"], "place_by_completion": true,)" +
                                    kCommon + "}");
  const auto* settings = std::get_if<Settings>(&parsed);
  BOOST_REQUIRE(settings != nullptr);
  BOOST_TEST((settings->shortage.order_by_priority == std::optional{true}));
  BOOST_TEST((settings->shortage.fair_callers == std::optional{false}));
  BOOST_TEST(!settings->shortage.admit_by_completion.has_value());
  BOOST_TEST(!settings->shortage.await_copies.has_value());
  BOOST_TEST((settings->shortage.reserved_share == std::optional{0.1}));
  BOOST_TEST((settings->platform_contracts == std::vector<std::string>{"other", "pressure"}));
  BOOST_TEST(settings->place_by_completion);
  BOOST_TEST(!settings->avoid_failing_targets);
}

// Guards against a mistyped key that is ignored silently, and against a fault without its place.
BOOST_AUTO_TEST_CASE(faults_of_the_shortage_settings_name_their_pointer) {
  struct Case {
    std::string text;
    json::ReadErrorCode code;
    std::string pointer;
  };
  using Code = json::ReadErrorCode;
  const auto cases = std::vector<Case>{
      {R"("shortage": {"order_by_prority": true})", Code::kUnknownKey,
       "/shortage/order_by_prority"},
      {R"("shortage": {"reserved_share": 0.51})", Code::kOutOfRange, "/shortage/reserved_share"},
      {R"("shortage": {"reserved_share": -0.01})", Code::kOutOfRange, "/shortage/reserved_share"},
      {R"("shortage": {"reserved_share": "0.05"})", Code::kWrongType, "/shortage/reserved_share"},
      {R"("shortage": {"fair_callers": 1})", Code::kWrongType, "/shortage/fair_callers"},
      {R"("shortage": true)", Code::kWrongType, "/shortage"},
      {R"("platform_contracts": "pressure")", Code::kWrongType, "/platform_contracts"},
      {R"("platform_contracts": ["pressure", 7])", Code::kWrongType, "/platform_contracts/1"},
      {R"("avoid_failing_targets": "on")", Code::kWrongType, "/avoid_failing_targets"},
      {R"("place_by_completion": null)", Code::kWrongType, "/place_by_completion"},
  };
  for (const auto& [text, code, pointer] : cases) {
    auto document = std::string{R"({"role": "balancer", )"};
    document += text;
    document += "," + kCommon + "}";
    const auto faults = Faults(document);
    BOOST_TEST_CONTEXT(text) {
      BOOST_REQUIRE(faults.size() == 1U);
      BOOST_TEST((faults.front().code == code));
      BOOST_TEST(faults.front().pointer == pointer);
    }
  }
}

BOOST_AUTO_TEST_CASE(an_agents_settings_name_its_target) {
  const auto agent = std::string{
      R"("from_target": "10.1.0.12:8162", "target": "10.1.0.12:8165", "service": "desk",
         "heartbeat_seconds": 500e-3, "address_reused_after_seconds": 3)"};
  const auto parsed = ParseSettings("{\"role\": \"agent\"," + agent + "," + kCommon + "}");
  const auto* settings = std::get_if<Settings>(&parsed);
  BOOST_REQUIRE(settings != nullptr);
  BOOST_TEST(settings->agent->service == "desk");
  BOOST_TEST(settings->agent->target.port == 8165);
  BOOST_TEST((settings->agent->heartbeat_period == base::milliseconds{500}));
  BOOST_TEST((settings->agent->address_reused_after == base::seconds{3}));
}

BOOST_AUTO_TEST_CASE(every_fault_is_reported) {
  BOOST_TEST(Faults("{\"role\": \"agent\"," + kCommon + "}").size() == 3U);
  BOOST_TEST(Faults("{\"role\": \"balancer\", \"color\": 1," + kCommon + "}").size() == 1U);
  BOOST_TEST(Faults("{\"role\": \"king\"}").size() > 5U);
  BOOST_TEST(Faults("not json").size() == 1U);
}

// A balancer that starts without the platform asks the seeds one after another, so their number is
// limited.
BOOST_AUTO_TEST_CASE(more_seeds_than_can_be_asked_are_refused) {
  const auto with_seeds = [](int count) {
    auto seeds = std::string{};
    for (auto i = 0; i < count; ++i) {
      seeds += (i == 0 ? "" : ", ") + std::string{"\"10.1.0."} + std::to_string(i) + ":8166\"";
    }
    auto text = "{\"role\": \"balancer\"," + kCommon + "}";
    const auto from = text.find("\"10.1.0.10:8166\", \"10.2");
    return text.replace(from, text.find(']', from) - from, seeds);
  };
  BOOST_TEST(Faults(with_seeds(64)).empty());
  BOOST_TEST(Faults(with_seeds(65)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(addresses_have_to_be_ipv4) {
  auto text = "{\"role\": \"balancer\"," + kCommon + "}";
  text.replace(text.find("10.200.1.7"), 10, "[2001:db8::1]");
  BOOST_TEST(Faults(text).size() == 1U);
}

}  // namespace
}  // namespace anvildrum::packetd
