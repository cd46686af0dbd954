#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "base/result.h"
#include "requests/types/bytes.h"
#include "requests/types/request_error.h"

namespace anvildrum::requests {

/// Message types of RFC 7252, 3.
enum class MessageType : std::uint8_t { kConfirmable, kNonConfirmable, kAcknowledgement, kReset };

/// Effect of running a request twice (RFC 7252, 5.1; RFC 8132 for FETCH, PATCH and iPATCH).
enum class MethodClass : std::uint8_t {
  kSafe,           ///< GET, FETCH: changes nothing
  kIdempotent,     ///< PUT, DELETE, iPATCH: running twice has the effect of running once
  kNonIdempotent,  ///< POST, PATCH and every unknown method
};

/// Message codes in use, as the byte class << 5 | detail (RFC 7252, 3).
inline constexpr std::uint8_t kCodeEmpty = 0;
inline constexpr std::uint8_t kCodeUnauthorized = 4 << 5 | 1;
inline constexpr std::uint8_t kCodeServiceUnavailable = 5 << 5 | 3;
inline constexpr std::uint8_t kCodeGatewayTimeout = 5 << 5 | 4;

/// Token of a request (RFC 7252, 5.3.1).
struct Token {
  std::array<std::uint8_t, 8> bytes{};
  std::uint8_t size = 0;
  auto operator<=>(const Token&) const = default;
};

/// A Block1 or Block2 option (RFC 7959, 2.2).
struct Block {
  std::uint32_t number = 0;
  bool more = false;
  std::uint8_t size_exponent = 0;
};

/// Number of the Deadline option: the milliseconds after sending the request at which the client
/// stops waiting, as an unsigned integer of at most 4 bytes (RFC 7252, 3.2). The number is in the
/// range for experiments (RFC 7252, 12.2). The option is elective, so a receiver that does not know
/// it ignores it (5.4.1); by its bits it is Safe-to-Forward and NoCacheKey (5.4.6).
inline constexpr std::uint16_t kDeadlineOption = 65020;
inline constexpr std::size_t kMaxDeadlineBytes = 4;

/// Parsed view of a CoAP datagram over UDP. The spans refer to the buffer that was parsed.
struct Message {
  BytesView whole;
  MessageType type = MessageType::kConfirmable;
  std::uint8_t code = 0;
  std::uint16_t message_id = 0;
  Token token;
  std::optional<std::uint32_t> observe;
  std::optional<Block> block1;
  std::optional<Block> block2;
  std::optional<BytesView> echo;
  std::optional<std::uint32_t> max_age;
  std::optional<std::uint32_t>
      deadline;                      ///< milliseconds, from the first well-formed Deadline option
  bool has_deadline_option = false;  ///< at least one, well-formed or not
  /// Whether a Deadline option is too long or repeated. It is then treated as an unknown option,
  /// which is ignored if elective (RFC 7252, 5.4.3 and 5.4.5).
  bool bad_deadline = false;
  /// Digest of code, options and payload without the Echo and Deadline options. It is equal for a
  /// request and its repetition with an Echo value and the remaining time. Unkeyed, so only for
  /// comparison with messages of the same flow.
  std::uint64_t content_digest = 0;
  std::uint64_t path_digest = 0;  ///< over method and Uri-Path
  std::uint64_t body_digest = 0;  ///< over method, Uri-Path and Request-Tag (RFC 9175, 3)
};

/// Largest datagram that is parsed. Blocks are at most 1,024 bytes (RFC 7959), which leaves room
/// for options and for targets that send large datagrams without blocks.
inline constexpr std::size_t kMaxMessage = 65507;

/// Parses a datagram through libcoap. Errors: RequestError.
auto ParseMessage(BytesView datagram) -> base::Result<Message>;

auto IsRequest(const Message& message) -> bool;
auto IsResponse(const Message& message) -> bool;
auto MethodClassOf(std::uint8_t code) -> MethodClass;

/// Returns the Uri-Path as text for logs, such as "/hold/7", with control characters replaced by
/// '?'.
auto UriPathOf(const Message& message) -> std::string;

/// Returns the datagram with another type, message ID and token. All bytes after the token are
/// unchanged.
auto WithIdentity(BytesView datagram, MessageType type, std::uint16_t message_id,
                  const Token& token) -> Bytes;

/// Returns the request to send to the target, under a message ID and token of the agent. Echo
/// options belong to the agent and are removed. The Deadline option is set to `deadline`
/// milliseconds from now, or removed. All other options and the payload are unchanged.
auto ForTarget(const Message& message, std::uint16_t message_id, const Token& token,
               std::optional<std::uint32_t> deadline) -> Bytes;

/// Returns the request with `echo` in place of any Echo option.
auto WithEcho(const Message& message, BytesView echo) -> Bytes;

/// Returns the request that cancels the observation registered by `message` (RFC 7641, 3.6): the
/// same request with Observe 1 and without a Deadline option.
auto Deregistration(const Message& message, std::uint16_t message_id, const Token& token) -> Bytes;

/// Returns the notification with another sequence number in its Observe option (RFC 7641, 2).
auto WithObserve(const Message& message, std::uint32_t sequence) -> Bytes;

/// Builds a 4.01 response with an Echo option (RFC 9175, 2.3).
auto BuildChallenge(MessageType type, std::uint16_t message_id, const Token& token, BytesView echo)
    -> Bytes;

/// Builds a 5.03 response with Max-Age in seconds: the request did not run.
auto BuildNotRun(MessageType type, std::uint16_t message_id, const Token& token,
                 std::uint32_t max_age) -> Bytes;

/// Builds a 5.04 response: the request may have run.
auto BuildUnknown(MessageType type, std::uint16_t message_id, const Token& token) -> Bytes;

auto BuildReset(std::uint16_t message_id) -> Bytes;
auto BuildEmptyAck(std::uint16_t message_id) -> Bytes;

/// Returns the RST for a datagram that could not be parsed, if it was a confirmable message of
/// version 1 (RFC 7252, 4.2).
auto ResetForMalformed(BytesView datagram) -> std::optional<Bytes>;

}  // namespace anvildrum::requests
