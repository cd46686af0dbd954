#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/result.h"
#include "base/types/endpoint.h"
#include "base/types/time.h"
#include "ctl/types/ctl_error.h"

namespace anvildrum::ctl {

struct HttpRequest {
  std::string method = "GET";
  std::string target;  ///< path and query
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

struct HttpAnswer {
  int status = 0;
  std::string etag;
  std::string body;
};

/// One request on a connection of its own, blocking for `limit` at most in all.
/// Errors: CtlError kUnreachable, kNoAnswer.
auto CallHttp(const base::Endpoint& server, const HttpRequest& request, base::Duration limit)
    -> base::Result<HttpAnswer>;

/// The body of an answer that is a success. Errors: those of CallHttp, CtlError kServerError.
auto FetchBody(const base::Endpoint& server, const HttpRequest& request, base::Duration limit)
    -> base::Result<std::string>;

}  // namespace anvildrum::ctl
