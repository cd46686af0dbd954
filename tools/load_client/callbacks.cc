#include "tools/load_client/callbacks.h"

#include <algorithm>

#include "tools/common/coap_message.h"

namespace anvildrum::load {
namespace {

constexpr auto kDefaultMaxAge = 1U;

auto LoadOf(coap_session_t* session) -> Load& {
  return *static_cast<Load*>(coap_get_app_data(coap_session_get_context(session)));
}

auto FlowOf(Load& load, const coap_session_t* session) -> Flow* {
  auto found = std::find_if(load.flows.begin(), load.flows.end(),
                            [&](const Flow& flow) { return flow.session == session; });
  return found == load.flows.end() ? nullptr : &*found;
}

auto CodeOf(const coap_pdu_t* pdu) -> unsigned {
  auto code = static_cast<unsigned>(coap_pdu_get_code(pdu));
  return COAP_RESPONSE_CLASS(code) * 100 + (code & 0x1fU);
}

/// The whole body: libcoap has put the blocks together.
auto BodyOf(const coap_pdu_t* pdu) -> std::string_view {
  auto size = std::size_t{0};
  auto offset = std::size_t{0};
  auto total = std::size_t{0};
  const std::uint8_t* data = nullptr;
  if (coap_get_data_large(pdu, &size, &data, &offset, &total) == 0) return {};
  return {reinterpret_cast<const char*>(data), size};
}

auto ComeBackAt(const coap_pdu_t* received, base::TimePoint now) -> base::TimePoint {
  auto max_age = tools::UintOption(received, COAP_OPTION_MAXAGE).value_or(kDefaultMaxAge);
  return now + base::seconds(std::max(1U, max_age));
}

auto OnStreamMessage(Flow& flow, const coap_pdu_t* received, base::TimePoint now) -> void {
  auto notification =
      Notification{CodeOf(received), tools::UintOption(received, COAP_OPTION_OBSERVE),
                   TargetOf(BodyOf(received))};
  auto refused = notification.code == 503 && !flow.stream->established;
  if (refused) {
    flow.stream_retry_at = ComeBackAt(received, now);
    return;
  }
  OnNotification(*flow.stream, notification, now);
}

auto Settle(Load& load, Flow& flow, const Request& request, const coap_pdu_t* received) -> void {
  auto now = base::Clock::now();
  auto answer = Answer{CodeOf(received), BodyOf(received)};
  Count(load.tally, request, answer, now);
  if (request.kind == RequestKind::kReport) {
    flow.report_pending = false;
    flow.report_at = ComeBackAt(received, now);
    return;
  }
  auto target = TargetOf(answer.payload);
  if (!target.empty()) flow.targets.insert(target);
}

auto OnResponse(coap_session_t* session, const coap_pdu_t*, const coap_pdu_t* received, coap_mid_t)
    -> coap_response_t {
  auto& load = LoadOf(session);
  auto* flow = FlowOf(load, session);
  if (flow == nullptr) return COAP_RESPONSE_OK;
  auto token = tools::TokenOf(received);
  if (flow->stream && token == flow->stream_token) {
    if (!load.stopping) OnStreamMessage(*flow, received, base::Clock::now());
    return COAP_RESPONSE_OK;
  }
  auto found = flow->pending.find(token);
  if (found == flow->pending.end()) {
    ++load.tally.late;
    return COAP_RESPONSE_OK;
  }
  auto request = found->second;
  flow->pending.erase(found);
  Settle(load, *flow, request, received);
  return COAP_RESPONSE_OK;
}

auto CountFailure(Tally& tally, coap_nack_reason_t reason) -> void {
  if (reason == COAP_NACK_TOO_MANY_RETRIES) {
    ++tally.timeouts;
  } else {
    ++tally.resets;
  }
}

auto FailStream(Flow& flow) -> void {
  OnNotification(*flow.stream, Notification{}, base::Clock::now());
}

/// libcoap uses tokens of its own for the later blocks of a report.
auto FailReport(Load& load, Flow& flow, coap_nack_reason_t reason) -> void {
  std::erase_if(flow.pending,
                [](const auto& entry) { return entry.second.kind == RequestKind::kReport; });
  flow.report_pending = false;
  flow.report_at = base::Clock::now() + base::seconds(kDefaultMaxAge);
  CountFailure(load.tally, reason);
}

auto OnFailure(coap_session_t* session, const coap_pdu_t* sent, coap_nack_reason_t reason,
               coap_mid_t) -> void {
  auto& load = LoadOf(session);
  auto* flow = FlowOf(load, session);
  if (flow == nullptr || sent == nullptr || load.stopping) return;
  auto token = tools::TokenOf(sent);
  if (flow->stream && token == flow->stream_token) return FailStream(*flow);
  auto found = flow->pending.find(token);
  if (found != flow->pending.end() && found->second.kind != RequestKind::kReport) {
    flow->pending.erase(found);
    return CountFailure(load.tally, reason);
  }
  if (flow->report_pending) FailReport(load, *flow, reason);
}

}  // namespace

auto RegisterCallbacks(coap_context_t* context, Load& load) -> void {
  coap_set_app_data(context, &load);
  coap_register_response_handler(context, OnResponse);
  coap_register_nack_handler(context, OnFailure);
}

}  // namespace anvildrum::load
