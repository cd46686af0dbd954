#include "packetd/route_history_codec.h"

#include <boost/test/unit_test.hpp>
#include <limits>
#include <string>

#include "packets/types/packet.h"

namespace anvildrum::packetd {
namespace {

constexpr auto kRoute = packets::End{0xc6120001, 443};

BOOST_AUTO_TEST_CASE(a_part_of_the_route_history_survives_encoding) {
  const auto most = base::ServiceId{std::numeric_limits<std::uint64_t>::max()};
  const auto services = packets::RouteServices{{packets::KeyOf(kRoute), {{0x1f}, most}},
                                               {packets::KeyOf({0xffffffff, 65535}), {}}};
  const auto decoded = DecodeHistoryPart(EncodeHistoryPart(services));
  BOOST_REQUIRE(decoded);
  BOOST_TEST((*decoded == services));
  BOOST_TEST(EncodeHistoryPart({{packets::KeyOf(kRoute), {{0x1f}}}}) ==
             R"({"routes":{"198.18.0.1:443":["1f"]}})");
}

// Fails if a part with an entry that cannot be read counts as the whole history.
BOOST_AUTO_TEST_CASE(a_malformed_part_is_rejected_whole) {
  for (const auto* text :
       {"", "[]", "{}", R"({"routes": []})", R"({"routes": {"198.18.0.1": ["1f"]}})",
        R"({"routes": {"198.18.0.1:65536": ["1f"]}})", R"({"routes": {"198.18.0.1:443": "1f"}})",
        R"({"routes": {"198.18.0.1:443": [31]}})", R"({"routes": {"198.18.0.1:443": ["1g"]}})",
        R"({"routes": {"198.18.0.1:443": [""]}})", R"({"routes": {"host:443": ["1f"]}})"}) {
    BOOST_TEST(!DecodeHistoryPart(text), text);
  }
}

BOOST_AUTO_TEST_CASE(keys_of_other_objects_name_no_part) {
  BOOST_TEST((HistoryPartOfKey("anvildrum-routes/" + HistoryPartName(7)) == std::size_t{7}));
  for (const auto* key : {"anvildrum-routes/part-8", "anvildrum-routes/part-", "anvildrum-routes/7",
                          "anvildrum-routes/part-x", "part"}) {
    BOOST_TEST(!HistoryPartOfKey(key), key);
  }
}

}  // namespace
}  // namespace anvildrum::packetd
