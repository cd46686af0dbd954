#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/types/time.h"
#include "tools/load_client/latency.h"

namespace anvildrum::load {

enum class RequestKind { kPost, kGet, kReport };

/// A request without a final outcome.
struct Request {
  RequestKind kind = RequestKind::kGet;
  std::string id;  ///< empty for a report
  base::TimePoint sent;
  base::TimePoint deadline = base::TimePoint::max();  ///< what its Deadline option asks for
};

struct Answer {
  unsigned code = 0;  ///< 205 for 2.05
  std::string_view payload;
};

/// What an answer tells its client.
enum class Outcome {
  kAnswered,
  kNotRun,           ///< 5.03
  kUnknown,          ///< 5.04
  kError,            ///< any other code that isn't a success
  kWrongAnswer,      ///< it names another request's id
  kDoubleExecution,  ///< the target ran the request more than once
  kBrokenReport      ///< the report's digest doesn't match
};

struct Tally {
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused_not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t errors = 0;
  std::uint64_t timeouts = 0;
  std::uint64_t resets = 0;          ///< requests that were answered by RST or an unreachable port
  std::uint64_t late = 0;            ///< answers to requests that had got their outcome before
  std::uint64_t after_deadline = 0;  ///< answered, but after the request's deadline
  std::uint64_t wrong_answers = 0;
  std::uint64_t double_executions = 0;
  std::uint64_t reports = 0;
  std::uint64_t broken_reports = 0;
  std::map<std::string, std::uint64_t> by_target;
  std::map<unsigned, std::uint64_t> by_code;
  Latencies latencies{boost::accumulators::tag::tail<boost::accumulators::right>::cache_size =
                          kLatencySamples};
};

auto OutcomeOf(const Request& request, const Answer& answer) -> Outcome;

/// The target that an answer names; empty when it names none.
auto TargetOf(std::string_view payload) -> std::string;

/// Counts a request's answer.
auto Count(Tally& tally, const Request& request, const Answer& answer, base::TimePoint now) -> void;

}  // namespace anvildrum::load
