#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <memory>
#include <thread>

#include "net/periodic_timer.h"
#include "net/signals.h"
#include "run_until.h"

namespace anvildrum::net {

BOOST_AUTO_TEST_SUITE(timers)

BOOST_AUTO_TEST_CASE(ticks_until_destroyed) {
  auto io = boost::asio::io_context{};
  auto ticks = 0;
  auto timer = std::unique_ptr<PeriodicTimer>{};
  timer = std::make_unique<PeriodicTimer>(io, base::milliseconds{1}, [&](base::TimePoint) {
    ++ticks;
    if (ticks == 3) timer.reset();
  });
  BOOST_TEST(RunUntil(io, [&] { return ticks == 3; }));
  io.restart();
  BOOST_TEST(io.poll() <= 1U);
  BOOST_TEST(ticks == 3);
}

// The process is stopped for a thousand periods. Making up for each tick would flood the peers with
// a thousand probes at the moment it wakes.
BOOST_AUTO_TEST_CASE(skips_the_ticks_of_a_pause) {
  auto io = boost::asio::io_context{};
  auto ticks = 0;
  const auto timer = PeriodicTimer{io, base::milliseconds{100}, [&](base::TimePoint) { ++ticks; }};
  std::this_thread::sleep_for(base::milliseconds{1050});
  io.poll();
  BOOST_TEST(ticks >= 1);
  BOOST_TEST(ticks <= 5);
}

// An impatient operator sends the signal twice. The second one must neither start another stop nor
// kill the process in the middle of the first.
BOOST_AUTO_TEST_CASE(a_second_stop_signal_changes_nothing) {
  auto io = boost::asio::io_context{};
  auto stops = 0;
  auto signal = StopSignal{io, [&](int) { ++stops; }};
  std::raise(SIGTERM);
  BOOST_TEST(RunUntil(io, [&] { return stops == 1; }));
  std::raise(SIGTERM);
  std::raise(SIGINT);
  io.restart();
  io.poll();
  BOOST_TEST(stops == 1);
}

// Guards against a process that a late signal kills while it closes what its graceful stop has
// left.
BOOST_AUTO_TEST_CASE(signals_stay_ignored_when_the_stop_signal_is_destroyed) {
  auto io = boost::asio::io_context{};
  auto stops = 0;
  auto signal = std::make_unique<StopSignal>(io, [&](int) { ++stops; });
  std::raise(SIGTERM);
  BOOST_TEST(RunUntil(io, [&] { return stops == 1; }));
  signal.reset();
  for (const auto number : {SIGTERM, SIGINT, SIGHUP}) {
    auto action = (struct sigaction){};
    BOOST_TEST(sigaction(number, nullptr, &action) == 0);
    BOOST_TEST((action.sa_handler != SIG_DFL), "signal " << number);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace anvildrum::net
