#include "relay/internal/delta.h"

#include <zstd.h>

#include <bit>
#include <memory>

namespace anvildrum::relay {
namespace {

constexpr int kLevel = 3;
/// Services resemble each other, so that shorter matches lead from the base to the wrong service
/// and break the one long match that a delta is: shorter than two services, longer than a change.
constexpr int kMatchLeast = 512;
/// Smallest window that zstd takes, as a power of two.
constexpr int kWindowLeast = 10;
/// Holds a value of a megabyte and its base.
constexpr int kWindowMost = 22;

using Compressor = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using Decompressor = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

/// The window must reach from the end of the value to the start of the base.
auto WindowFor(std::size_t bytes) -> int {
  const int needed = static_cast<int>(std::bit_width(bytes)) + 1;
  return std::min(std::max(needed, kWindowLeast), kWindowMost);
}

}  // namespace

auto Pack(std::string_view value, std::string_view base) -> std::string {
  const Compressor context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kLevel);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
  if (!base.empty()) {
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, WindowFor(value.size() + base.size()));
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_ldmMinMatch, kMatchLeast);
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
  }
  std::string packed(ZSTD_compressBound(value.size()), '\0');
  const std::size_t size =
      ZSTD_compress2(context.get(), packed.data(), packed.size(), value.data(), value.size());
  packed.resize(ZSTD_isError(size) != 0U ? 0 : size);
  return packed;
}

auto Unpack(std::string_view bytes, std::string_view base, std::size_t most)
    -> std::optional<std::string> {
  const auto size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
  // The two error values are the largest numbers, so the bound covers them as well.
  if (size > most) return std::nullopt;
  const Decompressor context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
  ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, kWindowMost);
  if (!base.empty()) ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
  std::string value(size, '\0');
  const std::size_t written =
      ZSTD_decompressDCtx(context.get(), value.data(), value.size(), bytes.data(), bytes.size());
  if (ZSTD_isError(written) != 0U || written != size) return std::nullopt;
  return value;
}

}  // namespace anvildrum::relay
