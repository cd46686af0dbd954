#include "tools/target_standin/resources.h"

#include <string_view>

#include "tools/common/coap_message.h"
#include "tools/target_standin/bodies.h"
#include "tools/target_standin/handlers.h"

namespace anvildrum::target {
namespace {

/// A resource under `path`, which lives as long as the program.
auto AddResource(coap_context_t* context, std::string_view path, std::string_view type)
    -> coap_resource_t* {
  auto uri = coap_str_const_t{path.size(), reinterpret_cast<const std::uint8_t*>(path.data())};
  auto* resource =
      coap_resource_init(coap_new_str_const(uri.s, uri.length), COAP_RESOURCE_FLAGS_RELEASE_URI);
  auto quoted = '"' + std::string(type) + '"';
  auto value =
      coap_str_const_t{quoted.size(), reinterpret_cast<const std::uint8_t*>(quoted.data())};
  coap_add_attr(resource, coap_make_str_const("rt"), coap_new_str_const(value.s, value.length),
                COAP_ATTR_FLAGS_RELEASE_VALUE);
  coap_add_resource(context, resource);
  return resource;
}

auto AddObserved(coap_context_t* context, Server& server, std::string_view path,
                 coap_method_handler_t handler) -> void {
  auto* resource = AddResource(context, path, path);
  coap_resource_set_get_observable(resource, 1);
  coap_register_request_handler(resource, COAP_REQUEST_GET, handler);
  server.observed.push_back(resource);
}

auto AddHandled(coap_context_t* context, std::string_view path, coap_request_t method,
                coap_method_handler_t handler) -> coap_resource_t* {
  auto* resource = AddResource(context, path, path);
  coap_register_request_handler(resource, method, handler);
  return resource;
}

auto AddOfKind(coap_context_t* context, Server& server) -> void {
  switch (server.line.kind) {
    case TargetKind::kDesk:
      AddObserved(context, server, "feed", GetFeed);
      AddHandled(context, "hold", COAP_REQUEST_POST, PostHold);
      return;
    case TargetKind::kMapper:
      AddHandled(context, "route", COAP_REQUEST_GET, GetRoute);
      return;
    case TargetKind::kScadaGateway:
      AddObserved(context, server, "status", GetStatus);
      AddHandled(context, "setpoint", COAP_REQUEST_POST, PostSetpoint);
      return;
    case TargetKind::kReportServer:
      AddHandled(context, "report", COAP_REQUEST_GET, GetReport);
      return;
  }
}

}  // namespace

auto AddResources(coap_context_t* context, Server& server) -> void {
  AddOfKind(context, server);
  AddHandled(context, "health", COAP_REQUEST_GET, GetHealth);
  AddHandled(context, "load", COAP_REQUEST_GET, GetLoad);
  AddHandled(context, "executions", COAP_REQUEST_GET, GetExecutions);
  AddHandled(context, "drain", COAP_REQUEST_POST, PostDrain);
  auto* cancel = AddHandled(context, "cancel", COAP_REQUEST_POST, CancelRequest);
  coap_register_request_handler(cancel, COAP_REQUEST_DELETE, CancelRequest);
}

}  // namespace anvildrum::target
