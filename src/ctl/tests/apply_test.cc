#include "ctl/apply.h"

#include <boost/test/unit_test.hpp>
#include <random>

#include "config/configuration.h"
#include "config/patch.h"
#include "ctl/tests/fake_platform.h"

namespace anvildrum::ctl {
namespace {

constexpr auto kSeed = 20'261'202U;
constexpr auto kRuns = 2'000;
constexpr auto kFaultCount = 6U;
constexpr auto kMostFaults = 9U;

constexpr auto kDocument = std::string_view{
    R"({"number": 3, "services": {"desk": {"addresses": ["10.0.0.1:5683"]}}, "history": []})"};
constexpr auto kPatch =
    std::string_view{R"([{"op": "add", "path": "/services/desk/limits/queue_ms", "value": 100}])"};

auto Request(std::string_view id) -> config::PatchRequest {
  return {std::string(id), "ana", "2026-12-02T10:00:00Z", 3, std::string(kPatch)};
}

auto Options() -> ApplyOptions {
  auto options = ApplyOptions{};
  options.sleep = [](base::Duration) {};
  return options;
}

auto SamplePlatform() -> FakePlatform {
  auto platform = FakePlatform{};
  platform.Set(kConfigKey, kDocument);
  platform.racer = config::ApplyPatch(kDocument, Request("other"), {}).value().document;
  return platform;
}

auto History(const FakePlatform& platform) -> std::vector<config::PatchRecord> {
  return config::ParseConfiguration(platform.objects.at(std::string(kConfigKey)).value)
      .value()
      .history;
}

BOOST_AUTO_TEST_CASE(a_patch_is_written_once) {
  auto platform = SamplePlatform();
  auto outcome = Apply(platform.Store(), Request("p1"), Options());
  BOOST_REQUIRE(std::holds_alternative<config::AcceptedPatch>(outcome));
  BOOST_TEST(std::get<config::AcceptedPatch>(outcome).number == 4U);
  BOOST_TEST(platform.writes_that_took == 1);
}

BOOST_AUTO_TEST_CASE(the_first_patch_makes_the_object) {
  auto platform = FakePlatform{};
  auto request = Request("p1");
  request.base = 0;
  request.patch = R"([{"op": "add", "path": "/services/desk",
                       "value": {"addresses": ["10.0.0.1:5683"]}}])";
  auto outcome = Apply(platform.Store(), request, Options());
  BOOST_REQUIRE(std::holds_alternative<config::AcceptedPatch>(outcome));
  BOOST_TEST(History(platform).size() == 1U);
}

// The write takes effect and its answer is lost, or is answered as a conflict with itself. Read
// again, the number has moved on and the base is stale; only the id in the history tells that it
// was this patch that moved it.
BOOST_AUTO_TEST_CASE(a_lost_answer_is_settled_by_the_id) {
  for (auto fault : {WriteFault::kLostAnswer, WriteFault::kFalseConflict}) {
    auto platform = SamplePlatform();
    platform.faults = {fault};
    auto outcome = Apply(platform.Store(), Request("p1"), Options());
    BOOST_REQUIRE(std::holds_alternative<config::AcceptedPatch>(outcome));
    BOOST_TEST(std::get<config::AcceptedPatch>(outcome).number == 4U);
    BOOST_TEST(platform.writes_that_took == 1);
  }
}

// Two operators read number 3; the other one's write comes first. Ours must neither overwrite it
// nor be told as lost.
BOOST_AUTO_TEST_CASE(the_loser_of_a_race_is_told) {
  auto platform = SamplePlatform();
  platform.faults = {WriteFault::kRaced};
  auto outcome = Apply(platform.Store(), Request("p1"), Options());
  BOOST_REQUIRE(std::holds_alternative<config::PatchRefusal>(outcome));
  auto refusal = std::get<config::PatchRefusal>(outcome);
  BOOST_CHECK(refusal.fault.rule == config::Rule::kStale);
  BOOST_TEST(refusal.number == 4U);
  BOOST_TEST(refusal.since.find("queue_ms") != std::string::npos);
  BOOST_TEST(History(platform).at(0).id == "other");
}

BOOST_AUTO_TEST_CASE(a_platform_that_is_down_means_nothing_was_changed) {
  auto platform = SamplePlatform();
  platform.down = true;
  BOOST_CHECK(
      std::holds_alternative<NotApplied>(Apply(platform.Store(), Request("p1"), Options())));
}

