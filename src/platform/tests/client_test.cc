#include "platform/client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "platform/tests/client_rig.h"

namespace anvildrum::platform {
namespace {

BOOST_AUTO_TEST_CASE(objects_are_written_read_listed_and_deleted) {
  auto rig = ClientRig{};
  BOOST_TEST(std::get<std::uint64_t>(rig.Put("t/a b", R"({"x":1})", IfAbsent{})) == 1U);
  BOOST_CHECK(CodeOf(rig.Put("t/a b", "2", IfAbsent{})) == PlatformErrorCode::kConflict);
  BOOST_CHECK(CodeOf(rig.Put("t/a b", "2", IfMatch{9})) == PlatformErrorCode::kConflict);
  BOOST_TEST(std::get<std::uint64_t>(rig.Put("t/a b", "2", IfMatch{1})) == 2U);
  BOOST_CHECK(std::get<Object>(rig.Get("t/a b")) == (Object{"t/a b", 2, false, "2"}));
  rig.Put("other", "3", IfAbsent{});
  auto listed = rig.Await<Listing>([&](auto done) { rig.client.List("t/", done); });
  BOOST_TEST(std::get<Listing>(listed).revision == 3U);
  BOOST_TEST(std::get<Listing>(listed).items.size() == 1U);
  rig.Await<std::monostate>([&](auto done) { rig.client.Delete("t/a b", IfMatch{2}, done); });
  BOOST_CHECK(CodeOf(rig.Get("t/a b")) == PlatformErrorCode::kNotFound);
}

BOOST_AUTO_TEST_CASE(a_watch_waits_for_a_change_and_is_counted) {
  auto rig = ClientRig{};
  auto outcome = std::optional<Outcome<Listing>>{};
  rig.client.Watch("t/", 0, base::minutes(1), [&](auto given) { outcome = given; });
  rig.RunUntil([&] { return rig.Counts().waiting_watches == 1; });
  BOOST_TEST(rig.client.Counts().waiting_watches == 1U);
  rig.Put("other", "1", IfAbsent{});
  rig.Put("t/a", "2", IfAbsent{});
  rig.RunUntil([&] { return outcome.has_value(); });
  auto listing = std::get<Listing>(*outcome);
  BOOST_TEST(listing.revision == 2U);
  BOOST_CHECK(listing.items == (std::vector{Object{"t/a", 2, false, "2"}}));
  BOOST_TEST(rig.client.Counts().waiting_watches == 0U);
  BOOST_TEST(rig.Counts().waiting_watches == 0U);
}

BOOST_AUTO_TEST_CASE(a_watch_without_changes_ends_empty_and_an_old_one_is_told) {
  auto rig = ClientRig{};
  auto watch = [&](std::uint64_t after) {
    return rig.Await<Listing>(
        [&](auto done) { rig.client.Watch("", after, base::milliseconds(10), done); });
  };
  BOOST_TEST(std::get<Listing>(watch(0)).items.empty());
  rig.Store().history_limit = 1;
  for (auto i = 0; i < 3; ++i) rig.Put("k" + std::to_string(i), "0", IfAbsent{});
  BOOST_CHECK(CodeOf(watch(1)) == PlatformErrorCode::kTooOld);
}

BOOST_AUTO_TEST_CASE(values_over_the_limit_are_refused_as_too_large) {
  auto rig = ClientRig{};
  auto value = '"' + std::string(platform_standin::kMaxValueSize, 'x') + '"';
  BOOST_CHECK(CodeOf(rig.Put("k", value, IfAbsent{})) == PlatformErrorCode::kTooLarge);
  BOOST_CHECK(!CodeOf(rig.Put("k", "\"small\"", IfAbsent{})).has_value());
}

BOOST_AUTO_TEST_CASE(calls_over_the_budget_are_not_sent) {
  auto rig = ClientRig{};
  auto budget = BudgetPolicy{};
  budget.reads = {0, 2};
  rig.client = ClientBuilder{}.WithEndpoint(rig.endpoint).WithBudget(budget).Build(rig.context);
  rig.Get("a");
  rig.Get("a");
  BOOST_CHECK(CodeOf(rig.Get("a")) == PlatformErrorCode::kOverBudget);
  BOOST_TEST(rig.Counts().get == 2U);
}

BOOST_AUTO_TEST_CASE(the_next_endpoint_is_tried_when_one_cannot_be_reached) {
  auto rig = ClientRig{};
  auto closed = base::Endpoint{};
  {
    auto other = platform_standin::Server(rig.context);
    closed = other.Listen(base::EndpointFromV4(0x7f000001, 0)).value();
  }
  auto builder = ClientBuilder{};
  rig.client = builder.WithEndpoint(closed).Build(rig.context);
  BOOST_CHECK(CodeOf(rig.Get("a")) == PlatformErrorCode::kUnreachable);
  rig.client = builder.WithEndpoint(rig.endpoint).Build(rig.context);
  BOOST_CHECK(CodeOf(rig.Get("a")) == PlatformErrorCode::kNotFound);
}

BOOST_AUTO_TEST_CASE(no_callback_runs_after_destruction) {
  auto rig = ClientRig{};
  auto called = false;
  {
    auto client = ClientBuilder{}.WithEndpoint(rig.endpoint).Build(rig.context);
    client.Watch("", 0, base::minutes(1), [&](auto) { called = true; });
    client.Get("a", [](auto) {});
    rig.RunUntil([&] { return rig.Counts().waiting_watches == 1; });
  }
  rig.RunUntil([&] { return rig.Counts().waiting_watches == 0; });
  BOOST_TEST(!called);
}

// Whoever reaches the platform's port with something that is not HTTP gets 400 and a closed
// connection; the platform goes on.
BOOST_AUTO_TEST_CASE(the_standin_answers_rubbish_with_400) {
  auto rig = ClientRig{};
  auto socket = boost::asio::ip::tcp::socket(rig.context);
  socket.connect({boost::asio::ip::address_v4::loopback(), rig.endpoint.port});
  boost::asio::write(socket, boost::asio::buffer(std::string_view("\x01rubbish\r\n\r\n")));
  auto answer = std::string{};
  auto done = false;
  boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(answer), "\r\n",
                                [&](auto, auto) { done = true; });
  rig.RunUntil([&] { return done; });
  BOOST_TEST(answer.starts_with("HTTP/1.1 400"));
  BOOST_TEST(rig.Counts().malformed == 1U);
}

}  // namespace
}  // namespace anvildrum::platform
