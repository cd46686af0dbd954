#include "telemetry/metrics.h"

#include <boost/test/unit_test.hpp>
#include <sstream>
#include <string>

namespace anvildrum::telemetry {
namespace {

/// The value on the line that starts with `series` and a space; empty when there is none.
auto ValueOf(const std::string& text, const std::string& series) -> std::string {
  auto stream = std::istringstream{text};
  for (auto line = std::string{}; std::getline(stream, line);) {
    if (line.starts_with(series + " ")) return line.substr(series.size() + 1);
  }
  return {};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(metrics)

BOOST_AUTO_TEST_CASE(renders_counters_and_gauges) {
  auto registry = Registry{};
  auto& packets =
      AddCounter(registry, "anvildrum_packets_total", "Packets.", {{"service", "desk"}});
  Increment(packets);
  Increment(packets, 41);
  Set(AddGauge(registry, "anvildrum_flows", "Flows held."), 2.5);
  const auto text = RenderPrometheus(registry);
  BOOST_TEST(
      text.starts_with("# HELP anvildrum_flows Flows held.\n"
                       "# TYPE anvildrum_flows gauge\n"
                       "anvildrum_flows 2.5\n"
                       "# HELP anvildrum_packets_total Packets.\n"
                       "# TYPE anvildrum_packets_total counter\n"
                       "anvildrum_packets_total{service=\"desk\"} 42\n"));
  BOOST_TEST(ValueOf(text, "anvildrum_metrics_rejected_total") == "0");
}

BOOST_AUTO_TEST_CASE(the_same_name_and_labels_give_the_same_handle) {
  auto registry = Registry{};
  auto& first = AddCounter(registry, "a_total", "A.", {{"x", "1"}, {"y", "2"}});
  auto& again = AddCounter(registry, "a_total", "A.", {{"y", "2"}, {"x", "1"}});
  auto& other = AddCounter(registry, "a_total", "A.", {{"x", "2"}, {"y", "2"}});
  BOOST_TEST(&first == &again);
  BOOST_TEST(&first != &other);
}

BOOST_AUTO_TEST_CASE(escapes_help_and_label_values) {
  auto registry = Registry{};
  AddCounter(registry, "a_total", "back\\slash \"q\"\nnext", {{"x", "a\\b\"c\nd"}});
  const auto text = RenderPrometheus(registry);
  BOOST_TEST(text.starts_with("# HELP a_total back\\\\slash \"q\"\\nnext\n"));
  BOOST_TEST(ValueOf(text, R"(a_total{x="a\\b\"c\nd"})") == "0");
}

BOOST_AUTO_TEST_CASE(summarises_a_distribution) {
  auto registry = Registry{};
  auto& delay = AddSummary(registry, "delay_seconds", "Delay.", {{"service", "desk"}});
  constexpr auto values = 10000;
  // 7919 is prime to the count: every value once, in scattered order.
  for (auto step = 0; step < values; ++step) Observe(delay, (step * 7919) % values + 1);
  const auto text = RenderPrometheus(registry);
  const auto quantile = [&](const std::string& q) {
    return std::stod(ValueOf(text, "delay_seconds{service=\"desk\",quantile=\"" + q + "\"}"));
  };
  BOOST_CHECK_CLOSE(quantile("0.5"), 5000.0, 2.0);
  BOOST_CHECK_CLOSE(quantile("0.99"), 9900.0, 1.0);
  BOOST_TEST(ValueOf(text, "delay_seconds_count{service=\"desk\"}") == "10000");
  BOOST_TEST(std::stod(ValueOf(text, "delay_seconds_sum{service=\"desk\"}")) == 50005000.0);
  BOOST_TEST(std::stod(ValueOf(text, "delay_seconds_max{service=\"desk\"}")) == 10000.0);
}

BOOST_AUTO_TEST_CASE(an_empty_summary_claims_no_quantile) {
  auto registry = Registry{};
  AddSummary(registry, "delay_seconds", "Delay.");
  const auto text = RenderPrometheus(registry);
  BOOST_TEST(ValueOf(text, "delay_seconds{quantile=\"0.5\"}") == "NaN");
  BOOST_TEST(ValueOf(text, "delay_seconds_count") == "0");
  BOOST_TEST(ValueOf(text, "delay_seconds_max") == "0");
}

// A label that carries a client's address would give a series for each client: memory and every
// scrape grow without bound. Past the limit the handles still work, and the page says so.
BOOST_AUTO_TEST_CASE(series_are_bounded) {
  auto registry = Registry{};
  for (auto client = std::size_t{0}; client < kMaxSeries + 5; ++client) {
    Increment(AddCounter(registry, "a_total", "A.", {{"client", std::to_string(client)}}));
  }
  const auto text = RenderPrometheus(registry);
  BOOST_TEST(ValueOf(text, "anvildrum_metrics_rejected_total") == "5");
  BOOST_TEST(ValueOf(text, "a_total{client=\"" + std::to_string(kMaxSeries) + "\"}").empty());
}

BOOST_AUTO_TEST_CASE(rejects_bad_names_and_mixed_kinds) {
  auto registry = Registry{};
  AddCounter(registry, "1bad", "Bad.");
  AddCounter(registry, "good_total", "Good.", {{"bad-label", "x"}});
  AddCounter(registry, "good_total", "Good.");
  AddGauge(registry, "good_total", "Other kind.");
  const auto text = RenderPrometheus(registry);
  BOOST_TEST(ValueOf(text, "anvildrum_metrics_rejected_total") == "3");
  BOOST_TEST(text.find("1bad") == std::string::npos);
  BOOST_TEST(ValueOf(text, "good_total") == "0");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace anvildrum::telemetry
