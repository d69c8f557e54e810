#ifndef PACKAGES_HTTP_HTTP_CLIENT_H_
#define PACKAGES_HTTP_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <unordered_set>

#include "packages/core/task.h"
#include "packages/http/http_types.h"

typedef struct _GCancellable GCancellable;
typedef struct _SoupSession SoupSession;

namespace carobrill::http {

namespace detail {

/// The calls in flight of a client. Accessed only on its task.
struct ClientCalls {
  /// The client was destroyed.
  bool closed = false;
  std::unordered_set<GCancellable*> cancellables;
};

}  // namespace detail

/// An HTTP client whose I/O runs on one carobrill::Task (core/task.h), a
/// thread with an event loop.
class HttpClient {
 public:
  using Callback = std::function<void(HttpClientResult)>;

  /// `task` must outlive the client.
  explicit HttpClient(Task& task);

  /// Aborts the calls in flight; their callbacks do not run.
  ~HttpClient();

  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends `call`; `callback` runs once on the task. Safe from any thread.
  void Send(HttpClientRequest call, Callback callback);

  /// Sends `call` and blocks until the reply. Must not be called on the task's
  /// thread.
  HttpClientResult SendAndWait(HttpClientRequest call);

 private:
  void SendOnTask(HttpClientRequest call, Callback callback);

  Task& task;
  SoupSession* session = nullptr;
  std::shared_ptr<detail::ClientCalls> calls =
      std::make_shared<detail::ClientCalls>();
};

}  // namespace carobrill::http

#endif  // PACKAGES_HTTP_HTTP_CLIENT_H_
