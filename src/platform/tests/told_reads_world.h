#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "base/echo.h"
#include "base/types/time.h"
#include "platform/shared_reads.h"

namespace anvildrum::platform {

struct ToldReadsOptions {
  std::size_t instances = 18;
  base::Duration way{};       ///< of a datagram, the least
  base::Duration way_more{};  ///< drawn on top of it
  base::Duration pause{};     ///< how long an instance stands still; zero: none ever does
  std::uint64_t seed = 1;
};

/// Instances that read one number at a platform and tell each other, as the processes do: hellos
/// once a second to the seeds and to whom they have heard of, and at once after a read. A datagram
/// waits in the socket of an instance that stands still.
class ToldReadsWorld {
 public:
  explicit ToldReadsWorld(const ToldReadsOptions& options);

  auto RunFor(base::Duration duration) -> void;

  /// By how much an instance has taken what it knows for newer than it was, at most, in whole
  /// microseconds; 0: never.
  [[nodiscard]] auto MostTooNew() const -> std::int64_t;

  /// For how long an instance that has been running for a second has held a version that was
  /// replaced, at most, in whole milliseconds.
  [[nodiscard]] auto MostBehind() const -> std::int64_t;

  [[nodiscard]] auto Calls() const -> std::uint64_t;

 private:
  struct Told {
    std::size_t from = 0;
    std::uint64_t known = 0;
    std::optional<base::Duration> confirmed_ago;
    std::uint32_t mark = 0;
    std::optional<base::Echo> echo;
    base::TimePoint arrives_at{};
  };

  struct Instance {
    SharedReads reads;
    std::uint64_t known = 0;
    std::uint64_t hastened_for = 0;
    std::uint64_t read_brings = 0;  ///< the read under way
    base::TimePoint paused_until{};
    base::TimePoint next_hello{};
    std::deque<Told> socket;
    base::MarkClock marks;
    std::map<std::size_t, base::HeardMark> heard;
  };

  auto Step() -> void;
  auto Read(std::size_t index) -> void;
  auto Receive(std::size_t index) -> void;
  auto Take(std::size_t index, const Told& told) -> void;
  auto SayHello(std::size_t index) -> void;
  auto Check(const Instance& instance) -> void;
  auto Draw(base::Duration most) -> base::Duration;

  ToldReadsOptions options;
  std::mt19937_64 random;
  std::vector<Instance> instances;
  std::vector<base::TimePoint> replaced_at;  ///< by version: when a newer one was accepted
  base::TimePoint now{};
  base::TimePoint next_version{};
  base::TimePoint next_pause{};
  base::Duration most_too_new{};
  base::Duration most_behind{};
  std::uint64_t calls = 0;
};

}  // namespace anvildrum::platform
