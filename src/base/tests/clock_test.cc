#include "base/clock.h"

#include <fcntl.h>
#include <sched.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <string_view>

namespace anvildrum::base {
namespace {

constexpr auto kNewTimeNamespace = 0x80;  // CLONE_NEWTIME, time_namespaces(7)
constexpr auto kPassed = 0;
constexpr auto kFailed = 1;
constexpr auto kNotAllowed = 2;

// A process whose machine seems to have been suspended for ten hours longer: in a time namespace
// CLOCK_BOOTTIME is ahead, as it is after a suspension, and CLOCK_MONOTONIC isn't.
auto SeesTheSuspension() -> int {
  constexpr auto offset = std::string_view("boottime 36000 0\n");
  if (::unshare(CLONE_NEWUSER | kNewTimeNamespace) != 0) return kNotAllowed;
  auto file = ::open("/proc/self/timens_offsets", O_WRONLY);
  if (file < 0) return kNotAllowed;
  if (::write(file, offset.data(), offset.size()) < 0) return kNotAllowed;
  ::close(file);
  auto child = ::fork();  // the first process that is in the new namespace
  if (child == 0) {
    const auto steady = Clock::now();
    ::_exit(Now() - steady >= hours(10) ? kPassed : kFailed);
  }
  auto status = 0;
  ::waitpid(child, &status, 0);
  return WEXITSTATUS(status);
}

// A machine is suspended for hours and goes on. Its clients' flows have other owners by then; a
// process that counts no time serves them all the same, and answers come from two targets.
// Order: the clock that stands still shows no gap, so neither fence goes up.
BOOST_AUTO_TEST_CASE(the_time_of_a_suspension_counts) {
  auto child = ::fork();
  if (child == 0) ::_exit(SeesTheSuspension());
  auto status = 0;
  ::waitpid(child, &status, 0);
  if (WEXITSTATUS(status) == kNotAllowed) {
    BOOST_TEST_MESSAGE("not run: no time namespace may be made here");
    return;
  }
  BOOST_TEST(WEXITSTATUS(status) == kPassed);
}

BOOST_AUTO_TEST_CASE(now_never_goes_back) {
  auto before = Now();
  for (auto i = 0; i < 10'000; ++i) {
    auto after = Now();
    BOOST_REQUIRE(after >= before);
    before = after;
  }
}

}  // namespace
}  // namespace anvildrum::base
