// Block-wise uploads (RFC 7959, 2.5). A later block is accepted only after the first one.
#include "requests/internal/state.h"

namespace anvildrum::requests {
namespace {

constexpr auto kSizeExponentBase = 4;  // a block has 2^(exponent + 4) bytes (RFC 7959, 2.2)

auto StartsUpload(const Message& message) -> bool {
  return message.block1 && message.block1->number == 0 && message.block1->more;
}

auto OffsetBehind(const Block& block) -> std::uint64_t {
  return (std::uint64_t{block.number} + 1) << (block.size_exponent + kSizeExponentBase);
}

auto OffsetOf(const Block& block) -> std::uint64_t {
  return std::uint64_t{block.number} << (block.size_exponent + kSizeExponentBase);
}

}  // namespace

auto IsLaterBlock(const Message& message) -> bool {
  return message.block1 && message.block1->number > 0;
}

auto RecordUpload(Context& context, const Message& message, const base::FlowKey& flow,
                  std::uint64_t id) -> void {
  if (!StartsUpload(message)) return;
  auto* entry = FindById(context.state.ledger, id);
  if (entry == nullptr || !IsLive(entry->stage)) return;
  FlowOf(context, flow).upload =
      Upload{message.body_digest, OffsetBehind(*message.block1), context.now + kExchangeLifetime};
}

auto ContinueUpload(Context& context, const Message& message, const base::FlowKey& flow) -> bool {
  auto& upload = FlowOf(context, flow).upload;
  if (!upload || upload->expires <= context.now) return false;
  const auto& block = *message.block1;
  if (upload->body_digest != message.body_digest) return false;
  if (upload->next_offset != OffsetOf(block)) return false;
  upload->next_offset = OffsetBehind(block);
  upload->expires = context.now + kExchangeLifetime;
  if (!block.more) upload.reset();
  return true;
}

}  // namespace anvildrum::requests