// Every write is sent and none is answered. One of them may be on its way still, so neither
// "refused" nor "nothing was changed" would be true.
BOOST_AUTO_TEST_CASE(writes_without_answers_are_told_as_unsettled) {
  auto platform = SamplePlatform();
  platform.faults = std::deque<WriteFault>(10, WriteFault::kLostRequest);
  BOOST_CHECK(std::holds_alternative<Unsettled>(Apply(platform.Store(), Request("p1"), Options())));
}

// A write goes out unanswered, and before the next round the service's only target drains, so that
// a rule refuses the patch. The write may yet arrive: "refused" would be a lie then.
BOOST_AUTO_TEST_CASE(a_refusal_after_a_write_in_doubt_is_unsettled) {
  auto platform = SamplePlatform();
  platform.faults = {WriteFault::kLostRequest};
  auto options = Options();
  options.sleep = [&](base::Duration) {
    platform.Set("targets/desk/desk-1",
                 R"({"instance": "0000000000000001", "incarnation": 1, "tunnel": "10.0.1.1:1",
                     "operator_port": "10.0.1.1:2", "failure_domain": "boston-1", "slots": 4,
                     "connections": 10})");
  };
  auto request = Request("p1");
  request.patch = R"([{"op": "add", "path": "/services/desk/weights/desk-1", "value": 0}])";
  auto outcome = Apply(platform.Store(), request, options);
  BOOST_CHECK(std::holds_alternative<Unsettled>(outcome));
}

// Of a patch whose base is past the history nobody can tell whether it was once taken.
BOOST_AUTO_TEST_CASE(a_forgotten_base_is_unsettled) {
  auto platform = SamplePlatform();
  platform.Set(kConfigKey, R"({"number": 900, "services": {}, "history": []})");
  auto outcome = Apply(platform.Store(), Request("p1"), Options());
  BOOST_REQUIRE(std::holds_alternative<Unsettled>(outcome));
  BOOST_CHECK(std::get<Unsettled>(outcome).error.code == CtlErrorCode::kForgotten);
}

BOOST_AUTO_TEST_CASE(a_dry_run_writes_nothing) {
  auto platform = SamplePlatform();
  auto options = Options();
  options.dry_run = true;
  auto outcome = Apply(platform.Store(), Request("p1"), options);
  BOOST_REQUIRE(std::holds_alternative<config::AcceptedPatch>(outcome));
  BOOST_TEST(platform.writes_that_took == 0);
}

// Any run of faults: what the operator hears is true of the platform, and no patch stands in the
// history twice.
BOOST_AUTO_TEST_CASE(every_answer_is_true_under_random_faults) {
  auto random = std::mt19937(kSeed);
  auto outcomes = std::array<int, std::variant_size_v<ApplyOutcome>>{};
  for (auto run = 0; run < kRuns; ++run) {
    auto platform = SamplePlatform();
    auto outage = run % 2 == 0;
    for (auto i = 0U; i < kMostFaults; ++i) {
      auto fault = static_cast<WriteFault>(random() % kFaultCount);
      platform.faults.push_back(outage ? WriteFault::kLostRequest : fault);
    }
    if (outage) platform.faults.at(random() % kMostFaults) = WriteFault::kNone;
    auto outcome = Apply(platform.Store(), Request("p1"), Options());
    ++outcomes.at(outcome.index());
    auto history = History(platform);
    auto count = std::count_if(history.begin(), history.end(),
                               [](const auto& record) { return record.id == "p1"; });
    BOOST_REQUIRE(count <= 1);
    if (std::holds_alternative<config::AcceptedPatch>(outcome)) BOOST_REQUIRE(count == 1);
    if (std::holds_alternative<config::PatchRefusal>(outcome)) BOOST_REQUIRE(count == 0);
    if (std::holds_alternative<NotApplied>(outcome)) BOOST_REQUIRE(count == 0);
  }
  BOOST_TEST(outcomes[0] > 0);
  BOOST_TEST(outcomes[1] > 0);
  BOOST_TEST(outcomes[3] > 0);
}

BOOST_AUTO_TEST_CASE(the_derived_id_follows_base_author_and_text) {
  auto id = DerivePatchId(Request(""));
  BOOST_TEST(id == DerivePatchId(Request("")));
  auto other = Request("");
  other.author = "bea";
  BOOST_TEST(id != DerivePatchId(other));
}

}  // namespace
}  // namespace anvildrum::ctl
