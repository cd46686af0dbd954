#include "platform/internal/http_call.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace anvildrum::platform {
namespace {

constexpr auto kDepth = 500'000;
constexpr auto kDeepestText = std::size_t{1000};
constexpr auto kRounds = 20'000;

template <typename T>
auto CodeOf(const Outcome<T>& outcome) -> PlatformErrorCode {
  BOOST_REQUIRE(std::holds_alternative<PlatformError>(outcome));
  return std::get<PlatformError>(outcome).code;
}

BOOST_AUTO_TEST_CASE(keys_are_escaped_and_conditions_written) {
  auto put = PutCall("targets/desk/a b", "1", IfMatch{7});
  BOOST_TEST(put.target == "/v1/objects/targets/desk/a%20b");
  BOOST_TEST(put.if_match == R"("7")");
  BOOST_TEST(put.if_none_match.empty());
  BOOST_TEST(PutCall("k", "1", IfAbsent{}).if_none_match == "*");
  BOOST_TEST(WatchCall("a&b=", 3, 250).target ==
             "/v1/watch?prefix=a%26b%3D&after=3&timeout_ms=250");
}

BOOST_AUTO_TEST_CASE(listings_and_events_are_read) {
  auto answer =
      HttpAnswer{200, "",
                 R"({"revision":9,"events":[{"key":"a","revision":8,"deleted":true,"value":null},)"
                 R"({"key":"b","revision":9,"value":{"x":1}}]})"};
  auto listing = std::get<Listing>(ReadListing(WatchCall("", 1, 1), answer));
  BOOST_TEST(listing.revision == 9U);
  BOOST_REQUIRE(listing.items.size() == 2U);
  BOOST_CHECK(listing.items[0] == (Object{"a", 8, true, ""}));
  BOOST_CHECK(listing.items[1] == (Object{"b", 9, false, R"({"x":1})"}));
}

// A platform or a middle box that answers rubbish with status 200 must not become an empty listing,
// which would read as "all targets are gone".
BOOST_AUTO_TEST_CASE(answers_that_are_not_the_api_are_malformed) {
  for (const auto* body :
       {"", "null", "[]", "{", "{}", R"({"revision":-1,"items":[]})", R"({"revision":1})",
        R"({"revision":1,"items":{}})", R"({"revision":1,"items":[1]})",
        R"({"revision":1,"items":[{"key":"a"}]})", R"({"revision":1,"items":[{"revision":1}]})",
        R"({"revision":1,"items":[{"key":1,"revision":1,"value":1}]})",
        R"({"revision":1,"items":[{"key":"a","revision":1}]})",
        R"({"revision":1,"items":[{"key":"a","revision":1,"deleted":"no","value":1}]})"}) {
    auto outcome = ReadListing(ListCall(""), HttpAnswer{200, "", body});
    BOOST_CHECK(CodeOf(outcome) == PlatformErrorCode::kMalformedAnswer);
  }
  for (const auto* tag : {"", "7", R"("")", R"("7)", R"("x")", R"("7 ")"}) {
    auto outcome = ReadRevision(PutCall("k", "1", IfAbsent{}), HttpAnswer{200, tag, "{}"});
    BOOST_CHECK(CodeOf(outcome) == PlatformErrorCode::kMalformedAnswer);
  }
  auto cut = ReadObject(GetCall("k"), HttpAnswer{200, R"("7")", R"({"a":)"});
  BOOST_CHECK(CodeOf(cut) == PlatformErrorCode::kMalformedAnswer);
}

// Somebody stores a value of half a million brackets. Every watcher reads it; none may die of it,
// and the other objects of the answer are still read.
BOOST_AUTO_TEST_CASE(a_value_nested_beyond_all_reason_is_survived) {
  for (const auto* bracket : {"[", R"(["]",)", R"(["\"]",)"}) {
    auto deep = std::string{};
    for (auto i = 0; i < kDepth; ++i) deep += bracket;
    deep += "1" + std::string(kDepth, ']');
    auto body = R"({"revision":2,"items":[{"key":"a","revision":1,"value":)" + deep +
                R"(},{"key":"b","revision":2,"value":1}]})";
    auto listing = std::get<Listing>(ReadListing(ListCall(""), HttpAnswer{200, "", body}));
    BOOST_REQUIRE(listing.items.size() == 2U);
    BOOST_TEST(listing.items[0].value.size() < kDeepestText);
    BOOST_TEST(listing.items[1].value == "1");
    auto object = ReadObject(GetCall("a"), HttpAnswer{200, R"("1")", deep});
    BOOST_TEST(std::get<Object>(object).value.size() < kDeepestText);
  }
}

// Answers with bytes flipped, cut out and doubled: each is read or refused by its type, and none
// throws or reads beyond its end (the sanitizer build looks).
BOOST_AUTO_TEST_CASE(mutilated_answers_are_read_or_refused) {
  const auto whole = std::string(
      R"({"revision":9,"events":[{"key":"a\u00e9","revision":8,"deleted":true,"value":null},)"
      R"({"key":"b","revision":9,"deleted":false,"value":{"x":[1,-2.5e3,"y",true]}}]})");
  auto random = std::mt19937_64(1);
  auto read = 0;
  for (auto round = 0; round < kRounds; ++round) {
    auto body = whole;
    for (auto change = random() % 3 + 1; change > 0; --change) {
      auto at = random() % body.size();
      auto kind = random() % 3;
      if (kind == 0) body[at] = static_cast<char>(random());
      if (kind == 1) body.erase(at, random() % 8);
      if (kind == 2) body.insert(at, body.substr(random() % body.size(), random() % 8));
    }
    auto outcome = ReadListing(WatchCall("", 1, 1), HttpAnswer{200, "", body});
    auto code = std::holds_alternative<Listing>(outcome) ? PlatformErrorCode::kMalformedAnswer
                                                         : CodeOf(outcome);
    BOOST_REQUIRE(code == PlatformErrorCode::kMalformedAnswer);
    read += std::holds_alternative<Listing>(outcome) ? 1 : 0;
  }
  BOOST_TEST(read > 0);
  BOOST_TEST(read < kRounds);
}

BOOST_AUTO_TEST_CASE(statuses_become_typed_errors) {
  auto code = [](unsigned status) {
    return CodeOf(ReadRevision(PutCall("k", "1", IfMatch{1}), HttpAnswer{status, "", "{}"}));
  };
  BOOST_CHECK(code(404) == PlatformErrorCode::kNotFound);
  BOOST_CHECK(code(410) == PlatformErrorCode::kTooOld);
  BOOST_CHECK(code(412) == PlatformErrorCode::kConflict);
  BOOST_CHECK(code(413) == PlatformErrorCode::kTooLarge);
  BOOST_CHECK(code(400) == PlatformErrorCode::kRefused);
  BOOST_CHECK(code(503) == PlatformErrorCode::kServerError);
}

}  // namespace
}  // namespace anvildrum::platform
