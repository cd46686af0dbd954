#include "config/patch.h"

#include <boost/test/unit_test.hpp>

#include "config/configuration.h"
#include "config/tests/sample.h"
#include "json/parse.h"

namespace anvildrum::config {
namespace {

constexpr auto kMargin =
    R"([{"op": "add", "path": "/services/desk/spread/load_margin", "value": 0.2}])";

auto ApplyRefused(std::string_view current, const PatchRequest& request,
                  std::span<const KnownTarget> targets = {}) -> PatchRefusal {
  auto refusal = base::ErrorOf<PatchRefusal>([&] { return ApplyPatch(current, request, targets); });
  BOOST_REQUIRE(refusal.has_value());
  return *refusal;
}

auto ApplyAccepted(std::string_view current, const PatchRequest& request,
                   std::span<const KnownTarget> targets = {}) -> AcceptedPatch {
  auto accepted = ApplyPatch(current, request, targets);
  BOOST_REQUIRE(accepted.has_value());
  return accepted.value();
}

BOOST_AUTO_TEST_CASE(a_patch_makes_the_next_number_and_enters_the_history) {
  auto accepted = ApplyAccepted(kSample, Request("p1", 7, kMargin));
  BOOST_TEST(accepted.number == 8U);
  BOOST_TEST(!accepted.already_accepted);
  BOOST_TEST(accepted.difference.find("load_margin") != std::string::npos);
  auto configuration = ParseConfiguration(accepted.document).value();
  BOOST_TEST(configuration.number == 8U);
  BOOST_TEST(configuration.services.at(0).spread.load_margin == 0.2);
  BOOST_REQUIRE(configuration.history.size() == 1);
  BOOST_TEST(configuration.history[0].author == "ana");
  BOOST_TEST(configuration.history[0].number == 8U);
}

// An answer was lost after the write took effect, and the operator submits the patch again, with a
// base that the patch itself made stale. The operator has to get the number of the patch and not a
// refusal, and the patch must not be applied twice.
BOOST_AUTO_TEST_CASE(the_same_patch_again_gets_the_same_answer) {
  auto request = Request("p1", 7, kMargin);
  auto first = ApplyAccepted(kSample, request);
  auto later = ApplyAccepted(first.document, Request("p2", 8, "[]"));
  auto again = ApplyAccepted(later.document, request);
  BOOST_TEST(again.already_accepted);
  BOOST_TEST(again.number == first.number);
  BOOST_TEST(again.difference == first.difference);
  BOOST_TEST(again.document == later.document);
}

BOOST_AUTO_TEST_CASE(another_patch_under_a_used_id_is_refused) {
  auto first = ApplyAccepted(kSample, Request("p1", 7, kMargin));
  BOOST_CHECK(ApplyRefused(first.document, Request("p1", 8, "[]")).fault.rule == Rule::kIdReused);
}

// Two operators start from number 7, and one wins. The other has to get the new number and the
// changes, rather than overwrite a change that it has not seen.
BOOST_AUTO_TEST_CASE(the_loser_of_a_race_gets_the_number_and_the_difference) {
  auto winner = ApplyAccepted(kSample, Request("p1", 7, kMargin));
  auto refusal = ApplyRefused(winner.document, Request("p2", 7, "[]"));
  BOOST_CHECK(refusal.fault.rule == Rule::kStale);
  BOOST_TEST(refusal.number == 8U);
  BOOST_TEST(refusal.since == winner.difference);
}

BOOST_AUTO_TEST_CASE(a_base_above_the_current_number_is_refused) {
  BOOST_CHECK(ApplyRefused(kSample, Request("p1", 9, "[]")).fault.rule == Rule::kStale);
}

// For a base older than the history it is unknown whether a patch with a lost answer was accepted.
// Reporting "stale" would claim that it was not.
BOOST_AUTO_TEST_CASE(a_base_older_than_the_history_has_its_own_rule) {
  auto document = std::string(kSample);
  for (auto number = std::uint64_t{7}; number < 7 + 2 * kMaxHistory; ++number) {
    document =
        ApplyAccepted(document, Request("p" + std::to_string(number), number, kMargin)).document;
  }
  auto configuration = ParseConfiguration(document).value();
  BOOST_TEST(configuration.history.size() == kMaxHistory);
  BOOST_TEST(configuration.history.back().number == configuration.number);
  auto refusal = ApplyRefused(document, Request("p7", 7, kMargin));
  BOOST_CHECK(refusal.fault.rule == Rule::kBaseForgotten);
}

BOOST_AUTO_TEST_CASE(a_rollback_is_a_patch_with_a_new_number) {
  auto changed = ApplyAccepted(kSample, Request("p1", 7, kMargin));
  auto back = R"([{"op": "remove", "path": "/services/desk/spread/load_margin"}])";
  auto accepted = ApplyAccepted(changed.document, Request("p2", 8, back));
  BOOST_TEST(accepted.number == 9U);
  auto desk = ParseConfiguration(accepted.document).value().services.at(0);
  BOOST_TEST(desk.spread.load_margin == SpreadPolicy{}.load_margin);
}

auto CheckRefused(std::string_view patch, Rule rule, Place place, std::string_view pointer)
    -> void {
  auto refusal = ApplyRefused(kSample, Request("p1", 7, patch));
  BOOST_TEST_CONTEXT(patch) {
    BOOST_CHECK(refusal.fault.rule == rule);
    BOOST_CHECK(refusal.fault.place == place);
    BOOST_TEST(refusal.fault.pointer == pointer);
    BOOST_TEST(refusal.number == 7U);
  }
}

BOOST_AUTO_TEST_CASE(bad_operations_are_refused_at_their_place_in_the_patch) {
  CheckRefused("{", Rule::kShape, Place::kPatch, "");
  CheckRefused("7", Rule::kShape, Place::kPatch, "");
  CheckRefused(R"([{"op": "grow", "path": "/services"}])", Rule::kShape, Place::kPatch, "/0/op");
  CheckRefused(R"([{"op": "remove"}])", Rule::kShape, Place::kPatch, "/0/path");
  CheckRefused(R"([{"op": "add", "path": "/services/x"}])", Rule::kShape, Place::kPatch,
               "/0/value");
  CheckRefused(R"([{"op": "remove", "path": "services"}])", Rule::kShape, Place::kPatch, "/0/path");
  CheckRefused(R"([{"op": "remove", "path": "/services/none"}])", Rule::kPathMissing, Place::kPatch,
               "/0");
  CheckRefused(R"([{"op": "test", "path": "/number", "value": 7},
                   {"op": "test", "path": "/number", "value": 6}])",
               Rule::kTestFailed, Place::kPatch, "/1");
}

