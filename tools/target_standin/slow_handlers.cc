#include "tools/common/coap_message.h"
#include "tools/target_standin/bodies.h"
#include "tools/target_standin/handlers.h"
#include "tools/target_standin/slow_request.h"

namespace anvildrum::target {
namespace {

auto Post(coap_session_t* session, const coap_pdu_t* request, coap_pdu_t* response,
          coap_pdu_code_t success) -> void {
  auto& server = ServerOf(session);
  auto id = RequestIdOf(tools::PayloadOf(request));
  if (!id) {
    return tools::WriteJson(response, COAP_RESPONSE_CODE_BAD_REQUEST,
                            ErrorBody(server.line.name, "no id", ""));
  }
  if (!ReadyToAnswer({session, request, response, *id})) return;
  tools::WriteJson(response, success, RunBody(server.line.name, *id, server.work.executions[*id]));
}

}  // namespace

auto PostHold(coap_resource_t*, coap_session_t* session, const coap_pdu_t* request,
              const coap_string_t*, coap_pdu_t* response) -> void {
  Post(session, request, response, COAP_RESPONSE_CODE_CREATED);
}

auto PostSetpoint(coap_resource_t*, coap_session_t* session, const coap_pdu_t* request,
                  const coap_string_t*, coap_pdu_t* response) -> void {
  Post(session, request, response, COAP_RESPONSE_CODE_CHANGED);
}

auto GetRoute(coap_resource_t*, coap_session_t* session, const coap_pdu_t* request,
              const coap_string_t* query, coap_pdu_t* response) -> void {
  auto id = tools::QueryValue(QueryView(query), "id");
  if (!ReadyToAnswer({session, request, response, id})) return;
  tools::WriteJson(response, COAP_RESPONSE_CODE_CONTENT,
                   RouteBody(ServerOf(session).line.name, id));
}

}  // namespace anvildrum::target
