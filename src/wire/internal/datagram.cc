#include "wire/datagram.h"

#include <google/protobuf/io/coded_stream.h>
#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <algorithm>
#include <limits>
#include <memory>

namespace anvildrum::wire {
namespace {

using google::protobuf::io::CodedInputStream;
using google::protobuf::io::CodedOutputStream;
using Mac = std::array<std::uint8_t, kMacSize>;

struct MacContextDeleter {
  auto operator()(EVP_MAC_CTX* context) const -> void { EVP_MAC_CTX_free(context); }
};
using MacContext = std::unique_ptr<EVP_MAC_CTX, MacContextDeleter>;

auto MakeMacContext() -> MacContext {
  auto* mac = EVP_MAC_fetch(nullptr, "SIPHASH", nullptr);
  auto context = MacContext(EVP_MAC_CTX_new(mac));
  EVP_MAC_free(mac);
  return context;
}

// Fetching the algorithm costs more than computing the MAC, so each thread keeps one context.
auto ThreadMacContext() -> EVP_MAC_CTX* {
  thread_local auto context = MakeMacContext();
  return context.get();
}

auto ComputeMac(const Key& key, BytesView bytes) -> Mac {
  auto mac = Mac{};
  auto size = mac.size();
  auto* context = ThreadMacContext();
  EVP_MAC_init(context, key.data(), key.size(), nullptr);
  EVP_MAC_update(context, bytes.data(), bytes.size());
  EVP_MAC_final(context, mac.data(), &size, mac.size());
  return mac;
}

auto MacMatches(const Key& key, BytesView sealed, BytesView mac) -> bool {
  auto expected = ComputeMac(key, sealed);
  return CRYPTO_memcmp(expected.data(), mac.data(), kMacSize) == 0;
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
  auto mac = ComputeMac(ring.keys.front(), BytesView(out).subspan(kMacSize));
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
