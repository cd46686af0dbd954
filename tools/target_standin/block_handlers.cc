// Answers that don't fit in a datagram, by block-wise transfer (RFC 7959). libcoap's own transfer
// (coap_add_data_large_response) doesn't tell when a client has fetched the last block, which a
// graceful stop has to wait for; its block functions below let the handler see every block.

#include <xxhash.h>

#include "tools/common/coap_message.h"
#include "tools/target_standin/bodies.h"
#include "tools/target_standin/handlers.h"
#include "tools/target_standin/slow_request.h"

namespace anvildrum::target {
namespace {

constexpr auto kDefaultBlock = coap_block_t{0, 0, COAP_MAX_BLOCK_SZX};

auto RequestedBlock(const coap_pdu_t* request) -> coap_block_t {
  auto block = kDefaultBlock;
  if (coap_get_block(request, COAP_OPTION_BLOCK2, &block) == 0) return kDefaultBlock;
  return block;
}

auto OffsetOf(const coap_block_t& block) -> std::size_t {
  return std::size_t{block.num} << (block.szx + 4);
}

auto AddEtag(coap_pdu_t* response, std::uint64_t etag) -> void {
  coap_add_option(response, COAP_OPTION_ETAG, sizeof(etag),
                  reinterpret_cast<const std::uint8_t*>(&etag));
}

/// Writes the asked block of `body`. Returns whether it was the last one.
auto WriteBlock(coap_pdu_t* response, coap_block_t block, std::string_view body,
                std::uint32_t format, std::uint64_t etag) -> bool {
  if (OffsetOf(block) >= body.size()) {
    coap_pdu_set_code(response, COAP_RESPONSE_CODE_BAD_OPTION);
    return false;
  }
  coap_pdu_set_code(response, COAP_RESPONSE_CODE_CONTENT);
  AddEtag(response, etag);
  tools::AddUintOption(response, COAP_OPTION_CONTENT_FORMAT, format);
  coap_write_block_opt(&block, COAP_OPTION_BLOCK2, response, body.size());
  tools::AddUintOption(response, COAP_OPTION_SIZE2, static_cast<std::uint32_t>(body.size()));
  coap_add_block(response, body.size(), reinterpret_cast<const std::uint8_t*>(body.data()),
                 block.num, block.szx);
  return block.m == 0;
}

auto DigestOf(std::string_view body) -> std::uint64_t {
  return XXH3_64bits(body.data(), body.size());
}

}  // namespace

auto GetReport(coap_resource_t*, coap_session_t* session, const coap_pdu_t* request,
               const coap_string_t*, coap_pdu_t* response) -> void {
  auto& server = ServerOf(session);
  auto block = RequestedBlock(request);
  auto slow = SlowRequest{session, request, response, {}, server.work.settings.report_time};
  if (block.num == 0 && !ReadyToAnswer(slow)) return;
  auto client = std::string(coap_session_str(session));
  server.exports[client] = base::Clock::now();
  auto last = WriteBlock(response, block, server.report, COAP_MEDIATYPE_TEXT_PLAIN,
                         server.report_digest);
  if (last) server.exports.erase(client);
}

auto GetExecutions(coap_resource_t*, coap_session_t* session, const coap_pdu_t* request,
                   const coap_string_t*, coap_pdu_t* response) -> void {
  auto& server = ServerOf(session);
  auto block = RequestedBlock(request);
  auto client = std::string(coap_session_str(session));
  // Counts change between blocks: later blocks come from the body that the first one was cut from.
  if (block.num == 0) server.execution_bodies[client] = ExecutionsBody(server.line.name, server.work);
  const auto& body = server.execution_bodies[client];
  auto last = WriteBlock(response, block, body, COAP_MEDIATYPE_APPLICATION_JSON, DigestOf(body));
  if (last) server.execution_bodies.erase(client);
}

}  // namespace anvildrum::target
