#include "json/reader.h"

#include <boost/test/unit_test.hpp>
#include <cmath>

namespace anvildrum::json {
namespace {

constexpr auto kCommented = "// why\n{\"a\": 1}";
constexpr auto kDeep = 1'000'000;
constexpr auto kRange = Range{1, 10};

auto ParseError(std::string_view text) -> std::optional<ReadError> {
  return base::ErrorOf<ReadError>([&] { return Parse(text, Comments::kIgnored); });
}

template <typename Take>
auto Faults(std::string_view text, Take take) -> Errors {
  auto document = Parse(text, Comments::kRefused).value();
  auto errors = Errors{};
  take(Cursor{&document, "", &errors});
  return errors;
}

BOOST_AUTO_TEST_CASE(syntax_errors_name_their_line) {
  auto error = ParseError("{\n  \"a\": 1,\n  oops\n}");
  BOOST_REQUIRE(error);
  BOOST_CHECK(error->code == ReadErrorCode::kNotJson);
  BOOST_TEST(error->line == 3U);
}

BOOST_AUTO_TEST_CASE(comments_are_taken_only_where_asked) {
  BOOST_CHECK(!ParseError(kCommented));
  BOOST_CHECK(base::ErrorOf<ReadError>([&] { return Parse(kCommented, Comments::kRefused); }));
}

// Two values under one key would read as the last one, and the operator would not learn that the
// first had no effect.
BOOST_AUTO_TEST_CASE(a_key_given_twice_is_refused) {
  auto error = ParseError(R"({"x": [1, {"b/c": [2], "b/c": 3}]})");
  BOOST_REQUIRE(error);
  BOOST_CHECK(error->code == ReadErrorCode::kDuplicateKey);
  BOOST_TEST(error->pointer == "/x/1/b~1c");
}

// A document of a million open brackets would end the process when it is copied or written: each
// level is one level of the stack.
BOOST_AUTO_TEST_CASE(deep_nesting_is_refused) {
  auto error = ParseError(std::string(kDeep, '[') + std::string(kDeep, ']'));
  BOOST_REQUIRE(error);
  BOOST_CHECK(error->code == ReadErrorCode::kTooDeep);
}

BOOST_AUTO_TEST_CASE(unknown_and_missing_keys_are_named) {
  auto errors = Faults(R"({"a~b": 1})", [](const Cursor& at) {
    auto section = OpenSection(at);
    Find(section, "needed", Presence::kRequired);
    CloseSection(section);
  });
  BOOST_REQUIRE(errors.size() == 2);
  BOOST_TEST(errors[0].pointer == "/needed");
  BOOST_TEST(errors[1].pointer == "/a~0b");
}

BOOST_AUTO_TEST_CASE(numbers_are_held_to_their_range_and_kind) {
  auto whole = std::uint16_t{0};
  auto code = [&](std::string_view text) {
    auto errors = Faults(text, [&](const Cursor& at) { TakeNumber(at, kRange, whole); });
    return errors.empty() ? std::optional<ReadErrorCode>{} : errors.front().code;
  };
  BOOST_CHECK(code("10") == std::nullopt);
  BOOST_TEST(whole == 10);
  for (const auto* text : {"0", "11", "-1", "18446744073709551615", "-9223372036854775808"}) {
    BOOST_CHECK(code(text) == ReadErrorCode::kOutOfRange);
  }
  for (const auto* text : {"1.5", "\"1\"", "null", "[1]", "1e99"}) {
    BOOST_CHECK(code(text) == ReadErrorCode::kWrongType);
  }
}

BOOST_AUTO_TEST_CASE(names_are_fit_for_keys_of_the_platform) {
  for (const auto* text : {"desk", "scada-gw", "b1", "north_2.x"}) BOOST_TEST(IsName(text));
  for (const auto* text : {"", "a/b", "-a", "A", "a b", "a\n"}) BOOST_TEST(!IsName(text));
  BOOST_TEST(!IsName(std::string(64, 'a')));
}

BOOST_AUTO_TEST_CASE(a_secret_is_kept_out_of_errors) {
  auto errors = Faults(R"("s3cret")", [](Cursor at) {
    at.secret = true;
    Refuse(at, ReadErrorCode::kNotAKey);
  });
  BOOST_TEST(Describe(errors.at(0)).find("s3cret") == std::string::npos);
}

}  // namespace
}  // namespace anvildrum::json
