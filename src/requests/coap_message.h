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

/// What a repetition of a request does (RFC 7252, 5.1; RFC 8132 for FETCH, PATCH and iPATCH).
enum class MethodClass : std::uint8_t {
  kSafe,           ///< GET, FETCH: changes nothing
  kIdempotent,     ///< PUT, DELETE, iPATCH: running it twice equals once
  kNonIdempotent,  ///< POST, PATCH, and every method that is not known
};

/// Codes used here, as the byte class << 5 | detail (RFC 7252, 3).
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

/// Number of the Deadline option: how many milliseconds after the request was sent its client stops
/// waiting; an unsigned integer of at most 4 bytes (RFC 7252, 3.2). Of the range for experiments
/// (RFC 7252, 12.2) and elective, so that who does not know it ignores it (5.4.1); Safe-to-Forward
/// and NoCacheKey by its bits (5.4.6).
inline constexpr std::uint16_t kDeadlineOption = 65020;
inline constexpr std::size_t kMaxDeadlineBytes = 4;

/// View of a CoAP datagram over UDP. Spans view the buffer that was parsed.
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
      deadline;                      ///< milliseconds, of the first well-formed Deadline option
  bool has_deadline_option = false;  ///< one at least, whatever its form
  /// A Deadline option that is too long or comes twice: treated as one that is not known, which for
  /// an elective option means ignored (RFC 7252, 5.4.3 and 5.4.5).
  bool bad_deadline = false;
  /// Digest of code, options and payload without the Echo and Deadline options: equal for a request
  /// and the same request sent again with an Echo value and what is left of its time. Unkeyed: for
  /// comparison with what the same flow sent.
  std::uint64_t content_digest = 0;
  std::uint64_t path_digest = 0;  ///< of method and Uri-Path
  std::uint64_t body_digest = 0;  ///< of method, Uri-Path and Request-Tag (RFC 9175, 3)
};

/// Largest datagram that is parsed: blocks are at most 1,024 bytes (RFC 7959), so that this leaves
/// room for options and for targets that send large datagrams without blocks.
inline constexpr std::size_t kMaxMessage = 65507;

/// Parses a datagram through libcoap. Errors: RequestError.
auto ParseMessage(BytesView datagram) -> base::Result<Message>;

auto IsRequest(const Message& message) -> bool;
auto IsResponse(const Message& message) -> bool;
auto MethodClassOf(std::uint8_t code) -> MethodClass;

/// Uri-Path as text for logs, "/hold/7"; control characters as '?'.
auto UriPathOf(const Message& message) -> std::string;

/// The datagram with another type, message ID and token; all bytes behind the token stay equal.
auto WithIdentity(BytesView datagram, MessageType type, std::uint16_t message_id,
                  const Token& token) -> Bytes;

/// Request for the target: without any Echo option, which is the agent's, and under a message ID
/// and token of the agent. Its Deadline option is `deadline`, in milliseconds from now, or none.
/// All other options and the payload stay byte-equal.
auto ForTarget(const Message& message, std::uint16_t message_id, const Token& token,
               std::optional<std::uint32_t> deadline) -> Bytes;

/// The request with `echo` in place of any Echo option it had.
auto WithEcho(const Message& message, BytesView echo) -> Bytes;

/// The end of an observation whose registration `message` is (RFC 7641, 3.6): the same request with
/// Observe 1, without a Deadline option.
auto Deregistration(const Message& message, std::uint16_t message_id, const Token& token) -> Bytes;

/// The notification with another sequence number in its Observe option (RFC 7641, 2).
auto WithObserve(const Message& message, std::uint32_t sequence) -> Bytes;

/// 4.01 with an Echo option (RFC 9175, 2.3).
auto BuildChallenge(MessageType type, std::uint16_t message_id, const Token& token, BytesView echo)
    -> Bytes;

/// 5.03 with Max-Age in seconds: not run.
auto BuildNotRun(MessageType type, std::uint16_t message_id, const Token& token,
                 std::uint32_t max_age) -> Bytes;

/// 5.04: may have run.
auto BuildUnknown(MessageType type, std::uint16_t message_id, const Token& token) -> Bytes;

auto BuildReset(std::uint16_t message_id) -> Bytes;
auto BuildEmptyAck(std::uint16_t message_id) -> Bytes;

/// The RST due for a datagram that could not be parsed, when it was a confirmable message of
/// version 1 (RFC 7252, 4.2).
auto ResetForMalformed(BytesView datagram) -> std::optional<Bytes>;

}  // namespace anvildrum::requests
