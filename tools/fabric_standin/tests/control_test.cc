#include "tools/fabric_standin/control.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace anvildrum::fabric {
namespace {

using Json = nlohmann::json;

auto OneBalancer() -> Fabric {
  auto fabric = Fabric{};
  fabric.balancers.push_back({"b1", {{"desk", base::EndpointFromV4(0x7f000001, 4001)}}});
  return fabric;
}

auto Ask(Fabric& fabric, std::string_view message) -> Json {
  return Json::parse(HandleControl(fabric, message));
}

BOOST_AUTO_TEST_CASE(balancer_is_removed_added_cut_and_healed) {
  auto fabric = OneBalancer();
  BOOST_TEST(Ask(fabric, R"({"do":"remove","balancer":"b1"})")["ok"] == true);
  BOOST_TEST(!fabric.balancers[0].sprayed);
  BOOST_TEST(Ask(fabric, R"({"do":"add","balancer":"b1"})")["ok"] == true);
  BOOST_TEST(fabric.balancers[0].sprayed);
  BOOST_TEST(Ask(fabric, R"({"do":"cut","balancer":"b1"})")["ok"] == true);
  BOOST_TEST(fabric.balancers[0].cut);
  BOOST_TEST(Ask(fabric, R"({"do":"heal","balancer":"b1"})")["ok"] == true);
  BOOST_TEST(!fabric.balancers[0].cut);
}

BOOST_AUTO_TEST_CASE(new_balancer_is_added_with_its_addresses) {
  auto fabric = OneBalancer();
  auto answer =
      Ask(fabric, R"({"do":"add","balancer":"b2","addresses":{"desk":"127.0.0.1:4002"}})");
  BOOST_TEST(answer["ok"] == true);
  BOOST_REQUIRE(fabric.balancers.size() == 2U);
  BOOST_CHECK(fabric.balancers[1].addresses.at("desk") == base::EndpointFromV4(0x7f000001, 4002));
}

BOOST_AUTO_TEST_CASE(faults_are_set) {
  auto fabric = OneBalancer();
  Ask(fabric, R"({"do":"drop","percent":5})");
  Ask(fabric, R"({"do":"duplicate","percent":6})");
  Ask(fabric, R"({"do":"reorder","percent":7,"ms":2.5})");
  Ask(fabric, R"({"do":"delay","client_ms":1,"balancer_ms":1.5})");
  const auto& faults = fabric.faults;
  BOOST_TEST(faults.drop_percent == 5U);
  BOOST_TEST(faults.duplicate_percent == 6U);
  BOOST_TEST(faults.reorder_percent == 7U);
  BOOST_CHECK(faults.reorder_delay == base::microseconds(2500));
  BOOST_CHECK(faults.client_delay == base::milliseconds(1));
  BOOST_CHECK(faults.balancer_delay == base::microseconds(1500));
}

BOOST_AUTO_TEST_CASE(counts_are_told) {
  auto fabric = OneBalancer();
  SprayToBalancers(fabric, "desk");
  auto answer = Ask(fabric, R"({"do":"counts"})");
  BOOST_TEST(answer["counts"]["to_balancers"] == 1);
  BOOST_TEST(answer["counts"]["by_balancer"]["b1"] == 1);
}

struct Refusal {
  const char* message;
  const char* error;
  const char* pointer;
};

// JSON members at fault, one a message.
constexpr auto kRefusals = std::array{
    Refusal{"rubbish", "not_json", ""},
    Refusal{"", "not_json", ""},
    Refusal{"[]", "not_json", ""},
    Refusal{"{}", "unknown_action", "/do"},
    Refusal{R"({"do":"explode"})", "unknown_action", "/do"},
    Refusal{R"({"do":"cut"})", "bad_value", "/balancer"},
    Refusal{R"({"do":"cut","balancer":3})", "bad_value", "/balancer"},
    Refusal{R"({"do":"cut","balancer":"b9"})", "unknown_balancer", "/balancer"},
    Refusal{R"({"do":"drop"})", "bad_value", "/percent"},
    Refusal{R"({"do":"drop","percent":101})", "bad_value", "/percent"},
    Refusal{R"({"do":"drop","percent":-1})", "bad_value", "/percent"},
    Refusal{R"({"do":"reorder","percent":5})", "bad_value", "/ms"},
    Refusal{R"({"do":"delay","client_ms":1})", "bad_value", "/balancer_ms"},
    Refusal{R"({"do":"add","balancer":"b2","addresses":{"desk":"here"}})", "bad_value",
            "/addresses/desk"},
};

BOOST_AUTO_TEST_CASE(bad_message_is_refused_with_the_member_at_fault_and_changes_nothing) {
  for (const auto& refusal : kRefusals) {
    auto fabric = OneBalancer();
    auto answer = Ask(fabric, refusal.message);
    BOOST_TEST_CONTEXT(refusal.message) {
      BOOST_TEST(answer["ok"] == false);
      BOOST_TEST(answer["error"] == refusal.error);
      BOOST_TEST(answer["pointer"] == refusal.pointer);
      BOOST_TEST(fabric.counts.control_errors == 1U);
      BOOST_TEST(fabric.balancers.size() == 1U);
      BOOST_TEST((fabric.balancers[0].sprayed && !fabric.balancers[0].cut));
      BOOST_TEST(fabric.faults.drop_percent + fabric.faults.reorder_percent == 0U);
    }
  }
}

}  // namespace
}  // namespace anvildrum::fabric
