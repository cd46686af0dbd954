#include <boost/test/unit_test.hpp>

#include "requests/tests/rig.h"

namespace anvildrum::requests {
namespace {

const auto kTokenOf15Bytes = Bytes{0x4f, 1, 0, 7};
const auto kResponse = Bytes{0x60, 0x45, 0x77, 0x77};  // 2.05, ACK of message ID 0x7777

// A client and a target send malformed datagrams, and unexpected responses and requests. Each has
// to be counted by its kind, none may be forwarded, and the next request has to be answered.
BOOST_AUTO_TEST_CASE(invalid_messages_of_either_side_are_counted_by_kind) {
  auto rig = MakeRig(WithoutHandOn());
  FromClient(rig, Get(1, 1));
  auto forwarded = Forwarded(rig);
  auto get = rig.to_target.at(0);
  FromClient(rig, kTokenOf15Bytes);
  BOOST_CHECK(rig.counts == std::vector{Counter::kClientMalformed});
  FromClient(rig, kResponse);
  BOOST_CHECK(rig.counts == std::vector{Counter::kUnexpectedFromClient});
  BOOST_TEST(rig.to_target.empty());
  Feed(rig, TargetDatagram{kFlow, kTokenOf15Bytes});
  BOOST_CHECK(rig.counts == std::vector{Counter::kTargetMalformed});
  BOOST_TEST(rig.to_client.empty());
  Feed(rig, TargetDatagram{kFlow, get});
  BOOST_CHECK(rig.counts == std::vector{Counter::kUnexpectedFromTarget});
  BOOST_TEST(rig.to_client.empty());
  Answer(rig, forwarded, 1);
  BOOST_CHECK(rig.counts == std::vector{Counter::kAnswered});
  BOOST_CHECK(Sent(rig).token == TokenOf(1));
}

}  // namespace
}  // namespace anvildrum::requests