BOOST_AUTO_TEST_CASE(number_and_history_cannot_be_patched) {
  for (const auto* path : {"", "/number", "/history", "/history/0", "/servicesx"}) {
    auto operation = json::Json{{"op", "add"}, {"path", path}, {"value", 1}};
    CheckRefused(json::Json::array({operation}).dump(), Rule::kNotWritable, Place::kPatch,
                 "/0/path");
  }
  CheckRefused(R"([{"op": "move", "from": "/history", "path": "/services/x"}])", Rule::kNotWritable,
               Place::kPatch, "/0/from");
}

BOOST_AUTO_TEST_CASE(a_patch_that_breaks_a_rule_is_refused_completely) {
  CheckRefused(R"([{"op": "add", "path": "/services/desk/weights/desk-2", "value": 3},
                   {"op": "remove", "path": "/services/desk/addresses/0"}])",
               Rule::kNoAddress, Place::kDocument, "/services/desk/addresses");
  CheckRefused(R"([{"op": "add", "path": "/services/desk/addresses/-", "value": "10.0.0.2:5683"}])",
               Rule::kAddressTaken, Place::kDocument, "/services/mapper/addresses/0");
  CheckRefused(R"([{"op": "add", "path": "/services/desk/limits/queue_ms", "value": 60001}])",
               Rule::kShape, Place::kDocument, "/services/desk/limits/queue_ms");
}

// While the change spreads, a client that uses the address for mapper would reach desk on the
// instances that already have the change. The operator has to confirm that there is no such client.
BOOST_AUTO_TEST_CASE(an_address_moves_only_if_the_patch_allows_it) {
  auto move = std::string(R"([{"op": "move", "from": "/services/mapper/addresses/1",
                               "path": "/services/desk/addresses/-"}])");
  CheckRefused(move, Rule::kAddressMoved, Place::kDocument, "/services/desk/addresses/1");
  auto allowed = R"({"allow_address_move": true, "patch": )" + move + "}";
  BOOST_TEST(ApplyAccepted(kSample, Request("p1", 7, allowed)).number == 8U);
}

// Each value is in range, but every new flow of the service would be refused.
BOOST_AUTO_TEST_CASE(a_service_keeps_a_target_for_new_flows) {
  auto targets = std::vector<KnownTarget>{{"desk", "desk-1", false}, {"desk", "desk-2", true}};
  auto stop = R"([{"op": "replace", "path": "/services/desk/weights/desk-1", "value": 0}])";
  auto refusal = ApplyRefused(kSample, Request("p1", 7, stop), targets);
  BOOST_CHECK(refusal.fault.rule == Rule::kNowhereToPlace);
  BOOST_TEST(refusal.fault.pointer == "/services/desk/weights");
  targets[1].draining = false;
  BOOST_TEST(ApplyAccepted(kSample, Request("p1", 7, stop), targets).number == 8U);
}

BOOST_AUTO_TEST_CASE(a_service_is_removed_only_after_its_targets) {
  auto targets = std::vector<KnownTarget>{{"desk", "desk-1", false}};
  auto remove = R"([{"op": "remove", "path": "/services/desk"}])";
  auto refusal = ApplyRefused(kSample, Request("p1", 7, remove), targets);
  BOOST_CHECK(refusal.fault.rule == Rule::kServiceHasTargets);
  targets[0].draining = true;
  BOOST_TEST(ApplyAccepted(kSample, Request("p1", 7, remove), targets).number == 8U);
}

// Each copy of the services into one of them doubles the document. Without a limit, forty
// operations, a few kilobytes of patch, would take a terabyte.
BOOST_AUTO_TEST_CASE(a_patch_cannot_grow_the_document_without_bound) {
  auto operations = json::Json::array();
  for (auto i = 0; i < 40; ++i) {
    operations.push_back(
        {{"op", "copy"}, {"from", "/services"}, {"path", "/services/copy" + std::to_string(i)}});
  }
  auto refusal = ApplyRefused(kSample, Request("p1", 7, operations.dump()));
  BOOST_CHECK(refusal.fault.rule == Rule::kTooLarge);
}

BOOST_AUTO_TEST_CASE(an_identity_is_printable) {
  for (const auto* id : {"", "a\nb", "caf\xc3\xa9", "\xff"}) {
    BOOST_CHECK(ApplyRefused(kSample, Request(id, 7, "[]")).fault.rule == Rule::kBadIdentity);
  }
}

BOOST_AUTO_TEST_CASE(an_invalid_document_in_force_is_not_reported_as_a_bad_patch) {
  auto refusal = ApplyRefused(R"({"number": 1})", Request("p1", 1, "[]"));
  BOOST_CHECK(refusal.fault.place == Place::kCurrent);
  BOOST_TEST(refusal.fault.pointer == "/services");
}

}  // namespace
}  // namespace anvildrum::config
