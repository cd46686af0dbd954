#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "net/relay_socket.h"
#include "run_until.h"

namespace anvildrum::net {
namespace {

auto ToBytes(std::string_view text) -> std::span<const std::uint8_t> {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

auto ToText(std::span<const std::uint8_t> bytes) -> std::string {
  return {bytes.begin(), bytes.end()};
}

/// A child with the messages it got.
struct Child {
  std::unique_ptr<RelayLink> link;
  std::vector<std::string> got;
  int ups = 0;
  int downs = 0;
};

struct Fixture {
  boost::asio::io_context io;
  RelayContext parents;
  RelayContext children;
  CurveKeyPair parent_keys = GenerateCurveKeys();
  CurveKeyPair child_keys = GenerateCurveKeys();
  std::vector<std::string> got;
  std::unique_ptr<RelayServer> server;

  /// The parent echoes what it gets.
  auto OpenServer(RelayServerOptions options) -> void {
    if (options.local.port == 0) options.local = Loopback();
    auto on_message = [this](const RelayPeer& from, std::span<const std::uint8_t> message) {
      this->got.push_back(ToText(message));
      this->server->Send(from, message);
    };
    this->server = RelayServer::Open(this->parents, this->io, options, on_message).value();
  }

  auto OpenSecureServer(const CurveKeyPair& own, std::vector<std::string> accepted,
                        const base::Endpoint& local = Loopback()) -> void {
    this->OpenServer({.local = local, .security = {.own = own, .accepted = std::move(accepted)}});
  }

  auto OpenChild(const RelaySecurity& security) -> std::unique_ptr<Child> {
    auto child = std::make_unique<Child>();
    auto handlers =
        RelayLink::Handlers{.on_message =
                                [raw = child.get()](std::span<const std::uint8_t> message) {
                                  raw->got.push_back(ToText(message));
                                },
                            .on_up = [raw = child.get()] { ++raw->ups; },
                            .on_down = [raw = child.get()] { ++raw->downs; }};
    const auto options = RelayLinkOptions{.parent = this->server->LocalEndpoint(),
                                          .security = security,
                                          .longest_retry = base::milliseconds{200}};
    child->link = RelayLink::Open(this->children, this->io, options, handlers).value();
    return child;
  }

  auto OpenSecureChild(const CurveKeyPair& own, std::vector<std::string> accepted)
      -> std::unique_ptr<Child> {
    return this->OpenChild({.own = own, .accepted = std::move(accepted)});
  }

  auto Echoes(Child& child, const std::string& text) -> bool {
    const auto before = child.got.size();
    if (!RunUntil(this->io, [&] { return child.link->Send(ToBytes(text)); })) return false;
    return RunUntil(this->io, [&] { return child.got.size() > before; }) &&
           child.got.back() == text;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(relay, Fixture)

BOOST_AUTO_TEST_CASE(carries_messages_both_ways_in_order) {
  this->OpenSecureServer(this->parent_keys, {this->child_keys.public_key});
  auto child = this->OpenSecureChild(this->child_keys, {this->parent_keys.public_key});
  BOOST_TEST(RunUntil(this->io, [&] { return child->ups == 1; }));
  constexpr auto messages = std::size_t{500};
  auto sent = std::vector<std::string>{};
  for (auto number = std::size_t{0}; number < messages; ++number) {
    sent.push_back(std::to_string(number));
    BOOST_TEST(child->link->Send(ToBytes(sent.back())));
  }
  BOOST_TEST(RunUntil(this->io, [&] { return child->got.size() == messages; }));
  BOOST_TEST(this->got == sent);
  BOOST_TEST(child->got == sent);
  BOOST_TEST(this->server->Peers().size() == 1U);
}

// A stranger has the parent's address and public key, but its own key isn't on the list. Nothing it
// sends may reach the parent, and nothing may come back.
BOOST_AUTO_TEST_CASE(a_stranger_gets_nothing_through) {
  this->OpenSecureServer(this->parent_keys, {this->child_keys.public_key});
  auto stranger = this->OpenSecureChild(GenerateCurveKeys(), {this->parent_keys.public_key});
  BOOST_TEST(RunUntil(this->io, [&] {
    stranger->link->Send(ToBytes("let me in"));
    return this->server->Counts().keys_refused > 0;
  }));
  auto child = this->OpenSecureChild(this->child_keys, {this->parent_keys.public_key});
  BOOST_TEST(this->Echoes(*child, "hello"));
  BOOST_TEST(this->got == std::vector<std::string>{"hello"});
  BOOST_TEST(stranger->ups == 0);
  BOOST_TEST(stranger->got.empty());
}

// A stranger without any key (NULL mechanism) meets a parent that has keys.
BOOST_AUTO_TEST_CASE(a_child_without_keys_gets_nothing_through) {
  this->OpenSecureServer(this->parent_keys, {this->child_keys.public_key});
  auto stranger = this->OpenChild({.own = {}, .accepted = {}, .insecure = true});
  BOOST_TEST(RunUntil(this->io, [&] {
    stranger->link->Send(ToBytes("let me in"));
    return stranger->link->Counts().handshakes_failed > 0;
  }));
  BOOST_TEST(stranger->ups == 0);
  BOOST_TEST(this->got.empty());
}

// An impostor listens where the parent should, with a key pair of its own. The child must not talk
// to it: it would take its configuration from the impostor.
BOOST_AUTO_TEST_CASE(a_child_does_not_talk_to_an_impostor) {
  this->OpenSecureServer(GenerateCurveKeys(), {this->child_keys.public_key});
  auto child = this->OpenSecureChild(this->child_keys, {this->parent_keys.public_key});
  BOOST_TEST(RunUntil(this->io, [&] { return child->link->Counts().handshakes_failed > 0; }));
  BOOST_TEST(child->ups == 0);
  BOOST_TEST(!child->link->Send(ToBytes("hello")));
}

// The operator rotates the children's keys: for a while some children have the old key and some the
// new one. Both must be served.
BOOST_AUTO_TEST_CASE(both_child_keys_of_an_overlap_work) {
  const auto next = GenerateCurveKeys();
  this->OpenSecureServer(this->parent_keys, {this->child_keys.public_key, next.public_key});
  auto old_child = this->OpenSecureChild(this->child_keys, {this->parent_keys.public_key});
  auto new_child = this->OpenSecureChild(next, {this->parent_keys.public_key});
  BOOST_TEST(this->Echoes(*old_child, "old"));
  BOOST_TEST(this->Echoes(*new_child, "new"));
}

// The operator rotates the parent's key. Children list both; the parent restarts with the new one
// on the same address, and the connected child finds it by itself.
BOOST_AUTO_TEST_CASE(a_child_follows_the_parent_to_its_next_key) {
  const auto next = GenerateCurveKeys();
  this->OpenSecureServer(this->parent_keys, {this->child_keys.public_key});
  const auto local = this->server->LocalEndpoint();
  auto child =
      this->OpenSecureChild(this->child_keys, {this->parent_keys.public_key, next.public_key});
  BOOST_TEST(this->Echoes(*child, "before"));
  this->server.reset();
  BOOST_TEST(RunUntil(this->io, [&] { return child->downs == 1; }));
  this->OpenSecureServer(next, {this->child_keys.public_key}, local);
  BOOST_TEST(this->Echoes(*child, "after"));
  BOOST_TEST(child->ups == 2);
}

BOOST_AUTO_TEST_CASE(runs_without_keys_only_where_told) {
  this->OpenServer({.security = {.own = {}, .accepted = {}, .insecure = true}});
  auto child = this->OpenChild({.own = {}, .accepted = {}, .insecure = true});
  BOOST_TEST(this->Echoes(*child, "hello"));
  const auto error = base::ErrorOf<NetError>(
      [&] { return RelayServer::Open(this->children, this->io, {.local = Loopback()}, {}); });
  BOOST_REQUIRE(error.has_value());
  BOOST_TEST((error->code == NetErrorCode::kNoKeys));
}

BOOST_AUTO_TEST_CASE(names_the_place_of_a_bad_key_and_not_the_key) {
  const auto security = RelaySecurity{.own = this->parent_keys, .accepted = {"short"}};
  const auto error = base::ErrorOf<NetError>([&] {
    return RelayServer::Open(this->parents, this->io, {.local = Loopback(), .security = security},
                             {});
  });
  BOOST_REQUIRE(error.has_value());
  BOOST_TEST((error->code == NetErrorCode::kBadKey));
  BOOST_TEST(error->where == "accepted/0");
}

// More children come than the parent has places for. The known one keeps its place.
BOOST_AUTO_TEST_CASE(peers_are_bounded) {
  this->OpenServer({.security = {.own = {}, .accepted = {}, .insecure = true}, .max_peers = 1});
  auto first = this->OpenChild({.own = {}, .accepted = {}, .insecure = true});
  BOOST_TEST(this->Echoes(*first, "first"));
  auto second = this->OpenChild({.own = {}, .accepted = {}, .insecure = true});
  BOOST_TEST(RunUntil(this->io, [&] { return second->link->Send(ToBytes("second")); }));
  BOOST_TEST(RunUntil(this->io, [&] { return this->server->Counts().peers_refused == 1; }));
  BOOST_TEST(this->Echoes(*first, "again"));
  BOOST_TEST(second->got.empty());
}

BOOST_AUTO_TEST_CASE(a_peer_that_left_is_forgotten_at_the_next_send) {
  this->OpenServer({.security = {.own = {}, .accepted = {}, .insecure = true}});
  auto child = this->OpenChild({.own = {}, .accepted = {}, .insecure = true});
  BOOST_TEST(this->Echoes(*child, "hello"));
  const auto peer = this->server->Peers().front();
  child.reset();
  BOOST_TEST(RunUntil(this->io, [&] { return !this->server->Send(peer, ToBytes("gone?")); }));
  BOOST_TEST(this->server->Peers().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace anvildrum::net
