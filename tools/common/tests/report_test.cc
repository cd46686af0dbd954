#include "tools/common/report.h"

#include <boost/test/unit_test.hpp>

namespace anvildrum::tools {
namespace {

constexpr auto kBlock = std::size_t{1024};

BOOST_AUTO_TEST_CASE(report_has_the_asked_size_and_is_whole) {
  auto report = MakeReport("report-1", kReportSize);
  BOOST_TEST(report.size() == kReportSize);
  BOOST_TEST(ReportIsWhole(report));
}

// A client that is handed a report with a block missing, twice or of another report must notice.
BOOST_AUTO_TEST_CASE(report_with_a_wrong_block_is_not_whole) {
  auto report = MakeReport("report-1", 8 * kBlock);
  auto missing = report.substr(0, kBlock) + report.substr(2 * kBlock);
  auto doubled = report.substr(0, 2 * kBlock) + report.substr(kBlock);
  auto foreign = MakeReport("report-2", 8 * kBlock).substr(0, kBlock) + report.substr(kBlock);
  BOOST_TEST(!ReportIsWhole(missing));
  BOOST_TEST(!ReportIsWhole(doubled));
  BOOST_TEST(!ReportIsWhole(foreign));
  BOOST_TEST(!ReportIsWhole(report.substr(0, report.size() - 1)));
  BOOST_TEST(!ReportIsWhole(""));
}

}  // namespace
}  // namespace anvildrum::tools
