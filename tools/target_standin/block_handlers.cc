// Answers that don't fit in a datagram, by block-wise transfer (RFC 7959). libcoap's own transfer
// (coap_add_data_large_response) doesn't tell when a client has fetched the last block, which a
// graceful stop has to wait for; its block functions below let the handler see every block.
//
// A report is slow between its blocks. Its first block leaves at once, in the acknowledgement:
// libcoap 4.3.1's client refuses a block-wise answer to a confirmable GET whose first block comes
// as a separate response ("large body receive internal issue").

#include <xxhash.h>

#include <algorithm>

#include "tools/common/coap_message.h"
#include "tools/target_standin/bodies.h"
#include "tools/target_standin/handlers.h"
#include "tools/target_standin/slow_request.h"

namespace anvildrum::target {
namespace {

// Blocks between two pauses of a report.
constexpr auto kPauseBlocks = 64U;
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
  return coap_more_blocks(body.size(), block.num, block.szx) == 0;
}

auto DigestOf(std::string_view body) -> std::uint64_t {
  return XXH3_64bits(body.data(), body.size());
}

/// Takes a slot, or keeps the one of a client that starts afresh.
auto BeginExport(Server& server, const std::string& client) -> bool {
  if (server.exports.contains(client)) return true;
  auto now = base::Clock::now();
  auto admitted = Admit(server.work, {}, now);
  if (!admitted) return false;
  server.exports[client] = Export{admitted->job, now};
  return true;
}

auto RecordBlock(Server& server, const std::string& client, bool last) -> void {
  auto found = server.exports.find(client);
  if (found == server.exports.end()) return;
  found->second.last_block = base::Clock::now();
  if (!last) return;
  Finish(server.work, found->second.job, base::Clock::now());
  server.exports.erase(found);
}

/// The pauses of a report add up to its time, whatever the size of its blocks.
auto PauseOf(const Server& server, const coap_block_t& block) -> base::Duration {
  auto pause_bytes = std::size_t{kPauseBlocks} << (block.szx + 4);
  auto pauses = std::max<std::size_t>(1, server.report.size() / pause_bytes);
  return server.work.settings.report_time / pauses;
}

}  // namespace

auto GetReport(coap_resource_t*, coap_session_t* session, const coap_pdu_t* request,
               const coap_string_t*, coap_pdu_t* response) -> void {
  auto& server = ServerOf(session);
  auto block = RequestedBlock(request);
  auto client = std::string(coap_session_str(session));
  if (block.num == 0 && !BeginExport(server, client)) {
    return Refuse(server, {session, request, response, {}});
  }
  auto pauses = block.num != 0 && block.num % kPauseBlocks == 0;
  if (pauses && !ReadyAfter(session, request, PauseOf(server, block))) return;
  auto last =
      WriteBlock(response, block, server.report, COAP_MEDIATYPE_TEXT_PLAIN, server.report_digest);
  RecordBlock(server, client, last);
}

auto GetExecutions(coap_resource_t*, coap_session_t* session, const coap_pdu_t* request,
                   const coap_string_t*, coap_pdu_t* response) -> void {
  auto& server = ServerOf(session);
  auto block = RequestedBlock(request);
  auto client = std::string(coap_session_str(session));
  // Counts change between blocks: later blocks come from the body that the first one was cut from.
  if (block.num == 0) {
    server.execution_bodies[client] = ExecutionsBody(server.line.name, server.work);
  }
  const auto& body = server.execution_bodies[client];
  auto last = WriteBlock(response, block, body, COAP_MEDIATYPE_APPLICATION_JSON, DigestOf(body));
  if (last) server.execution_bodies.erase(client);
}

}  // namespace anvildrum::target
