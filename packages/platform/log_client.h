#ifndef PACKAGES_PLATFORM_LOG_CLIENT_H_
#define PACKAGES_PLATFORM_LOG_CLIENT_H_

#include <string>
#include <vector>

#include "packages/core/store.h"
#include "packages/http/http_client.h"

namespace carobrill::platform {

/// Implements the `Store` concept over the HTTP interface of the log service.
/// Callbacks run on the task of the HTTP client.
class LogClient {
 public:
  /// `url` is the base URL of the service, without a trailing slash;
  /// `client` must outlive this object.
  LogClient(http::HttpClient& client, std::string url);

  /// Appends `records` in one batch.
  void Append(const std::string& stream,
              const std::vector<std::string>& records,
              Instant deadline,
              AppendCallback callback);

  /// Reads a range of records of a stream.
  void Read(const ReadQuery& query, Instant deadline, ReadCallback callback);

 private:
  std::string UrlOf(const std::string& stream) const;

  http::HttpClient& client;
  std::string url;
};

}  // namespace carobrill::platform

#endif  // PACKAGES_PLATFORM_LOG_CLIENT_H_
