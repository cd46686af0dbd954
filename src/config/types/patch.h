#pragma once

#include <cstdint>
#include <string>

namespace anvildrum::config {

/// A change that an operator submits.
struct PatchRequest {
  std::string id;  ///< the operator's own; the same id again gets the same answer
  std::string author;
  std::string submitted_at;  ///< RFC 3339
  std::uint64_t base = 0;    ///< the number the patch was written against
  /// RFC 6902, either the array itself or {"patch": [...], "allow_address_move": true}.
  std::string patch;
};

/// A target as announced, for the rules that ask whether a service can still place flows.
struct KnownTarget {
  std::string service;
  std::string name;
  bool draining = false;
};

/// The outcome of a patch that was accepted.
struct AcceptedPatch {
  std::string document;  ///< to be written by conditional update
  std::uint64_t number = 0;
  std::string difference;         ///< RFC 6902 text of what changed
  bool already_accepted = false;  ///< it had been accepted already, under `number`
};

}  // namespace anvildrum::config
