#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <vector>

#include "base/types/time.h"
#include "packets/newer_configuration.h"
#include "platform/answer_progress.h"
#include "platform/shared_reads.h"

namespace anvildrum::packets {

struct NarrowLinksOptions {
  std::size_t balancers = 18;
  std::size_t wide = 6;              ///< number of these whose links are never full
  double narrow_bytes_a_second = 0;  ///< rate of the others' links in each direction
  double configuration_bytes = 0;
  base::Duration version_every{};
  base::Duration copies_behind{};  ///< age of the copies of the platform's state
  std::uint64_t seed = 1;
};

/// Simulates balancers that read a configuration from a platform and from each other over links
/// that the configuration fills for a while. The product's code decides which read comes next,
/// which source is asked for a newer configuration, and when a call is cancelled. Answers that
/// arrive at the same time share a link.
class NarrowLinksWorld {
 public:
  explicit NarrowLinksWorld(const NarrowLinksOptions& options);

  auto RunFor(base::Duration duration) -> void;

  /// Returns the longest time for which a balancer has kept a configuration that was replaced.
  [[nodiscard]] auto MostBehind() const -> base::milliseconds;

  /// Returns the number of answers that were cancelled although some of their bytes had arrived.
  [[nodiscard]] auto CutShort() const -> std::uint64_t;

 private:
  enum class Purpose : std::uint8_t { kTurn, kQuestion };

  struct Answer {
    Purpose purpose = Purpose::kTurn;
    std::optional<std::size_t> from;  ///< the balancer that sends it; nothing: the platform
    std::uint64_t version = 0;
    double missing = 0;  ///< bytes
    platform::AnswerProgress progress;
  };

  struct Told {
    std::size_t from = 0;
    std::uint64_t version = 0;
    std::optional<base::TimePoint> as_of;
  };

  struct Balancer {
    double bytes_a_second = 0;
    platform::SharedReads reads;
    std::uint64_t version = 0;
    std::optional<NewerConfiguration> newer;
    std::vector<Answer> answers;         ///< answers that are awaited
    std::vector<base::TimePoint> heard;  ///< by balancer: its last hello
    std::deque<Told> socket;
    base::TimePoint next_hello{};
  };

  auto Step() -> void;
  auto ChangeVersion() -> void;
  auto Ask(std::size_t index) -> void;
  auto BeginAnswer(std::size_t index, Purpose purpose, std::optional<std::size_t> from,
                   std::uint64_t version) -> void;
  auto MoveBytes() -> void;
  auto EndAnswers(std::size_t index) -> void;
  auto EndAnswer(std::size_t index, const Answer& answer, bool whole) -> void;
  auto Receive(std::size_t index) -> void;
  auto SayHello(std::size_t index) -> void;
  [[nodiscard]] auto HolderOf(std::uint64_t version) -> std::size_t;
  [[nodiscard]] auto VersionAt(base::TimePoint at) const -> std::uint64_t;
  auto Draw(base::Duration most) -> base::Duration;

  NarrowLinksOptions options;
  std::mt19937_64 random;
  std::vector<Balancer> balancers;
  std::vector<base::TimePoint> accepted_at;  ///< by version
  base::TimePoint now{};
  base::Duration most_behind{};
  std::uint64_t cut_short = 0;
};

}  // namespace anvildrum::packets
