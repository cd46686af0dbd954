#include <algorithm>
#include <iterator>
#include <string>

#include "platform/internal/http_call.h"
#include "platform/tests/client_rig.h"

namespace anvildrum::platform {
namespace {

constexpr auto kObjects = 6;
constexpr auto kSize = std::size_t{200'000};
constexpr auto kPage = std::size_t{500'000};  // holds two of them

auto KeyOf(int number) -> std::string { return "t/" + std::to_string(number); }

auto Fill(ClientRig& rig) -> void {
  rig.client = ClientBuilder{}
                   .WithEndpoint(rig.endpoint)
                   .WithBudget(ClientRig::kWideBudget)
                   .WithListPage(kPage)
                   .Build(rig.context);
  auto value = '"' + std::string(kSize, 'x') + '"';
  for (auto i = 0; i < kObjects; ++i) rig.Put(KeyOf(i), value, IfAbsent{});
}

auto KeysOf(const Listing& listing) -> std::vector<std::string> {
  auto keys = std::vector<std::string>{};
  std::ranges::transform(listing.items, std::back_inserter(keys), &Object::key);
  return keys;
}

auto AllKeys() -> std::vector<std::string> {
  auto keys = std::vector<std::string>{};
  for (auto i = 0; i < kObjects; ++i) keys.push_back(KeyOf(i));
  return keys;
}

// Starts a list and runs until the platform has been asked for its first page.
auto StartList(ClientRig& rig, std::optional<Outcome<Listing>>& outcome) -> void {
  auto asked = rig.Counts().list;
  rig.client.List("t/", [&](Outcome<Listing> given) { outcome = std::move(given); });
  rig.RunUntil([&] { return rig.Counts().list > asked; });
}

BOOST_AUTO_TEST_SUITE(ListPages)

// The list of all targets is 6.3 MB at the letter's size, and an answer holds a megabyte.
BOOST_AUTO_TEST_CASE(a_long_list_comes_in_pages) {
  auto rig = ClientRig{};
  Fill(rig);
  auto outcome = rig.Await<Listing>([&](auto done) { rig.client.List("", done); });
  BOOST_CHECK(KeysOf(std::get<Listing>(outcome)) == AllKeys());
  BOOST_TEST(rig.Counts().list == 3U);
}

// A target is announced and another one removed between two pages. The list counts as of its first
// page, so that a watch that goes on from there tells both.
BOOST_AUTO_TEST_CASE(changes_between_pages_are_told_by_the_watch_that_follows) {
  auto rig = ClientRig{};
  Fill(rig);
  auto outcome = std::optional<Outcome<Listing>>{};
  StartList(rig, outcome);
  platform_standin::Put(rig.Store(), "t/00", "1", platform_standin::IfAbsent{});
  platform_standin::Delete(rig.Store(), KeyOf(1), platform_standin::Unconditional{});
  rig.RunUntil([&] { return outcome.has_value(); });
  auto listing = std::get<Listing>(*outcome);
  BOOST_TEST(listing.revision == static_cast<std::uint64_t>(kObjects));
  auto watched = rig.Await<Listing>(
      [&](auto done) { rig.client.Watch("t/", listing.revision, base::milliseconds(10), done); });
  BOOST_CHECK(KeysOf(std::get<Listing>(watched)) == (std::vector<std::string>{"t/00", KeyOf(1)}));
}

// A replica that lags answers the second page: it does not know the last two targets yet, and the
// list would say that they are gone, so that their flows are given up.
BOOST_AUTO_TEST_CASE(a_page_older_than_the_first_fails_the_list) {
  auto rig = ClientRig{};
  Fill(rig);
  auto outcome = std::optional<Outcome<Listing>>{};
  StartList(rig, outcome);
  rig.Faults().stale_reads_revisions = 2;
  rig.RunUntil([&] { return outcome.has_value(); });
  BOOST_CHECK(CodeOf(*outcome) == PlatformErrorCode::kMalformedAnswer);
}

// A platform whose next page begins where this one did would be asked for it without end.
BOOST_AUTO_TEST_CASE(a_page_that_does_not_lead_on_is_refused) {
  auto whole = Listing{5, {}, "t/3"};
  BOOST_TEST(!JoinPage(whole, Listing{5, {}, "t/3"}).has_value());
  BOOST_TEST(JoinPage(whole, Listing{5, {}, "t/4"}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace anvildrum::platform
