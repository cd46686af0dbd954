#include "daemon/internal/agent_runtime.h"

namespace anvildrum::daemon {
namespace {

constexpr auto kMostSpans = std::size_t{4096};

auto NameOf(requests::Mark mark) -> std::string_view {
  switch (mark) {
    case requests::Mark::kChallenged:
      return "challenge";
    case requests::Mark::kQueued:
      return "admission";
    case requests::Mark::kSentToTarget:
      return "target";
    case requests::Mark::kAnswered:
      return "answered";
    case requests::Mark::kRefused:
      return "not_run";
    case requests::Mark::kUnknown:
      return "unknown";
  }
  return "request";
}

auto IsFinal(requests::Mark mark) -> bool {
  return mark == requests::Mark::kAnswered || mark == requests::Mark::kRefused ||
         mark == requests::Mark::kUnknown || mark == requests::Mark::kChallenged;
}

}  // namespace

auto AgentRuntime::WriteHop(const agent::HopPassed& hop) -> void {
  auto& tracer = *this->runtime->tracer;
  const auto* name = hop.hop == agent::Hop::kTunnel ? "tunnel" : "home_lookup";
  auto parent = telemetry::SpanContext{hop.trace_id, hop.parent_span_id};
  auto span = telemetry::StartSpan(tracer, name, parent, hop.started);
  telemetry::AddAttribute(span, "target", this->record.name);
  telemetry::Finish(tracer, span, Now());
}

auto AgentRuntime::WriteSpan(const agent::SpanMark& mark) -> void {
  auto now = Now();
  auto& tracer = *this->runtime->tracer;
  auto open = this->spans.find(mark.request);
  auto waited = open != this->spans.end();
  if (waited) {
    telemetry::AddAttribute(open->second, "ended_by", std::string(NameOf(mark.mark)));
    telemetry::Finish(tracer, open->second, now);
    this->spans.erase(open);
  }
  auto parent = telemetry::SpanContext{mark.trace_id, mark.parent_span_id};
  if (mark.mark == requests::Mark::kSentToTarget && !waited) {
    // Admitted without a wait: the hop is there all the same.
    telemetry::Finish(tracer, telemetry::StartSpan(tracer, "admission", parent, now), now);
  }
  auto span = telemetry::StartSpan(tracer, NameOf(mark.mark), parent, now);
  telemetry::AddAttribute(span, "target", this->record.name);
  if (IsFinal(mark.mark) || this->spans.size() >= kMostSpans) {
    return telemetry::Finish(tracer, span, now);
  }
  this->spans.emplace(mark.request, std::move(span));
}

}  // namespace anvildrum::daemon
