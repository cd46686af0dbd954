#include "membership/codec.h"

#include <boost/test/unit_test.hpp>
#include <limits>
#include <random>

#include "json/parse.h"

namespace anvildrum::membership {
namespace {

constexpr auto kSeed = 20'261'202U;
constexpr auto kRuns = 4'000;

auto SampleTarget() -> TargetRecord {
  auto record = TargetRecord{};
  record.name = "desk-1";
  record.id = base::TargetIdOf("desk-1");
  record.service_name = "desk";
  record.service = base::ServiceIdOf("desk");
  record.instance = base::InstanceIdOf("desk-1-agent");
  record.incarnation = std::numeric_limits<std::uint64_t>::max();
  record.tunnel = base::EndpointFromV4(0x7f000001, 7001);
  record.operator_port = base::EndpointFromV4(0x7f000001, 7002);
  record.failure_domain = "boston-1";
  record.slots = 4;
  record.connections = 2000;
  record.draining = true;
  record.revision = 9;
  return record;
}

auto CodeOf(std::string_view key, std::string_view text) -> MembershipErrorCode {
  auto error = base::ErrorOf<MembershipError>([&] { return ParseTargetRecord(key, 1, text); });
  BOOST_REQUIRE(error.has_value());
  BOOST_TEST(error->key == key);
  return error->code;
}

BOOST_AUTO_TEST_CASE(a_target_survives_a_round_trip) {
  auto record = SampleTarget();
  BOOST_TEST(KeyOf(record) == "targets/desk/desk-1");
  auto read = ParseTargetRecord(KeyOf(record), record.revision, Serialize(record)).value();
  BOOST_TEST(Serialize(read) == Serialize(record));
  BOOST_TEST(read.name == record.name);
  BOOST_CHECK(read.id == record.id);
  BOOST_CHECK(read.service == record.service);
  BOOST_CHECK(read.instance == record.instance);
  BOOST_TEST(read.incarnation == record.incarnation);
  BOOST_TEST(read.draining);
  BOOST_TEST(read.revision == 9U);
}

BOOST_AUTO_TEST_CASE(a_balancer_survives_a_round_trip) {
  auto record = BalancerRecord{};
  record.name = "b1";
  record.instance = {1};
  record.failure_domain = "north-2";
  record.control = base::EndpointFromV4(0x7f000001, 7100);
  auto read = ParseBalancerRecord(KeyOf(record), 3, Serialize(record)).value();
  BOOST_TEST(read.name == "b1");
  BOOST_CHECK(read.instance == record.instance);
  BOOST_CHECK(read.control == record.control);
  BOOST_TEST(read.revision == 3U);
}

// During an upgrade an old balancer reads records of new agents. If it refused unknown keys, it
// would lose every upgraded target.
BOOST_AUTO_TEST_CASE(keys_of_a_later_version_are_ignored) {
  auto text = Serialize(SampleTarget());
  text.insert(1, R"("colour": "red", )");
  BOOST_CHECK(ParseTargetRecord("targets/desk/desk-1", 1, text).has_value());
}

BOOST_AUTO_TEST_CASE(keys_that_name_no_target_are_refused) {
  auto text = Serialize(SampleTarget());
  for (const auto* key : {"", "targets/", "targets/desk", "targets/desk/", "targets//a",
                          "targets/desk/a/b", "balancers/b1"}) {
    BOOST_CHECK(CodeOf(key, text) == MembershipErrorCode::kBadKey);
  }
}

BOOST_AUTO_TEST_CASE(altered_values_give_typed_errors) {
  auto random = std::mt19937(kSeed);
  auto refused = 0;
  for (auto run = 0; run < kRuns; ++run) {
    auto text = Serialize(SampleTarget());
    text[random() % text.size()] = static_cast<char>(random());
    if (run % 5 == 0) text.resize(random() % text.size());
    auto error = base::ErrorOf<MembershipError>(
        [&] { return ParseTargetRecord("targets/desk/desk-1", 1, text); });
    if (!error) continue;
    ++refused;
    BOOST_REQUIRE(error->code == MembershipErrorCode::kBadRecord);
    BOOST_REQUIRE(!json::Describe(error->shape).empty());
  }
  BOOST_TEST(refused > 0);
}

}  // namespace
}  // namespace anvildrum::membership
