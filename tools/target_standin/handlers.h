#pragma once

#include <coap3/coap.h>

namespace anvildrum::target {

// Request handlers of libcoap, one a resource and method.

// Answered at once, without a slot.
auto GetFeed(coap_resource_t*, coap_session_t*, const coap_pdu_t*, const coap_string_t*,
             coap_pdu_t*) -> void;
auto GetStatus(coap_resource_t*, coap_session_t*, const coap_pdu_t*, const coap_string_t*,
               coap_pdu_t*) -> void;
auto GetHealth(coap_resource_t*, coap_session_t*, const coap_pdu_t*, const coap_string_t*,
               coap_pdu_t*) -> void;
auto GetLoad(coap_resource_t*, coap_session_t*, const coap_pdu_t*, const coap_string_t*,
             coap_pdu_t*) -> void;
auto GetExecutions(coap_resource_t*, coap_session_t*, const coap_pdu_t*, const coap_string_t*,
                   coap_pdu_t*) -> void;
auto PostDrain(coap_resource_t*, coap_session_t*, const coap_pdu_t*, const coap_string_t*,
               coap_pdu_t*) -> void;

/// Frees the slot of the request whose id is in the query; that request is answered 5.04.
auto CancelRequest(coap_resource_t*, coap_session_t*, const coap_pdu_t*, const coap_string_t*,
                   coap_pdu_t*) -> void;

// Take a slot and are answered when their time is over; without a slot, 5.03 with Max-Age.
auto PostHold(coap_resource_t*, coap_session_t*, const coap_pdu_t*, const coap_string_t*,
              coap_pdu_t*) -> void;
auto PostSetpoint(coap_resource_t*, coap_session_t*, const coap_pdu_t*, const coap_string_t*,
                  coap_pdu_t*) -> void;
auto GetRoute(coap_resource_t*, coap_session_t*, const coap_pdu_t*, const coap_string_t*,
              coap_pdu_t*) -> void;
auto GetReport(coap_resource_t*, coap_session_t*, const coap_pdu_t*, const coap_string_t*,
               coap_pdu_t*) -> void;

}  // namespace anvildrum::target
