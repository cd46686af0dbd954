#include "tools/common/coap_message.h"
#include "tools/target_standin/bodies.h"
#include "tools/target_standin/handlers.h"
#include "tools/target_standin/slow_request.h"

namespace anvildrum::target {
namespace {

auto Content(coap_pdu_t* response, std::string_view json) -> void {
  tools::WriteJson(response, COAP_RESPONSE_CODE_CONTENT, json);
}

}  // namespace

auto GetFeed(coap_resource_t*, coap_session_t* session, const coap_pdu_t*, const coap_string_t*,
             coap_pdu_t* response) -> void {
  const auto& server = ServerOf(session);
  Content(response, FeedBody(server.line.name, server.sequence, server.price));
}

auto GetStatus(coap_resource_t*, coap_session_t* session, const coap_pdu_t*, const coap_string_t*,
               coap_pdu_t* response) -> void {
  const auto& server = ServerOf(session);
  Content(response, StatusBody(server.line.name, server.sequence));
}

auto GetHealth(coap_resource_t*, coap_session_t* session, const coap_pdu_t*, const coap_string_t*,
               coap_pdu_t* response) -> void {
  const auto& server = ServerOf(session);
  Content(response, HealthBody(server.line.name, ToldLoad(server.work, base::Clock::now())));
}

auto GetLoad(coap_resource_t*, coap_session_t* session, const coap_pdu_t*, const coap_string_t*,
             coap_pdu_t* response) -> void {
  const auto& server = ServerOf(session);
  auto told = ToldLoad(server.work, base::Clock::now());
  Content(response, LoadBody(server.line.name, told, server.work.settings.slots));
}

auto PostDrain(coap_resource_t*, coap_session_t* session, const coap_pdu_t* request,
               const coap_string_t*, coap_pdu_t* response) -> void {
  auto& server = ServerOf(session);
  auto draining = DrainingOf(tools::PayloadOf(request));
  if (!draining) {
    return tools::WriteJson(response, COAP_RESPONSE_CODE_BAD_REQUEST,
                            ErrorBody(server.line.name, "no draining flag", ""));
  }
  SetDraining(server.work, *draining, base::Clock::now());
  tools::WriteJson(response, COAP_RESPONSE_CODE_CHANGED,
                   HealthBody(server.line.name, {server.work.in_flight, *draining}));
}

auto CancelRequest(coap_resource_t*, coap_session_t* session, const coap_pdu_t*,
                   const coap_string_t* query, coap_pdu_t* response) -> void {
  auto& server = ServerOf(session);
  auto id = tools::QueryValue(QueryView(query), "id");
  auto job = Cancel(server.work, id, base::Clock::now());
  if (!job) {
    return tools::WriteJson(response, COAP_RESPONSE_CODE_NOT_FOUND,
                            ErrorBody(server.line.name, "not running", id));
  }
  Wake(server, *job);
  tools::WriteJson(response, COAP_RESPONSE_CODE_DELETED,
                   RunBody(server.line.name, id, server.work.executions[std::string(id)]));
}

}  // namespace anvildrum::target
