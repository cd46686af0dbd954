#include "agent/internal/hand_over_codec.h"

#include <algorithm>
#include <chrono>
#include <string>

namespace anvildrum::agent {
namespace {

using requests::FlowRecord;
using requests::HandedOverRequest;
using requests::HandedOverStream;
using requests::Token;

constexpr auto kMaxMessageId = std::uint32_t{0xffff};
constexpr auto kTokenSize = sizeof(Token::bytes);
constexpr auto kMaxMilliseconds = base::milliseconds(requests::kExchangeLifetime).count();
constexpr auto kMaxSequence = std::uint32_t{0xffffff};

auto MillisecondsOf(base::Duration duration) -> std::uint64_t {
  return std::chrono::ceil<base::milliseconds>(duration).count();
}

// Limits the duration to the maximum lifetime of a message (RFC 7252, 4.8.2).
auto DurationOf(std::uint64_t milliseconds) -> base::Duration {
  return base::milliseconds(std::min<std::uint64_t>(milliseconds, kMaxMilliseconds));
}

auto BytesOf(const std::string& text) -> wire::Bytes { return {text.begin(), text.end()}; }

auto TextOf(const Token& token) -> std::string {
  return {token.bytes.begin(), token.bytes.begin() + token.size};
}

auto TokenOf(const std::string& text) -> Token {
  auto token = Token{};
  token.size = static_cast<std::uint8_t>(text.size());
  std::ranges::copy(text, token.bytes.begin());
  return token;
}

auto Write(const HandedOverRequest& handed, wire::pb::RequestRecord& record) -> void {
  record.set_token(TextOf(handed.token));
  record.set_message_id(handed.message_id);
  record.set_was_challenged(handed.was_challenged);
  record.set_challenged_token(TextOf(handed.challenged_token));
  record.set_challenged_message_id(handed.challenged_message_id);
  record.set_type(static_cast<std::uint32_t>(handed.type));
  record.set_method(static_cast<std::uint32_t>(handed.method));
  record.set_stage(static_cast<std::uint32_t>(handed.stage));
  record.set_acknowledged(handed.acknowledged);
  record.set_content_digest(handed.content_digest);
  record.set_left_ms(MillisecondsOf(handed.left));
  record.set_answer(handed.answer.data(), handed.answer.size());
}

auto IsFinal(std::uint32_t stage) -> bool {
  auto is = [&](requests::Stage one) { return stage == static_cast<std::uint32_t>(one); };
  return is(requests::Stage::kAnswered) || is(requests::Stage::kRefused) ||
         is(requests::Stage::kUnknown);
}

auto IsValid(const wire::pb::RequestRecord& record) -> bool {
  if (record.token().size() > kTokenSize) return false;
  if (record.challenged_token().size() > kTokenSize) return false;
  if (record.message_id() > kMaxMessageId) return false;
  if (record.challenged_message_id() > kMaxMessageId) return false;
  if (record.type() > static_cast<std::uint32_t>(requests::MessageType::kNonConfirmable)) {
    return false;
  }
  if (record.method() > static_cast<std::uint32_t>(requests::MethodClass::kNonIdempotent)) {
    return false;
  }
  return IsFinal(record.stage());
}

auto Read(const wire::pb::RequestRecord& record) -> HandedOverRequest {
  auto handed = HandedOverRequest{};
  handed.token = TokenOf(record.token());
  handed.message_id = static_cast<std::uint16_t>(record.message_id());
  handed.was_challenged = record.was_challenged();
  handed.challenged_token = TokenOf(record.challenged_token());
  handed.challenged_message_id = static_cast<std::uint16_t>(record.challenged_message_id());
  handed.type = static_cast<requests::MessageType>(record.type());
  handed.method = static_cast<requests::MethodClass>(record.method());
  handed.stage = static_cast<requests::Stage>(record.stage());
  handed.acknowledged = record.acknowledged();
  handed.content_digest = record.content_digest();
  handed.left = DurationOf(record.left_ms());
  handed.answer = BytesOf(record.answer());
  return handed;
}

}  // namespace

auto WriteRecord(const FlowRecord& record) -> wire::Bytes {
  auto message = wire::pb::FlowRecord{};
  message.set_next_client_message_id(record.next_client_message_id);
  message.set_quarantine_left_ms(MillisecondsOf(record.quarantine_left));
  for (const auto& handed : record.streams) {
    auto* stream = message.add_streams();
    stream->set_request(handed.request.data(), handed.request.size());
    stream->set_sequence(handed.sequence);
  }
  for (const auto& handed : record.requests) Write(handed, *message.add_requests());
  return BytesOf(message.SerializeAsString());
}

auto ReadRecord(wire::BytesView payload) -> std::optional<FlowRecord> {
  auto message = wire::pb::FlowRecord{};
  auto size = static_cast<int>(payload.size());
  if (!message.ParseFromArray(payload.data(), size)) return std::nullopt;
  if (message.next_client_message_id() > kMaxMessageId) return std::nullopt;
  auto record = FlowRecord{};
  record.next_client_message_id = static_cast<std::uint16_t>(message.next_client_message_id());
  record.quarantine_left = DurationOf(message.quarantine_left_ms());
  for (const auto& stream : message.streams()) {
    if (stream.sequence() > kMaxSequence) return std::nullopt;
    record.streams.push_back({BytesOf(stream.request()), stream.sequence()});
  }
  for (const auto& request : message.requests()) {
    if (!IsValid(request)) return std::nullopt;
    record.requests.push_back(Read(request));
  }
  return record;
}

}  // namespace anvildrum::agent
