#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/result.h"
#include "base/types/time.h"
#include "telemetry/types/telemetry_error.h"

namespace anvildrum::telemetry {

/// What a hop hands to the next one, in the tunnel header: the trace, and the span to hang the next
/// one under. trace_id 0 means that the trace isn't sampled.
struct SpanContext {
  std::uint64_t trace_id = 0;
  std::uint64_t span_id = 0;
  auto operator==(const SpanContext&) const -> bool = default;
};

inline auto IsSampled(const SpanContext& context) -> bool { return context.trace_id != 0; }

using AttributeValue = std::variant<bool, std::int64_t, std::uint64_t, double, std::string>;

struct Attribute {
  std::string key;
  AttributeValue value;
};

/// One hop's work, between start and finish.
struct Span {
  SpanContext context;
  std::uint64_t parent_span_id = 0;  ///< 0: the first span of its trace
  std::string name;
  base::TimePoint start;
  std::vector<Attribute> attributes;
};

struct TracerOptions {
  std::string file = {};              ///< appended to; empty: finished spans are dropped
  std::string instance = {};          ///< tag "instance" of every span
  std::uint64_t seed = 0;             ///< of the ids; differs between processes and their restarts
  std::uint32_t sample_permille = 0;  ///< traces out of 1,000 that are written
  /// One moment on both clocks: spans carry monotonic time, the file wall-clock time.
  base::TimePoint steady_anchor = {};
  std::chrono::system_clock::time_point wall_anchor = {};
};

/// Writes finished spans as JSON, one object a line. For one thread.
class Tracer {
 public:
  struct Impl;

  /// Errors: TelemetryError kTraceFile.
  static auto Open(const TracerOptions& options) -> base::Result<Tracer>;

  Tracer(Tracer&&) noexcept;
  auto operator=(Tracer&&) noexcept -> Tracer&;
  Tracer(const Tracer&) = delete;
  auto operator=(const Tracer&) -> Tracer& = delete;
  ~Tracer();

  std::unique_ptr<Impl> impl;

 private:
  explicit Tracer(std::unique_ptr<Impl> impl);
};

/// Whether the trace numbered `number` is sampled: the same answer for the same number on every
/// instance, so that a trace is written whole or not at all.
auto ShouldSample(std::uint64_t number, std::uint32_t permille) -> bool;

/// A new trace's context for the edge: sampled by `number` (a flow's digest, say), or all zeros.
auto NewTrace(Tracer& tracer, std::uint64_t number) -> SpanContext;

/// A span under `parent`. Unsampled parents give unsampled spans, which cost nothing to finish.
auto StartSpan(Tracer& tracer, std::string_view name, const SpanContext& parent,
               base::TimePoint start) -> Span;

auto AddAttribute(Span& span, std::string_view key, AttributeValue value) -> void;

/// Ends the span and writes it, if it is sampled.
auto Finish(Tracer& tracer, const Span& span, base::TimePoint end) -> void;

/// Writes a span whose ids were made elsewhere (by a core, which has no files).
auto RecordSpan(Tracer& tracer, const Span& span, base::TimePoint end) -> void;

/// Hands what is buffered to the operating system. Finish does it by itself at 64 spans.
auto Flush(Tracer& tracer) -> void;

/// Spans lost because the file could not be written (a full file system, say).
auto LostSpans(const Tracer& tracer) -> std::uint64_t;

}  // namespace anvildrum::telemetry
