#pragma once

#include <coap3/coap.h>

#include <optional>
#include <string_view>

#include "tools/target_standin/server.h"

namespace anvildrum::target {

/// One pass of libcoap through the handler of a slow request.
struct SlowRequest {
  coap_session_t* session = nullptr;
  const coap_pdu_t* request = nullptr;
  coap_pdu_t* response = nullptr;
  std::string_view id;  ///< of the request's body or query; may be empty
};

/// First pass: takes a slot and has libcoap call the handler again when the run time is over
/// (RFC 7252, 5.2.2), or writes the refusal. Second pass: frees the slot. Returns whether the
/// handler has to write the answer now.
auto ReadyToAnswer(const SlowRequest& slow) -> bool;

/// Like ReadyToAnswer for a request that has no slot of its own: answered after `delay`.
auto ReadyAfter(coap_session_t* session, const coap_pdu_t* request, base::Duration delay) -> bool;

/// Writes 5.03 with Max-Age: the request has not run.
auto Refuse(Server& server, const SlowRequest& slow) -> void;

/// Wakes the handler of a job at once.
auto Wake(Server& server, JobId job) -> void;

auto QueryView(const coap_string_t* query) -> std::string_view;

}  // namespace anvildrum::target
