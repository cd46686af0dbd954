#include "tools/load_client/load.h"

#include <algorithm>
#include <iostream>
#include <memory>

#include "tools/common/coap_address.h"
#include "tools/common/stop.h"
#include "tools/load_client/callbacks.h"

namespace anvildrum::load {
namespace {

// Longest sleep of the loop; a stop is noticed after at most this.
constexpr auto kMaxWait = base::milliseconds{20};
// For the cancellations of the streams to leave and be acknowledged.
constexpr auto kFarewell = base::milliseconds{200};

struct ContextDeleter {
  auto operator()(coap_context_t* context) const -> void { coap_free_context(context); }
};
using Context = std::unique_ptr<coap_context_t, ContextDeleter>;

/// A series of requests at an even rate.
struct Series {
  RequestKind kind = RequestKind::kGet;
  std::string path;
  base::Duration interval{};
  base::TimePoint next;
  base::TimePoint end;
  std::size_t flow = 0;
};

auto SendReport(Load& load, Flow& flow, base::TimePoint now) -> void {
  auto token = SendMessage(flow, {.path = load.line.report, .query = {}, .body = {}});
  if (!token) return;
  ++load.tally.sent;
  flow.report_pending = true;
  flow.pending[*token] = Request{RequestKind::kReport, {}, now};
}

auto SendOne(Load& load, Flow& flow, const Series& series, base::TimePoint now) -> void {
  auto id = load.line.run_id + "-" + std::to_string(load.next_request++);
  auto is_post = series.kind == RequestKind::kPost;
  auto body = is_post ? "{\"id\":\"" + id + "\"}" : std::string{};
  auto query = is_post ? std::string{} : "id=" + id;
  auto method = is_post ? COAP_REQUEST_CODE_POST : COAP_REQUEST_CODE_GET;
  auto deadline = load.line.deadline;
  auto token = SendMessage(flow, {method, series.path, query, body, false, deadline});
  if (!token) return;
  ++load.tally.sent;
  auto ends = deadline > base::Duration{} ? now + deadline : base::TimePoint::max();
  flow.pending[*token] = Request{series.kind, id, now, ends};
}

auto SendDue(Load& load, Series& series, base::TimePoint now) -> void {
  if (series.next >= series.end) series.next = base::TimePoint::max();
  while (series.next <= now) {
    SendOne(load, load.flows[series.flow], series, now);
    series.flow = (series.flow + 1) % load.flows.size();
    series.next += series.interval;
    if (series.next >= series.end) series.next = base::TimePoint::max();
  }
}

auto SendReports(Load& load, base::TimePoint now) -> void {
  if (load.line.report.empty()) return;
  for (auto& flow : load.flows) {
    if (!flow.report_pending && flow.report_at <= now) SendReport(load, flow, now);
  }
}

auto Observe(Load& load, Flow& flow) -> void {
  flow.stream_retry_at = base::TimePoint::max();
  auto token =
      SendMessage(flow, {.path = load.line.observe, .query = {}, .body = {}, .observe = true});
  if (token) flow.stream_token = *token;
}

auto PlanStreams(Load& load, base::TimePoint now) -> void {
  if (load.line.observe.empty()) return;
  auto step = load.line.open_over / load.flows.size();
  for (auto& flow : load.flows) {
    flow.stream_open_at = now;
    now += step;
  }
}

auto OpenStreams(Load& load, base::TimePoint now) -> void {
  for (auto& flow : load.flows) {
    if (flow.stream || now < flow.stream_open_at) continue;
    flow.stream = OpenStream(now);
    Observe(load, flow);
  }
}

auto CheckStreams(Load& load, base::TimePoint now) -> void {
  for (auto& flow : load.flows) {
    if (!flow.stream) continue;
    CheckGap(*flow.stream, load.line.gap_limit, now);
    if (flow.stream_retry_at <= now) Observe(load, flow);
  }
}

auto IsOverdue(const Load& load, const Request& request, base::TimePoint now) -> bool {
  auto is_report = request.kind == RequestKind::kReport;
  return now - request.sent > (is_report ? load.line.report_timeout : load.line.request_timeout);
}

auto DropOverdue(Load& load, base::TimePoint now) -> void {
  for (auto& flow : load.flows) {
    load.tally.timeouts += std::erase_if(flow.pending, [&](const auto& entry) {
      if (!IsOverdue(load, entry.second, now)) return false;
      if (entry.second.kind == RequestKind::kReport) flow.report_pending = false;
      return true;
    });
  }
}

auto HasPending(const Load& load) -> bool {
  return std::any_of(load.flows.begin(), load.flows.end(),
                     [](const Flow& flow) { return !flow.pending.empty(); });
}

auto Process(coap_context_t* context, Load& load, base::TimePoint next) -> void {
  auto left = std::chrono::ceil<base::milliseconds>(next - base::Clock::now());
  auto wait = std::clamp<base::milliseconds>(left, base::milliseconds{1}, kMaxWait);
  coap_io_process(context, static_cast<std::uint32_t>(wait.count()));
  auto now = base::Clock::now();
  CheckStreams(load, now);
  DropOverdue(load, now);
}

auto MakeSeries(const Load& load, RequestKind kind, const std::string& path) -> Series {
  auto interval =
      std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(1 / load.line.rate));
  auto start = base::Clock::now() + load.line.requests_after;
  auto first = path.empty() ? base::TimePoint::max() : start;
  auto is_limited = load.line.requests_for > base::Duration{};
  auto end = is_limited ? start + load.line.requests_for : base::TimePoint::max();
  return Series{kind, path, interval, first, end, 0};
}

auto SendUntil(coap_context_t* context, Load& load, base::TimePoint end) -> void {
  auto posts = MakeSeries(load, RequestKind::kPost, load.line.post);
  auto gets = MakeSeries(load, RequestKind::kGet, load.line.get);
  while (base::Clock::now() < end && !tools::StopRequested()) {
    auto now = base::Clock::now();
    OpenStreams(load, now);
    SendDue(load, posts, now);
    SendDue(load, gets, now);
    SendReports(load, now);
    Process(context, load, std::min({end, posts.next, gets.next}));
  }
}

auto OpenFlows(coap_context_t* context, Load& load) -> bool {
  auto address = tools::ToCoapAddress(load.line.service);
  load.flows.resize(load.line.flows);
  for (auto& flow : load.flows) {
    flow.session = coap_new_client_session(context, nullptr, &address, COAP_PROTO_UDP);
    if (flow.session == nullptr) return false;
  }
  return true;
}

auto Summarize(const Load& load) -> Summary {
  auto summary = Summary{};
  summary.started = load.started;
  summary.tally = &load.tally;
  summary.flows = load.flows.size();
  for (const auto& flow : load.flows) {
    if (flow.targets.size() > 1) ++summary.flows_moved;
    if (flow.stream && load.line.list_streams) summary.listed.push_back(&*flow.stream);
    if (flow.stream) AddStream(summary, *flow.stream, load.line.gap_limit, base::Clock::now());
  }
  return summary;
}

auto CloseFlows(coap_context_t* context, Load& load) -> void {
  load.stopping = true;
  for (auto& flow : load.flows) CancelStream(flow);
  auto end = base::Clock::now() + kFarewell;
  while (base::Clock::now() < end) coap_io_process(context, kMaxWait.count());
  for (auto& flow : load.flows) coap_session_release(flow.session);
}

}  // namespace

auto RunLoad(const CommandLine& line) -> bool {
  auto load = Load{};
  load.line = line;
  auto context = Context(coap_new_context(nullptr));
  if (!context) return false;
  coap_context_set_block_mode(context.get(), COAP_BLOCK_USE_LIBCOAP | COAP_BLOCK_SINGLE_BODY);
  RegisterCallbacks(context.get(), load);
  if (!OpenFlows(context.get(), load)) return false;
  load.started = base::Clock::now();
  PlanStreams(load, load.started);
  SendUntil(context.get(), load, base::Clock::now() + line.run_time);
  while (HasPending(load)) Process(context.get(), load, base::TimePoint::max());
  auto summary = Summarize(load);
  std::cout << (line.json ? ToJson(summary) : ToText(summary)) << std::endl;
  CloseFlows(context.get(), load);
  return Passed(summary);
}

}  // namespace anvildrum::load
