#include "packages/http/http_client.h"

#include <libsoup/soup.h>

#include <array>
#include <cstddef>
#include <future>
#include <memory>
#include <string>
#include <utility>

namespace carobrill::http {
namespace {

constexpr int kMaxConnections = 512;
constexpr int kMaxConnectionsPerHost = 128;

/// Interim responses (status 1xx) of one call. libsoup reads all that have
/// arrived before other sources of the event loop have their turn.
constexpr int kMaxInterimResponses = 16;

/// Calls of the process go before the data of its clients. With 90 clients that
/// send tiny chunks, a turn of the event loop takes 0.4 s on a busy machine,
/// and a call that waits several turns times out.
constexpr int kCallPriority = G_PRIORITY_HIGH;

/// Part of a response that is read at once.
constexpr std::size_t kReadBytes = 16 * 1024;

struct PendingCall {
  HttpClient::Callback callback;
  SoupMessage* message = nullptr;
  GCancellable* cancellable = nullptr;
  GSource* timer = nullptr;
  bool timed_out = false;
  std::shared_ptr<detail::ClientCalls> calls;
  std::size_t max_response_bytes = 0;
  int interim_responses = 0;
  /// Body of the response while it is read.
  GInputStream* stream = nullptr;
  std::array<char, kReadBytes> buffer{};
  HttpClientResult result;
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
  if (pending.interim_responses > kMaxInterimResponses) {
    return HttpFailure::kTooLarge;
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

void Complete(std::unique_ptr<PendingCall> pending) {
  StopTimer(*pending);
  pending->calls->cancellables.erase(pending->cancellable);
  g_clear_object(&pending->stream);
  g_signal_handlers_disconnect_by_data(pending->message, pending.get());
  g_object_unref(pending->message);
  g_object_unref(pending->cancellable);
  if (!pending->calls->closed) {
    pending->callback(std::move(pending->result));
  }
}

void SetFailure(PendingCall& pending, GError* error) {
  pending.result.body.clear();
  pending.result.failure = FailureFromError(pending, error);
  pending.result.maybe_sent = MaybeSent(error);
  pending.result.refused =
      g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) !=
      FALSE;
  g_error_free(error);
}

void OnClosed(GObject* source, GAsyncResult* result, gpointer data) {
  g_input_stream_close_finish(G_INPUT_STREAM(source), result, nullptr);
  Complete(std::unique_ptr<PendingCall>(static_cast<PendingCall*>(data)));
}

// After a complete body, the connection can serve the next call.
void CloseStream(PendingCall* pending) {
  g_input_stream_close_async(pending->stream, kCallPriority,
                             pending->cancellable, OnClosed, pending);
}

void ReadBody(PendingCall* pending);

void OnRead(GObject* source, GAsyncResult* result, gpointer data) {
  auto* pending = static_cast<PendingCall*>(data);
  GError* error = nullptr;
  const gssize size =
      g_input_stream_read_finish(G_INPUT_STREAM(source), result, &error);
  if (size < 0) {
    SetFailure(*pending, error);
    CloseStream(pending);
    return;
  }
  if (size == 0) {
    CloseStream(pending);
    return;
  }
  std::string& body = pending->result.body;
  if (body.size() + static_cast<std::size_t>(size) >
      pending->max_response_bytes) {
    body = {};
    pending->result.failure = HttpFailure::kTooLarge;
    g_cancellable_cancel(pending->cancellable);
    CloseStream(pending);
    return;
  }
  body.append(pending->buffer.data(), static_cast<std::size_t>(size));
  ReadBody(pending);
}

void ReadBody(PendingCall* pending) {
  g_input_stream_read_async(pending->stream, pending->buffer.data(),
                            pending->buffer.size(), kCallPriority,
                            pending->cancellable, OnRead, pending);
}

void OnHead(GObject* source, GAsyncResult* result, gpointer data) {
  auto* pending = static_cast<PendingCall*>(data);
  GError* error = nullptr;
  pending->stream =
      soup_session_send_finish(SOUP_SESSION(source), result, &error);
  if (pending->stream == nullptr) {
    SetFailure(*pending, error);
    Complete(std::unique_ptr<PendingCall>(pending));
    return;
  }
  pending->result.status =
      static_cast<int>(soup_message_get_status(pending->message));
  ReadBody(pending);
}

void OnInterimResponse(SoupMessage* /*message*/, gpointer data) {
  auto* pending = static_cast<PendingCall*>(data);
  if (++pending->interim_responses > kMaxInterimResponses) {
    g_cancellable_cancel(pending->cancellable);
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
    this->calls->closed = true;
    const auto cancellables = this->calls->cancellables;
    for (GCancellable* cancellable : cancellables) {
      g_cancellable_cancel(cancellable);
    }
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
  auto* pending = new PendingCall;
  pending->callback = std::move(callback);
  pending->message = message;
  pending->cancellable = g_cancellable_new();
  pending->calls = this->calls;
  pending->max_response_bytes = call.max_response_bytes;
  this->calls->cancellables.insert(pending->cancellable);
  g_signal_connect(message, "got-informational", G_CALLBACK(OnInterimResponse),
                   pending);
  StartTimer(pending, call.deadline, this->task.Context());
  soup_session_send_async(this->session, message, kCallPriority,
                          pending->cancellable, OnHead, pending);
}

}  // namespace carobrill::http
