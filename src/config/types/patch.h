#pragma once

#include <cstdint>
#include <string>

namespace anvildrum::config {

/// A change submitted by an operator.
struct PatchRequest {
  std::string id;  ///< chosen by the operator; the same id again gets the same answer
  std::string author;
  std::string submitted_at;  ///< RFC 3339
  std::uint64_t base = 0;    ///< the number that the patch is based on
  /// RFC 6902, either the array itself or {"patch": [...], "allow_address_move": true}.
  std::string patch;
};

/// An announced target, for the rules that check whether a service can still place flows.
struct KnownTarget {
  std::string service;
  std::string name;
  bool draining = false;
};

/// The result of an accepted patch.
struct AcceptedPatch {
  std::string document;  ///< to be written by conditional update
  std::uint64_t number = 0;
  std::string difference;         ///< RFC 6902 text of the changes
  bool already_accepted = false;  ///< accepted before, under `number`
};

}  // namespace anvildrum::config
