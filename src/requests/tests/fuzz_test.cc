#include <boost/test/unit_test.hpp>
#include <random>

#include "requests/tests/rig.h"

namespace anvildrum::requests {
namespace {

constexpr auto kRounds = 20000;
constexpr auto kMaxNoise = 40;
constexpr auto kKept = std::size_t{256};

auto Noise(std::mt19937_64& random) -> Bytes {
  auto bytes = Bytes(random() % kMaxNoise);
  for (auto& byte : bytes) byte = static_cast<std::uint8_t>(random());
  return bytes;
}

auto Altered(std::mt19937_64& random, Bytes bytes) -> Bytes {
  for (auto i = random() % 4; i > 0 && !bytes.empty(); --i) {
    bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
  }
  if (random() % 8 == 0) bytes.resize(random() % (bytes.size() + 1));
  return bytes;
}

// Returns noise, or an altered copy of a datagram that the core sent or received.
auto Draw(std::mt19937_64& random, const std::vector<Bytes>& seen) -> Bytes {
  if (random() % 4 == 0) return Noise(random);
  return Altered(random, seen[random() % seen.size()]);
}

auto Remember(std::vector<Bytes>& seen, const std::vector<Bytes>& sent) -> void {
  for (const auto& bytes : sent) {
    if (seen.size() == kKept) seen.erase(seen.begin());
    seen.push_back(bytes);
  }
}

auto FeedOne(Rig& rig, std::mt19937_64& random, const Bytes& bytes) -> void {
  auto flow = random() % 2 == 0 ? kFlow : kOtherFlow;
  switch (random() % 4) {
    case 0:
      return Feed(rig, TargetDatagram{flow, bytes});
    case 1:
      return Feed(rig, HandOnRequested{flow, base::InstanceId{3}, random() % 9, bytes,
                                       base::milliseconds(100)});
    default:
      return Feed(rig, ClientDatagram{flow, bytes});
  }
}

// Unknown senders and a broken target send random datagrams, some of them nearly valid. The core
// must not crash (the sanitizer build runs this too), keep any request, or send an Echo value to
// the target.
BOOST_AUTO_TEST_CASE(random_datagrams_from_both_sides) {
  auto random = std::mt19937_64{7};
  auto rig = MakeRig(WithoutHandOn());
  auto seen = std::vector<Bytes>{Get(1, 1), world::MakeRequest(world::kPost, 2, TokenOf(2), 2)};
  auto illegal = 0;
  for (auto round = 0; round < kRounds; ++round) {
    rig.now += base::milliseconds(random() % 200);
    FeedOne(rig, random, Draw(random, seen));
    for (const auto& sent : rig.to_target) {
      BOOST_REQUIRE(!ParseMessage(sent).value().echo.has_value());
    }
    for (auto count : rig.counts) illegal += count == Counter::kIllegalTransition ? 1 : 0;
    Remember(seen, rig.to_client);
    Remember(seen, rig.to_target);
  }
  Feed(rig, FlowClosed{kFlow});
  Feed(rig, FlowClosed{kOtherFlow});
  rig.now += base::hours(1);
  Feed(rig, Timer{});
  auto load = RequestLoadOf(*rig.core, rig.now);
  BOOST_TEST(load.running + load.queued + load.offered + load.streams == 0U);
  BOOST_TEST(load.ledger_entries == 0U);
  BOOST_TEST(load.ledger_bytes == 0U);
  BOOST_TEST(illegal == 0);
}

}  // namespace
}  // namespace anvildrum::requests
