#include "steering/flow_table.h"

#include <boost/test/unit_test.hpp>

namespace anvildrum::steering {
namespace {

auto MakeFlow(std::uint32_t number) -> Fingerprint {
  return FingerprintOf({base::EndpointFromV4(number, 1000), base::ServiceIdOf("desk")});
}

BOOST_AUTO_TEST_CASE(a_hint_is_found_until_it_is_erased) {
  auto table = MakeFlowTable(64);
  Insert(table, MakeFlow(1), {{7}, 3});
  BOOST_REQUIRE(Find(table, MakeFlow(1)) != nullptr);
  BOOST_TEST(Find(table, MakeFlow(1))->target.value == 7u);
  BOOST_TEST(Find(table, MakeFlow(2)) == nullptr);
  Erase(table, MakeFlow(1));
  BOOST_TEST(Find(table, MakeFlow(1)) == nullptr);
  BOOST_TEST(table.size == 0u);
}

// A flood of new flows fills the table. It must not grow, and entries in use must stay.
BOOST_AUTO_TEST_CASE(a_full_table_evicts_unused_entries_and_does_not_grow) {
  auto table = MakeFlowTable(1024);
  auto memory = MemoryOf(table);
  for (auto i = 0U; i < 100; ++i) Insert(table, MakeFlow(i), {{i}, 1});
  auto kept = 0U;
  for (auto round = 0U; round < 200; ++round) {
    Tick(table);
    for (auto i = 0U; i < 100; ++i) Find(table, MakeFlow(i));
    for (auto i = 0U; i < 50; ++i) Insert(table, MakeFlow(1000 + round * 50 + i), {{i}, 1});
  }
  for (auto i = 0U; i < 100; ++i) kept += Find(table, MakeFlow(i)) != nullptr ? 1 : 0;
  BOOST_TEST(kept >= 99u);
  BOOST_TEST(MemoryOf(table) == memory);
  BOOST_TEST(table.size <= 1024u);
  BOOST_TEST(table.evictions > 0u);
}

BOOST_AUTO_TEST_CASE(the_service_is_part_of_the_fingerprint) {
  auto client = base::EndpointFromV4(1, 1000);
  auto desk = FingerprintOf({client, base::ServiceIdOf("desk")});
  auto mapper = FingerprintOf({client, base::ServiceIdOf("mapper")});
  BOOST_TEST(!(desk == mapper));
}

}  // namespace
}  // namespace anvildrum::steering
