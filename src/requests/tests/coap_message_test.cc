#include "requests/coap_message.h"

#include <boost/test/unit_test.hpp>

namespace anvildrum::requests {
namespace {

// CON POST, message ID 0x1234, token "ab", Uri-Path "hold", payload "x".
const auto kPost = Bytes{0x42, 0x02, 0x12, 0x34, 'a', 'b', 0xb4, 'h', 'o', 'l', 'd', 0xff, 'x'};
const auto kEcho = Bytes{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16};

auto ParseError(BytesView datagram) -> std::optional<RequestErrorCode> {
  auto error = base::ErrorOf<RequestError>([&]() -> base::Result<void> {
    BOOST_LEAF_CHECK(ParseMessage(datagram));
    return {};
  });
  if (!error) return std::nullopt;
  return error->code;
}

BOOST_AUTO_TEST_CASE(view_of_a_post) {
  auto message = ParseMessage(kPost).value();
  BOOST_CHECK(message.type == MessageType::kConfirmable);
  BOOST_TEST(message.message_id == 0x1234);
  BOOST_TEST(message.token.size == 2);
  BOOST_CHECK(MethodClassOf(message.code) == MethodClass::kNonIdempotent);
  BOOST_TEST(UriPathOf(message) == "/hold");
}

// The Echo value belongs to the agent, so the target has to see the request as the client first
// sent it.
BOOST_AUTO_TEST_CASE(echo_is_taken_out_and_all_else_stays_byte_equal) {
  auto plain = ParseMessage(kPost).value();
  auto bytes = WithEcho(plain, kEcho);
  auto message = ParseMessage(bytes).value();
  BOOST_REQUIRE(message.echo.has_value());
  BOOST_TEST(Bytes(message.echo->begin(), message.echo->end()) == kEcho);
  BOOST_TEST(message.content_digest == plain.content_digest);
  BOOST_TEST(ForTarget(message, plain.message_id, plain.token, {}) == kPost);
}

// Options are sorted by number: those above the Deadline option have to follow it and the others
// precede it.
BOOST_AUTO_TEST_CASE(deadline_is_written_in_the_order_of_options) {
  auto with_highest = Bytes{kPost.begin(), kPost.end() - 2};
  auto highest = Bytes{0xe1, 0xfe, 0xe5, 9, 0xff, 'x'};  // option 65533
  with_highest.insert(with_highest.end(), highest.begin(), highest.end());
  auto plain = ParseMessage(with_highest).value();
  auto bytes = ForTarget(plain, plain.message_id, plain.token, 500);
  auto message = ParseMessage(bytes).value();
  BOOST_TEST(message.deadline.value() == 500U);
  BOOST_TEST(message.content_digest == plain.content_digest);
  BOOST_TEST(ForTarget(message, plain.message_id, plain.token, {}) == with_highest);
}

BOOST_AUTO_TEST_CASE(malformed_datagrams_are_typed_and_confirmable_ones_reset) {
  BOOST_CHECK(ParseError(Bytes{0x40, 1}) == RequestErrorCode::kTruncated);
  BOOST_CHECK(ParseError(Bytes{0x80, 1, 0, 1}) == RequestErrorCode::kBadVersion);
  auto long_token = Bytes{0x4f, 1, 0, 7};
  BOOST_CHECK(ParseError(long_token) == RequestErrorCode::kMalformed);
  BOOST_CHECK(ResetForMalformed(long_token) == (Bytes{0x70, 0, 0, 7}));
  BOOST_CHECK(!ResetForMalformed(Bytes{0x5f, 1, 0, 7}).has_value());
  BOOST_CHECK(!ResetForMalformed(Bytes{0x80, 1, 0, 7}).has_value());
  auto empty_payload = Bytes{0x40, 2, 0, 7, 0xff};
  BOOST_CHECK(ParseError(empty_payload) == RequestErrorCode::kMalformed);
}

BOOST_AUTO_TEST_CASE(built_answers_parse_back) {
  auto token = ParseMessage(kPost).value().token;
  auto bytes = BuildNotRun(MessageType::kAcknowledgement, 9, token, 300);
  auto refusal = ParseMessage(bytes).value();
  BOOST_TEST(refusal.code == kCodeServiceUnavailable);
  BOOST_TEST(refusal.max_age.value() == 300U);
  auto unknown = BuildUnknown(MessageType::kAcknowledgement, 9, token);
  BOOST_TEST(ParseMessage(unknown).value().code == kCodeGatewayTimeout);
}

}  // namespace
}  // namespace anvildrum::requests
