#include "telemetry/internal/pipe_sink.h"

#include <fcntl.h>
#include <spdlog/logger.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <climits>
#include <cstddef>
#include <memory>
#include <string>

namespace anvildrum::telemetry {
namespace {

/// A pipe whose reader takes nothing until asked to.
struct StalledPipe {
  StalledPipe() { BOOST_REQUIRE(::pipe2(this->ends.data(), O_CLOEXEC) == 0); }
  ~StalledPipe() {
    ::close(this->ends[0]);
    ::close(this->ends[1]);
  }
  StalledPipe(const StalledPipe&) = delete;
  auto operator=(const StalledPipe&) -> StalledPipe& = delete;

  /// All that is in it now.
  auto Drain() -> std::string {
    ::fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
    auto text = std::string{};
    auto part = std::array<char, 65536>{};
    for (;;) {
      const auto got = ::read(this->ends[0], part.data(), part.size());
      if (got <= 0) return text;
      text.append(part.data(), static_cast<std::size_t>(got));
    }
  }

  std::array<int, 2> ends{};
};

auto LoggerTo(int descriptor) -> spdlog::logger {
  auto logger = spdlog::logger("test", std::make_shared<PipeSink>(descriptor));
  logger.set_pattern("%v");
  return logger;
}

auto Lines(const std::string& text) -> std::size_t {
  return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(pipe_sink)

// The collector of the logs stalls and the pipe fills up. The process goes on: it would stand still
// for good in this test otherwise. When the collector reads again, each line is there or counted.
BOOST_AUTO_TEST_CASE(a_reader_that_stalls_costs_lines_but_no_time) {
  constexpr auto lines_written = std::size_t{20'000};
  auto pipe = StalledPipe{};
  auto logger = LoggerTo(pipe.ends[1]);
  for (auto i = std::size_t{0}; i < lines_written; ++i) logger.info("event=traffic number={}", i);
  const auto before = Lines(pipe.Drain());
  BOOST_TEST(before > 0U);
  BOOST_TEST(before < lines_written);
  logger.info("event=after");
  const auto expected =
      "event=log_lines_lost count=" + std::to_string(lines_written - before) + "\nevent=after\n";
  BOOST_TEST(pipe.Drain() == expected);
  logger.info("event=later");
  BOOST_TEST(pipe.Drain() == "event=later\n");
}

// One line may be longer than what a pipe takes without waiting. It is cut, and still one line.
BOOST_AUTO_TEST_CASE(a_line_that_is_too_long_is_cut) {
  auto pipe = StalledPipe{};
  auto logger = LoggerTo(pipe.ends[1]);
  logger.info(std::string(std::size_t{3} * PIPE_BUF, 'x'));
  const auto text = pipe.Drain();
  BOOST_TEST(text.size() == static_cast<std::size_t>(PIPE_BUF));
  BOOST_TEST(text.ends_with("x\n"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace anvildrum::telemetry
