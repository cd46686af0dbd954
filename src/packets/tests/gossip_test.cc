#include "packets/gossip.h"

#include <boost/test/unit_test.hpp>
#include <set>

#include "packets/tests/frame.h"

namespace anvildrum::packets {
namespace {

using base::seconds;

constexpr auto kStart = base::TimePoint{seconds{1000}};
constexpr auto kFirstAgent = Address{0x0a010001};
constexpr auto kDesk = base::ServiceId{11};
constexpr auto kMaxNewPeers = kMaxGossipPeers - kGossipRepeats;

auto Report(View& view, Address agent, base::TimePoint now) -> void {
  TakeReport(view,
             {.agent = agent,
              .service = kDesk,
              .start = 1,
              .sequence = static_cast<std::uint64_t>(now.time_since_epoch().count()),
              .state = TargetState::kReady},
             now);
}

auto ViewOf(Address agents) -> View {
  auto view = View{};
  for (auto i = Address{0}; i < agents; ++i) Report(view, kFirstAgent + i, kStart);
  return view;
}

auto Named(const Hello& hello) -> std::set<Address> {
  auto named = std::set<Address>{};
  for (const auto& peer : hello.peers) named.insert(peer.agent);
  return named;
}

// Builds messages until each live agent has been announced.
auto AnnounceAll(const View& view, GossipState& turn, base::TimePoint now) -> void {
  for (auto i = std::size_t{0}; i <= view.members.size() / kMaxNewPeers; ++i) {
    NextGossip(view, turn, now);
  }
}

// A balancer starts while the platform is unavailable and knows no agent. With more than 90 agents
// it learned of the others one part a second and placed all openings on those that it knew.
BOOST_AUTO_TEST_CASE(a_balancer_that_knows_nobody_is_told_of_all_at_once) {
  const auto view = ViewOf(2 * kMaxGossipPeers + 1);
  const auto parts = FullGossip(view, kStart);
  BOOST_TEST(parts.size() == 3U);
  auto all = std::set<Address>{};
  for (const auto& part : parts) {
    BOOST_TEST(part.peers.size() <= kMaxGossipPeers);
    all.merge(Named(part));
  }
  BOOST_TEST(all.size() == 2 * kMaxGossipPeers + 1);
  BOOST_TEST(FullGossip(View{}, kStart).empty());
}

// An agent has started and reported only to this balancer. The next messages name it independently
// of the round robin, and they do not name silent agents.
BOOST_AUTO_TEST_CASE(a_new_agent_is_told_of_in_the_next_messages) {
  auto view = ViewOf(200);
  auto turn = GossipState{};
  AnnounceAll(view, turn, kStart);
  const auto later = kStart + seconds{60};
  for (auto i = Address{1}; i < 200; ++i) Report(view, kFirstAgent + i, later);
  Report(view, kFirstAgent + 500, later);
  for (auto i = 0; i < 3; ++i) {
    const auto hello = NextGossip(view, turn, later);
    BOOST_TEST(Named(hello).contains(kFirstAgent + 500));
    BOOST_TEST(!Named(hello).contains(kFirstAgent));
    BOOST_TEST(hello.peers.size() == kGossipRepeats + 1);
  }
}

// After a release or a power failure more agents are new than one message holds. Those that did not
// fit were announced in the round robin of all others, which took minutes on a large site.
BOOST_AUTO_TEST_CASE(all_new_agents_are_told_of_by_full_messages) {
  for (const auto agents :
       {kMaxNewPeers + 1, 2 * kMaxNewPeers + 1, 3 * kMaxNewPeers + 1, std::size_t{2000}}) {
    auto view = ViewOf(static_cast<Address>(agents));
    auto turn = GossipState{};
    auto named = std::set<Address>{};
    auto now = kStart;
    for (auto told = std::size_t{0}; told < agents; told += kMaxNewPeers) {
      for (auto i = Address{0}; i < agents; ++i) Report(view, kFirstAgent + i, now);
      const auto hello = NextGossip(view, turn, now);
      BOOST_TEST(hello.peers.size() <= kMaxGossipPeers);
      named.merge(Named(hello));
      now += seconds{1};
    }
    BOOST_TEST(named.size() == agents);
  }
}

// A failure domain was cut off and is reachable again, while its records stayed known. Its agents
// must be announced as new ones are, as fast as full messages allow, since other balancers have not
// heard of them meanwhile.
BOOST_AUTO_TEST_CASE(agents_that_come_back_to_life_are_told_of_as_new) {
  constexpr auto agents = Address{2 * kMaxNewPeers + 1};
  auto view = View{};
  for (auto i = Address{0}; i < agents; ++i) AddRecord(view, kFirstAgent + i, kDesk, kStart);
  auto turn = GossipState{};
  BOOST_TEST(NextGossip(view, turn, kStart).peers.empty());
  auto now = kStart + seconds{60};
  auto named = std::set<Address>{};
  for (auto message = 0; message < 3; ++message) {
    for (auto i = Address{0}; i < agents; ++i) Report(view, kFirstAgent + i, now);
    named.merge(Named(NextGossip(view, turn, now)));
    now += seconds{1};
  }
  BOOST_TEST(named.size() == agents);
}

// All agents are repeated round robin; on a small site each message names all of them.
BOOST_AUTO_TEST_CASE(all_agents_are_told_of_again_in_turn) {
  for (const auto agents : {Address{10}, Address{90}, Address{201}}) {
    auto view = ViewOf(agents);
    auto turn = GossipState{};
    AnnounceAll(view, turn, kStart);
    const auto later = kStart + kGossipNewFor;
    for (auto i = Address{0}; i < agents; ++i) Report(view, kFirstAgent + i, later);
    auto named = std::set<Address>{};
    for (auto message = Address{0}; message < agents; message += kGossipRepeats) {
      named.merge(Named(NextGossip(view, turn, later)));
    }
    BOOST_TEST(named.size() == agents);
  }
}

// Returns a hello between balancers with all fields set and the maximum number of drained domains.
auto FullHello() -> Hello {
  auto hello = FullGossip(ViewOf(2 * kMaxGossipPeers), kStart).front();
  BOOST_TEST(hello.peers.size() == kMaxGossipPeers);
  hello.revision = 1ULL << 32;
  hello.drained = DrainedOf(1ULL << 32, MostDrained());
  hello.confirmed_ago = seconds{60};
  hello.mark = 1U << 31;
  hello.echo = base::Echo{.mark = 1U << 31, .held = base::kMarkFor};
  hello.balancers = 5000;
  hello.holder = 1U << 31;
  return hello;
}

// A hello between balancers with all fields set and some drained domains could be longer than a
// frame, and the network would drop or truncate it.
BOOST_AUTO_TEST_CASE(a_full_message_fits_into_a_frame) {
  BOOST_TEST(EncodeControl(FullHello()).size() <= kFrame);
}

// A failure domain is unreachable while the agents of another one start. Both lists together are
// longer than a frame; the message was lost, and with it the confirmation of the configuration.
BOOST_AUTO_TEST_CASE(agents_out_of_reach_go_apart_from_a_full_list) {
  for (const auto peers : {std::size_t{0}, kGossipRepeats, kMaxGossipPeers / 2, kMaxGossipPeers}) {
    for (const auto count : {std::size_t{1}, kMaxOutOfReach / 2, kMaxOutOfReach}) {
      auto hello = FullHello();
      hello.peers.resize(peers);
      for (auto i = Address{0}; i < count; ++i) hello.out_of_reach.push_back(kFirstAgent + i);
      auto out_of_reach = std::size_t{0};
      auto named = std::size_t{0};
      for (const auto& part : SplitIntoFrames(hello)) {
        BOOST_TEST(EncodeControl(part).size() <= kFrame);
        BOOST_TEST((!part.peers.empty() || peers == 0 || !part.listed));
        out_of_reach += part.out_of_reach.size();
        named += part.peers.size();
      }
      BOOST_TEST(out_of_reach == count);
      BOOST_TEST(named == peers);
    }
  }
}

// More agents are new than a message holds; the others follow in later messages.
BOOST_AUTO_TEST_CASE(more_new_agents_than_fit_do_not_make_a_message_longer) {
  const auto view = ViewOf(300);
  auto turn = GossipState{};
  BOOST_TEST(NextGossip(view, turn, kStart).peers.size() <= kMaxGossipPeers);
}

}  // namespace
}  // namespace anvildrum::packets
