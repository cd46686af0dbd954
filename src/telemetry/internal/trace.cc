#include "telemetry/trace.h"

#include <opentracing/mocktracer/json.h>
#include <opentracing/mocktracer/recorder.h>

#include <optional>
#include <sstream>
#include <utility>

#include "telemetry/internal/append_file.h"

namespace anvildrum::telemetry {

namespace mocktracer = opentracing::mocktracer;

namespace {

constexpr auto kPermille = std::uint64_t{1000};
constexpr auto kSpansPerFlush = 64;

/// SplitMix64: a full-period generator, so a process never gives an id twice.
auto Mix(std::uint64_t value) -> std::uint64_t {
  value += 0x9e3779b97f4a7c15U;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31U);
}

auto ToValue(const AttributeValue& value) -> opentracing::Value {
  return std::visit([](const auto& held) { return opentracing::Value{held}; }, value);
}

}  // namespace

struct Tracer::Impl {
  TracerOptions options;
  std::optional<AppendFile> file;
  std::string buffer;
  std::uint64_t state = 0;
  std::uint64_t lost = 0;
  int unflushed = 0;
};

namespace {

// 0 stands for "not sampled" in the tunnel header.
auto NextId(Tracer::Impl& impl) -> std::uint64_t {
  auto id = std::uint64_t{0};
  while (id == 0) id = Mix(impl.state++);
  return id;
}

auto WallTime(const TracerOptions& options, base::TimePoint at) -> opentracing::SystemTime {
  const auto since =
      std::chrono::duration_cast<opentracing::SystemClock::duration>(at - options.steady_anchor);
  return options.wall_anchor + since;
}

auto ToSpanData(const TracerOptions& options, const Span& span, base::TimePoint end)
    -> mocktracer::SpanData {
  auto data = mocktracer::SpanData{};
  data.span_context = {span.context.trace_id, span.context.span_id, {}};
  if (span.parent_span_id != 0) {
    data.references.push_back(
        {opentracing::SpanReferenceType::ChildOfRef, span.context.trace_id, span.parent_span_id});
  }
  data.operation_name = span.name;
  data.start_timestamp = WallTime(options, span.start);
  data.duration = end - span.start;
  for (const auto& attribute : span.attributes) {
    data.tags[attribute.key] = ToValue(attribute.value);
  }
  if (!options.instance.empty()) data.tags["instance"] = options.instance;
  return data;
}

// The library writes an array; a file that several processes' tools read line by line needs the
// bare object.
auto ToLine(mocktracer::SpanData data) -> std::string {
  auto text = std::ostringstream{};
  mocktracer::ToJson(text, {std::move(data)});
  const auto array = std::move(text).str();
  const auto first = array.find('[');
  const auto last = array.rfind(']');
  return array.substr(first + 1, last - first - 1) + "\n";
}

}  // namespace

Tracer::Tracer(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}
Tracer::Tracer(Tracer&&) noexcept = default;
auto Tracer::operator=(Tracer&&) noexcept -> Tracer& = default;
Tracer::~Tracer() {
  if (this->impl) Flush(*this);
}

auto Tracer::Open(const TracerOptions& options) -> base::Result<Tracer> {
  auto impl = std::make_unique<Impl>();
  impl->options = options;
  impl->state = Mix(options.seed);
  if (!options.file.empty()) {
    impl->file.emplace(options.file);
    if (!impl->file->IsOpen()) {
      return boost::leaf::new_error(TelemetryError{TelemetryErrorCode::kTraceFile, options.file});
    }
  }
  return Tracer{std::move(impl)};
}

auto ShouldSample(std::uint64_t number, std::uint32_t permille) -> bool {
  return Mix(number) % kPermille < permille;
}

auto NewTrace(Tracer& tracer, std::uint64_t number) -> SpanContext {
  if (!ShouldSample(number, tracer.impl->options.sample_permille)) return {};
  return {NextId(*tracer.impl), 0};
}

auto StartSpan(Tracer& tracer, std::string_view name, const SpanContext& parent,
               base::TimePoint start) -> Span {
  if (!IsSampled(parent)) return {};
  return {.context = {parent.trace_id, NextId(*tracer.impl)},
          .parent_span_id = parent.span_id,
          .name = std::string(name),
          .start = start,
          .attributes = {}};
}

auto AddAttribute(Span& span, std::string_view key, AttributeValue value) -> void {
  if (!IsSampled(span.context)) return;
  span.attributes.push_back({std::string(key), std::move(value)});
}

auto Finish(Tracer& tracer, const Span& span, base::TimePoint end) -> void {
  RecordSpan(tracer, span, end);
}

auto RecordSpan(Tracer& tracer, const Span& span, base::TimePoint end) -> void {
  auto& impl = *tracer.impl;
  if (!IsSampled(span.context) || !impl.file) return;
  impl.buffer += ToLine(ToSpanData(impl.options, span, end));
  ++impl.unflushed;
  if (impl.unflushed >= kSpansPerFlush) Flush(tracer);
}

// What could not be written is dropped: kept, it would grow while the file system is full.
auto Flush(Tracer& tracer) -> void {
  auto& impl = *tracer.impl;
  if (!impl.file || impl.unflushed == 0) return;
  if (!impl.file->Append(impl.buffer)) impl.lost += static_cast<std::uint64_t>(impl.unflushed);
  impl.buffer.clear();
  impl.unflushed = 0;
}

auto LostSpans(const Tracer& tracer) -> std::uint64_t { return tracer.impl->lost; }

}  // namespace anvildrum::telemetry
