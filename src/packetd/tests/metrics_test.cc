#include "packetd/metrics.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace anvildrum::packetd {
namespace {

constexpr auto kStart = base::TimePoint{base::seconds{1000}};

auto Page(const packets::Agent& agent, base::TimePoint now) -> std::string {
  auto registry = telemetry::Registry{};
  Export(registry, CountsOf(agent, now));
  return telemetry::RenderPrometheus(registry);
}

auto Has(const std::string& page, std::string_view line) -> bool {
  return page.find("\n" + std::string(line) + "\n") != std::string::npos;
}

BOOST_AUTO_TEST_SUITE(metrics)

// Guards against reasons that are mixed up, and against series that the registry rejects.
BOOST_AUTO_TEST_CASE(counters_of_shortages_are_served_by_reason) {
  auto agent = packets::Agent{};
  agent.counters.shortage = {.shortages = 2,
                             .admitted_urgent_first = 3,
                             .turned_away = {0, 4, 5, 6, 7},
                             .left_to_copies = 8};
  const auto page = Page(agent, kStart);
  BOOST_TEST(Has(page, "anvildrum_packets_shortages_total 2"));
  BOOST_TEST(Has(page, "anvildrum_packets_admitted_first_total 3"));
  BOOST_TEST(Has(page, "anvildrum_packets_left_to_copies_total 8"));
  BOOST_TEST(Has(page, "anvildrum_packets_turned_away_total{reason=\"slots\"} 4"));
  BOOST_TEST(Has(page, "anvildrum_packets_turned_away_total{reason=\"priority\"} 5"));
  BOOST_TEST(Has(page, "anvildrum_packets_turned_away_total{reason=\"completion\"} 6"));
  BOOST_TEST(Has(page, "anvildrum_packets_turned_away_total{reason=\"caller\"} 7"));
  BOOST_TEST(!Has(page, "anvildrum_metrics_rejected_total 1"));
}

// Guards against a gauge that stays at 1 where no opening arrives after the shortage.
BOOST_AUTO_TEST_CASE(the_gauge_of_a_shortage_falls_with_time) {
  auto agent = packets::Agent{};
  agent.admission.short_until = kStart + base::milliseconds{500};
  BOOST_TEST(Has(Page(agent, kStart), "anvildrum_packets_short 1"));
  BOOST_TEST(Has(Page(agent, kStart + base::milliseconds{500}), "anvildrum_packets_short 0"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace anvildrum::packetd
