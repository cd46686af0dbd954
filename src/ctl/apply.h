#pragma once

#include <functional>
#include <variant>

#include "base/types/time.h"
#include "config/types/configuration_error.h"
#include "config/types/patch.h"
#include "ctl/object_store.h"

/// A patch on its way into the configuration object, also when answers are lost.
namespace anvildrum::ctl {

inline constexpr std::string_view kConfigKey = "config";

/// Nothing is known of the patch: the platform was never reached.
struct NotApplied {
  CtlError error;
};

/// The patch may have been taken. The same request again tells.
struct Unsettled {
  CtlError error;
};

using ApplyOutcome =
    std::variant<config::AcceptedPatch, config::PatchRefusal, NotApplied, Unsettled>;

struct ApplyOptions {
  bool dry_run = false;
  int attempts = 6;  ///< rounds of reading and writing
  std::function<void(base::Duration)> sleep;
};

/// Reads the configuration and the targets, applies the patch and writes it by conditional update.
/// A write whose answer is lost is settled by reading again and looking for the patch's id.
auto Apply(const ObjectStore& store, const config::PatchRequest& request,
           const ApplyOptions& options) -> ApplyOutcome;

/// The id of a patch that was given none: the same for the same base, author and text.
auto DerivePatchId(const config::PatchRequest& request) -> std::string;

}  // namespace anvildrum::ctl
