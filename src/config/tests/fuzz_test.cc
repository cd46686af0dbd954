#include <array>
#include <boost/test/unit_test.hpp>
#include <random>

#include "config/configuration.h"
#include "config/patch.h"
#include "config/tests/sample.h"

namespace anvildrum::config {
namespace {

constexpr auto kSeed = 20'261'202U;
constexpr auto kRuns = 4'000;

// Random bytes rarely give valid JSON, so most mutations insert these fragments.
constexpr auto kFragments =
    std::array<std::string_view, 18>{"{}",
                                     "[]",
                                     "null",
                                     "-1",
                                     "1e308",
                                     "\"\"",
                                     "\"/services\"",
                                     "\"add\"",
                                     "\"~2\"",
                                     "\"copy\"",
                                     "true",
                                     "[[[[",
                                     "\"\\u0000\"",
                                     "18446744073709551616",
                                     "\"/services/desk/addresses/-\"",
                                     "\"/services/desk/addresses/01\"",
                                     "\"/services/desk/addresses/99999999999999999999\"",
                                     "\"/services/desk/addresses/7\""};

auto Mutate(std::string text, std::mt19937& random) -> std::string {
  for (auto change = 0U; change <= random() % 3; ++change) {
    auto at = random() % text.size();
    if (random() % 4 == 0) {
      text[at] = static_cast<char>(random());
      continue;
    }
    auto end = text.find_first_of(",:]}", at);
    if (end == std::string::npos) end = text.size();
    auto start = text.find_last_of(",:[{", at);
    start = start == std::string::npos ? 0 : start + 1;
    if (start > end) continue;
    text.replace(start, end - start, kFragments.at(random() % kFragments.size()));
  }
  return text;
}

// Any document from the platform or a patch file has to give a value or a typed error, and accepted
// ones have to survive a round trip. Otherwise an instance would exit, or refuse a number that was
// reported to an operator as in force.
BOOST_AUTO_TEST_CASE(mutated_documents_give_typed_errors) {
  auto random = std::mt19937(kSeed);
  auto accepted_count = 0;
  auto refused = 0;
  for (auto run = 0; run < kRuns; ++run) {
    auto text = Mutate(std::string(kSample), random);
    auto error = base::ErrorOf<ConfigurationError>([&]() -> base::Result<void> {
      BOOST_LEAF_AUTO(configuration, ParseConfiguration(text));
      BOOST_REQUIRE(ParseConfiguration(Serialize(configuration)).has_value());
      return {};
    });
    BOOST_REQUIRE(!error || !Describe(*error).empty());
    ++(error ? refused : accepted_count);
  }
  BOOST_TEST(accepted_count > 0);
  BOOST_TEST(refused > 0);
}

BOOST_AUTO_TEST_CASE(mutated_patches_are_applied_completely_or_refused) {
  constexpr auto patch = std::string_view{
      R"([{"op":"add","path":"/services/desk/weights/desk-2","value":0.5},
          {"op":"copy","from":"/services/desk","path":"/services/twin"},
          {"op":"replace","path":"/services/twin/addresses","value":["10.0.0.9:1"]},
          {"op":"replace","path":"/services/desk/weights","value":{"desk-1":3}},
          {"op":"test","path":"/number","value":7}])"};
  auto random = std::mt19937(kSeed);
  auto accepted_count = 0;
  auto refused = 0;
  for (auto run = 0; run < kRuns; ++run) {
    auto request = Request("p", 7, Mutate(std::string(patch), random));
    auto error = base::ErrorOf<PatchRefusal>([&]() -> base::Result<void> {
      BOOST_LEAF_AUTO(accepted, ApplyPatch(kSample, request, {}));
      BOOST_REQUIRE(ParseConfiguration(accepted.document).has_value());
      BOOST_REQUIRE(accepted.number == 8);
      return {};
    });
    BOOST_REQUIRE(!error || error->number == 7);
    ++(error ? refused : accepted_count);
  }
  BOOST_TEST(accepted_count > 0);
  BOOST_TEST(refused > 0);
}

}  // namespace
}  // namespace anvildrum::config
