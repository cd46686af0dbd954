#include "wire/datagram.h"

#include <google/protobuf/io/coded_stream.h>

#include <algorithm>

#include "base/siphash.h"

namespace anvildrum::wire {
namespace {

using google::protobuf::io::CodedInputStream;
using google::protobuf::io::CodedOutputStream;
static_assert(kMacSize == std::tuple_size_v<decltype(base::SipHash128({}, {}))>);

auto MacMatches(const Key& key, BytesView sealed, BytesView mac) -> bool {
  return base::SameCode(base::SipHash128(key, sealed), mac);
}

auto Fail(WireErrorCode code, std::size_t size) -> boost::leaf::error_id {
  return boost::leaf::new_error(WireError{code, size});
}

}  // namespace

auto Seal(const KeyRing& ring, const pb::TunnelHeader& header, BytesView payload, Bytes& out)
    -> base::Result<void> {
  if (ring.keys.empty()) return Fail(WireErrorCode::kNoKey, 0);
  auto header_size = header.ByteSizeLong();
  auto length_size = CodedOutputStream::VarintSize32(static_cast<std::uint32_t>(header_size));
  auto size = kMacSize + length_size + header_size + payload.size();
  if (size > kMaxDatagram) return Fail(WireErrorCode::kTooLarge, size);
  out.resize(size);
  auto* cursor = out.data() + kMacSize;
  cursor = CodedOutputStream::WriteVarint32ToArray(static_cast<std::uint32_t>(header_size), cursor);
  cursor = header.SerializeWithCachedSizesToArray(cursor);
  std::copy(payload.begin(), payload.end(), cursor);
  auto mac = base::SipHash128(ring.keys.front(), BytesView(out).subspan(kMacSize));
  std::copy(mac.begin(), mac.end(), out.begin());
  return {};
}

auto Open(const KeyRing& ring, BytesView datagram, Opened& opened) -> base::Result<void> {
  auto size = datagram.size();
  if (size > kMaxDatagram) return Fail(WireErrorCode::kTooLarge, size);
  if (size <= kMacSize) return Fail(WireErrorCode::kTruncated, size);
  auto mac = datagram.first(kMacSize);
  auto sealed = datagram.subspan(kMacSize);
  auto matches = [&](const Key& key) { return MacMatches(key, sealed, mac); };
  if (!std::any_of(ring.keys.begin(), ring.keys.end(), matches)) {
    return Fail(WireErrorCode::kBadMac, size);
  }
  auto input = CodedInputStream(sealed.data(), static_cast<int>(sealed.size()));
  auto header_size = std::uint32_t{0};
  if (!input.ReadVarint32(&header_size)) return Fail(WireErrorCode::kTruncated, size);
  auto offset = static_cast<std::size_t>(input.CurrentPosition());
  if (header_size > sealed.size() - offset) return Fail(WireErrorCode::kTruncated, size);
  auto header = sealed.subspan(offset, header_size);
  if (!opened.header.ParseFromArray(header.data(), static_cast<int>(header.size()))) {
    return Fail(WireErrorCode::kMalformed, size);
  }
  if (opened.header.body_case() == pb::TunnelHeader::BODY_NOT_SET) {
    return Fail(WireErrorCode::kMissingBody, size);
  }
  opened.payload = sealed.subspan(offset + header_size);
  return {};
}

}  // namespace anvildrum::wire
