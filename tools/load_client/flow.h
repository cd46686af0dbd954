#pragma once

#include <coap3/coap.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "tools/load_client/stream.h"
#include "tools/load_client/tally.h"

namespace anvildrum::load {

/// One libcoap session, and so one client port.
struct Flow {
  coap_session_t* session = nullptr;
  std::map<std::string, Request, std::less<>> pending;  ///< by token
  std::set<std::string> targets;                        ///< named in its answers
  std::optional<Stream> stream;
  std::string stream_token;
  base::TimePoint stream_open_at = base::TimePoint::max();
  base::TimePoint stream_retry_at = base::TimePoint::max();
  bool report_pending = false;
  base::TimePoint report_at;  ///< when the next report may be asked for
};

/// What a request message holds.
struct Message {
  coap_pdu_code_t method = COAP_REQUEST_CODE_GET;
  std::string_view path;
  std::string_view query;
  std::string_view body;
  bool observe = false;
  base::milliseconds deadline{};  ///< zero: no Deadline option
};

/// Sends a confirmable request; its token, or nothing when libcoap refuses it.
auto SendMessage(Flow& flow, const Message& message) -> std::optional<std::string>;

/// Ends the observation (RFC 7641, 3.6).
auto CancelStream(Flow& flow) -> void;

}  // namespace anvildrum::load
