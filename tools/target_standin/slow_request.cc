#include "tools/target_standin/slow_request.h"

#include <algorithm>

#include "tools/common/coap_message.h"
#include "tools/target_standin/bodies.h"

namespace anvildrum::target {
namespace {

/// Ticks of libcoap are milliseconds; a delay of 0 would wait forever.
auto ToTicks(base::Duration delay) -> coap_tick_t {
  auto milliseconds = std::chrono::ceil<base::milliseconds>(delay).count();
  return std::max<coap_tick_t>(1, milliseconds * COAP_TICKS_PER_SECOND / 1000);
}

auto ReasonOf(JobOutcome outcome) -> std::string_view {
  return outcome == JobOutcome::kExpired ? "deadline" : "cancelled";
}

auto Begin(Server& server, const SlowRequest& slow) -> void {
  auto now = base::Clock::now();
  // Registered before a slot is taken: it fails for a token that is already in use.
  auto* async = coap_register_async(slow.session, slow.request, 0);
  if (async == nullptr) return Refuse(server, slow);
  auto admitted = Admit(server.work, slow.id, now, tools::TimeLeft(slow.request));
  if (!admitted) {
    coap_free_async(slow.session, async);
    return Refuse(server, slow);
  }
  coap_async_set_delay(async, ToTicks(admitted->run_time));
  server.jobs_of_asyncs[async] = admitted->job;
}

}  // namespace

auto Refuse(Server& server, const SlowRequest& slow) -> void {
  tools::WriteJson(slow.response, COAP_RESPONSE_CODE_SERVICE_UNAVAILABLE,
                   ErrorBody(server.line.name, "not run", slow.id), RefusalMaxAge(server.work));
}

auto ReadyAfter(coap_session_t* session, const coap_pdu_t* request, base::Duration delay) -> bool {
  if (coap_find_async(session, coap_pdu_get_token(request)) != nullptr) return true;
  return coap_register_async(session, request, ToTicks(delay)) == nullptr;
}

auto ReadyToAnswer(const SlowRequest& slow) -> bool {
  auto& server = ServerOf(slow.session);
  auto* async = coap_find_async(slow.session, coap_pdu_get_token(slow.request));
  if (async == nullptr) {
    Begin(server, slow);
    return false;
  }
  // libcoap frees the async when the handler returns.
  auto job = server.jobs_of_asyncs.extract(async);
  if (job.empty()) return true;
  auto outcome = Finish(server.work, job.mapped(), base::Clock::now());
  if (outcome == JobOutcome::kDone) return true;
  tools::WriteJson(slow.response, COAP_RESPONSE_CODE_GATEWAY_TIMEOUT,
                   ErrorBody(server.line.name, ReasonOf(outcome), slow.id));
  return false;
}

auto Wake(Server& server, JobId job) -> void {
  for (const auto& [async, running] : server.jobs_of_asyncs) {
    if (running == job) coap_async_trigger(async);
  }
}

auto QueryView(const coap_string_t* query) -> std::string_view {
  if (query == nullptr) return {};
  return {reinterpret_cast<const char*>(query->s), query->length};
}

}  // namespace anvildrum::target
