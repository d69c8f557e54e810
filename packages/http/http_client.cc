#include "packages/http/http_client.h"

#include <libsoup/soup.h>

#include <future>
#include <memory>
#include <utility>

namespace carobrill::http {
namespace {

constexpr int kMaxConnections = 512;
constexpr int kMaxConnectionsPerHost = 128;

struct PendingCall {
  HttpClient::Callback callback;
  SoupMessage* message = nullptr;
  GCancellable* cancellable = nullptr;
  GSource* timer = nullptr;
  bool timed_out = false;
  /// Set when the client is destroyed; accessed only on its task.
  std::shared_ptr<bool> closed;
};

gboolean OnDeadline(gpointer data) {
  auto* pending = static_cast<PendingCall*>(data);
  pending->timed_out = true;
  g_cancellable_cancel(pending->cancellable);
  return G_SOURCE_REMOVE;
}

HttpFailure FailureFromError(const PendingCall& pending, const GError* error) {
  if (pending.timed_out) {
    return HttpFailure::kTimeout;
  }
  if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PARTIAL_INPUT) != FALSE) {
    return HttpFailure::kTruncated;
  }
  return HttpFailure::kUnreachable;
}

// These errors occur while connecting; any other error may occur after the
// request was sent.
bool MaybeSent(const GError* error) {
  for (const int code :
       {G_IO_ERROR_CONNECTION_REFUSED, G_IO_ERROR_HOST_UNREACHABLE,
        G_IO_ERROR_NETWORK_UNREACHABLE}) {
    if (g_error_matches(error, G_IO_ERROR, code) != FALSE) {
      return false;
    }
  }
  return error->domain != G_RESOLVER_ERROR;
}

void StopTimer(PendingCall& pending) {
  if (pending.timer == nullptr) {
    return;
  }
  g_source_destroy(pending.timer);
  g_source_unref(pending.timer);
  pending.timer = nullptr;
}

void OnReply(GObject* source, GAsyncResult* result, gpointer data) {
  std::unique_ptr<PendingCall> pending(static_cast<PendingCall*>(data));
  GError* error = nullptr;
  GBytes* bytes =
      soup_session_send_and_read_finish(SOUP_SESSION(source), result, &error);
  StopTimer(*pending);
  HttpClientResult reply;
  if (bytes == nullptr) {
    reply.failure = FailureFromError(*pending, error);
    reply.maybe_sent = MaybeSent(error);
    reply.refused = g_error_matches(error, G_IO_ERROR,
                                    G_IO_ERROR_CONNECTION_REFUSED) != FALSE;
    g_clear_error(&error);
  } else {
    gsize size = 0;
    const auto* text = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    reply.status = static_cast<int>(soup_message_get_status(pending->message));
    reply.body.assign(text == nullptr ? "" : text, size);
    g_bytes_unref(bytes);
  }
  g_object_unref(pending->message);
  g_object_unref(pending->cancellable);
  if (!*pending->closed) {
    pending->callback(std::move(reply));
  }
}

void SetBody(SoupMessage* message, const HttpClientRequest& call) {
  if (call.body.empty()) {
    return;
  }
  GBytes* bytes = g_bytes_new(call.body.data(), call.body.size());
  soup_message_set_request_body_from_bytes(message, call.content_type.c_str(),
                                           bytes);
  g_bytes_unref(bytes);
}

void StartTimer(PendingCall* pending, Instant deadline, GMainContext* context) {
  if (deadline == Instant::Never()) {
    return;
  }
  const auto remaining = deadline.RemainingMs(BootClock{}.Now());
  pending->timer = g_timeout_source_new(static_cast<guint>(remaining));
  g_source_set_callback(pending->timer, OnDeadline, pending, nullptr);
  g_source_attach(pending->timer, context);
}

}  // namespace

HttpClient::HttpClient(Task& task) : task(task) {
  this->task.Run([this] {
    this->session = soup_session_new_with_options(
        "max-conns", kMaxConnections, "max-conns-per-host",
        kMaxConnectionsPerHost, "timeout", 0, nullptr);
  });
}

HttpClient::~HttpClient() {
  const auto close = [this] {
    *this->closed = true;
    soup_session_abort(this->session);
    g_object_unref(this->session);
  };
  if (this->task.OnOwnThread()) {
    close();
  } else {
    this->task.Run(close);
  }
}

void HttpClient::Send(HttpClientRequest call, Callback callback) {
  if (this->task.OnOwnThread()) {
    this->SendOnTask(std::move(call), std::move(callback));
    return;
  }
  this->task.Post(
      [this, call = std::move(call), callback = std::move(callback)]() mutable {
        this->SendOnTask(std::move(call), std::move(callback));
      });
}

HttpClientResult HttpClient::SendAndWait(HttpClientRequest call) {
  auto promise = std::make_shared<std::promise<HttpClientResult>>();
  auto future = promise->get_future();
  this->Send(std::move(call), [promise](HttpClientResult reply) {
    promise->set_value(std::move(reply));
  });
  return future.get();
}

// libsoup opens a new connection for a method that is not idempotent, so it
// never resends a POST because of a stale keep-alive connection.
void HttpClient::SendOnTask(HttpClientRequest call, Callback callback) {
  SoupMessage* message =
      soup_message_new(call.method.c_str(), call.url.c_str());
  if (message == nullptr) {
    callback(HttpClientResult{HttpFailure::kInvalidUrl, 0, {}, false});
    return;
  }
  for (const auto& [name, value] : call.headers) {
    soup_message_headers_replace(soup_message_get_request_headers(message),
                                 name.c_str(), value.c_str());
  }
  SetBody(message, call);
  if (call.idempotent) {
    soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT);
  }
  auto* pending = new PendingCall{
      std::move(callback), message, g_cancellable_new(), nullptr, false,
      this->closed};
  StartTimer(pending, call.deadline, this->task.Context());
  soup_session_send_and_read_async(this->session, message, G_PRIORITY_DEFAULT,
                                   pending->cancellable, OnReply, pending);
}

}  // namespace carobrill::http
