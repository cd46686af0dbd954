#pragma once

#include <coap3/coap.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/types/time.h"

namespace anvildrum::tools {

/// Views the payload of a message; empty when it has none.
auto PayloadOf(const coap_pdu_t* pdu) -> std::string_view;

/// Views the token of a message.
auto TokenOf(const coap_pdu_t* pdu) -> std::string_view;

/// Value of an option that holds an unsigned integer (RFC 7252, 3.2), when the message has it.
auto UintOption(const coap_pdu_t* pdu, coap_option_num_t number) -> std::optional<std::uint32_t>;

/// Deadline option: milliseconds from sending until the client stops waiting. Elective, of the
/// range for experiments (RFC 7252, 12.2); docs/client-guide.md.
inline constexpr coap_option_num_t kDeadlineOption = 65020;

/// Time that the Deadline option leaves a request; the longest there is without one that is well
/// formed (RFC 7252, 5.4.3).
auto TimeLeft(const coap_pdu_t* request) -> base::Duration;

auto AddUintOption(coap_pdu_t* pdu, coap_option_num_t number, std::uint32_t value) -> void;

/// Code, content format JSON, Max-Age where it isn't nothing, and the body.
auto WriteJson(coap_pdu_t* response, coap_pdu_code_t code, std::string_view json,
               std::optional<std::uint32_t> max_age_s = std::nullopt) -> void;

/// Value of `name` in a query such as "id=7&x=1"; empty when it isn't there.
auto QueryValue(std::string_view query, std::string_view name) -> std::string_view;

}  // namespace anvildrum::tools
